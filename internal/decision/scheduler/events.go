package scheduler

// Query is a client's query as it arrives. Its parts are reported before the next round.
type Query struct {
	// ID identifies the query in actions and later events.
	ID uint64
	// QueryGroup is the number by which parts refer to their query.
	QueryGroup int
	// Class is an index of Settings.Classes.
	Class int
	// Tenant is an index of Settings.TenantRates. A tenant with any other number has no quota.
	Tenant int
	// Deadline is the time until which the client waits for the final answer.
	Deadline float64
	// Key identifies the data that the query asks for; 0 if unknown. The scheduler does not use it.
	Key uint64
	// ClientRetry is set if the client says that it made this request before.
	ClientRetry bool
}

// Part is the share of a query that one shard answers.
type Part struct {
	// ID identifies the part in actions and later events.
	ID uint64
	// QueryGroup is the QueryGroup of the query.
	QueryGroup int
	// Shard is the shard that answers the part.
	Shard int
	// Key identifies the data that the part asks for; 0 if unknown. The scheduler does not use it.
	Key uint64
	// Weight is the part's share of the query's answer; the weights of a step add up to 1.
	Weight float64
	// AtomicGroup is the number of the part's atomic group within the query, or 0 for none. The parts of a group
	// count only when all of them have arrived.
	AtomicGroup int
	// CostHint is the expected work in ms; it is used only if HasCostHint is set. Queues only compare hints with
	// each other. Slow start, circuits and call overhead interpret them as ms unless measured latencies are
	// higher.
	CostHint float64
	// HasCostHint is set if CostHint is known.
	HasCostHint bool
}

// ReplicaState is the state of a replica in the endpoint list.
type ReplicaState uint8

// The states of a replica.
const (
	Removed ReplicaState = iota
	Ready
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	// Replica is the replica's number, which is the same at every broker.
	Replica uint32
	// Cell is the cell that the replica belongs to.
	Cell int
	// Zone is the zone that the replica runs in.
	Zone int
	// StartedAt is the time when the replica's process last started; 0 for long ago.
	StartedAt float64
	// State is the replica's state in the endpoint list.
	State ReplicaState
}

// UpdateKind says which entries an update of the endpoint list contains.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // every entry; replicas without an entry have been removed
	UpdateCached                   // every entry as last seen, possibly stale
	UpdateFailed                   // a poll failed or the watch ended; no entries
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt. With the outcomes before Rejected the part may have run; with the others it has not.
const (
	Succeeded       Outcome = iota
	Failed                  // the replica returned an error
	TimedOut                // no reply in time
	ConnectionReset         // the connection broke
	Cancelled               // by this broker
	Rejected                // the replica declined the part before it ran
	ConnectFailed           // no connection could be made
	NotSent                 // ended before anything was sent
	NotHolder               // the replica does not hold the shard, or not yet
)

// mayHaveRun reports whether an attempt with this outcome may have executed the part.
func (o Outcome) mayHaveRun() bool { return o < Rejected }

// AttemptResult reports the end of one attempt. Every Send is followed by exactly one result.
type AttemptResult struct {
	// Part and Attempt identify the attempt: the part's ID and the number of the attempt, from 0.
	Part    uint64
	Attempt int
	// Replica is the replica that the attempt was sent to.
	Replica uint32
	// Outcome is how the attempt ended.
	Outcome Outcome
	// Latency is the time in ms from Send to the end of the attempt.
	Latency float64
	// PartDone is set if the part must not be sent again: it was answered or abandoned, or its query has ended.
	PartDone bool
	// ConnectionOnly is set if the fault lies in the connection alone. With Rejected it means that the replica
	// accepts no more connections. In both cases the result says nothing about the replica's health or load.
	ConnectionOnly bool
	// RetryDelay is the time in ms for which the part is not retried after NotHolder, unless ResumePart ends the
	// delay earlier.
	RetryDelay float64
}

// reflectsLoad reports whether the result shows whether the fleet accepts the work that it is sent. An attempt
// without an answer does not, as stalled replicas and broken networks have the same effect. A part sent to a replica
// that does not hold its shard and a rejected connection say nothing about the replica's queue.
func (r AttemptResult) reflectsLoad() bool {
	switch r.Outcome {
	case TimedOut, Cancelled, NotSent, NotHolder:
		return false
	case Rejected:
		return !r.ConnectionOnly
	}
	return true
}
