package scheduler

// Query is a client's query as it arrives; its parts follow before the next round.
type Query struct {
	// ID names the query in actions and later events.
	ID uint64
	// QueryGroup is the number that the query's parts carry.
	QueryGroup int
	// Class is an index of Settings.Classes.
	Class int
	// Tenant is an index of Settings.TenantRates; others have no quota.
	Tenant int
	// Deadline is the time when the client leaves.
	Deadline float64
	// Key is what the query is about; 0 if that is not known. The scheduler does not use it.
	Key uint64
	// ClientRetry says that the client has asked this before.
	ClientRetry bool
}

// Part is the share of a query that one shard answers.
type Part struct {
	// ID names the part in actions and later events.
	ID uint64
	// QueryGroup is that of its query.
	QueryGroup int
	// Shard is the shard that holds the part.
	Shard int
	// Key is what the part is about; 0 if that is not known. The scheduler does not use it.
	Key uint64
	// Weight is the part's share of the query's answer; the weights of a step add up to 1.
	Weight float64
	// AtomicGroup ties parts of a query together: those with the same number above 0 count only when all of them
	// have arrived.
	AtomicGroup int
	// CostHint is the expected work in ms; it counts only with HasCostHint. Queues only compare hints with each
	// other; slow start, circuits and call overhead take them for ms, unless measured latencies contradict.
	CostHint float64
	// HasCostHint says that CostHint is given.
	HasCostHint bool
}

// ReplicaState is what the endpoint list says of a replica.
type ReplicaState uint8

// The states of a replica.
const (
	Removed ReplicaState = iota
	Ready
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	// Replica is the replica's number, the same at every broker.
	Replica uint32
	// Cell is the cell that the replica belongs to.
	Cell int
	// Zone is the zone that it runs in.
	Zone int
	// StartedAt is the time when its process last started; 0 for long ago.
	StartedAt float64
	// State is what the list says of it.
	State ReplicaState
}

// UpdateKind says what an update of the endpoint list holds.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // every entry; what is missing has been removed
	UpdateCached                   // every entry as last seen, possibly stale
	UpdateFailed                   // a poll failed or the watch ended; no entries
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt. The part may have run with those before Rejected, and has not with the others.
const (
	Succeeded       Outcome = iota
	Failed                  // the replica returned an error
	TimedOut                // no reply in time
	ConnectionReset         // the connection broke
	Cancelled               // by this broker
	Rejected                // refused by the replica before it ran
	ConnectFailed           // no connection could be made
	NotSent                 // ended before anything was sent
	NotHolder               // the replica does not hold the shard, or not yet
)

// mayHaveRun reports whether the part may have been executed by an attempt that ended so.
func (o Outcome) mayHaveRun() bool { return o < Rejected }

// AttemptResult reports the end of one attempt; every Send gets exactly one.
type AttemptResult struct {
	// Part and Attempt name the attempt: the part's ID, and its number from 0.
	Part    uint64
	Attempt int
	// Replica is the replica that it was sent to.
	Replica uint32
	// Outcome is how it ended.
	Outcome Outcome
	// Latency is the time in ms from Send to the end.
	Latency float64
	// PartDone says that the part will not be sent again: it was answered or abandoned, or its query has ended.
	PartDone bool
	// ConnectionOnly says that the fault is the connection's; with Rejected, that the replica takes no more
	// connections. Neither says anything about the replica's health or load.
	ConnectionOnly bool
	// RetryDelay is the time in ms in which the part is not retried after NotHolder, unless ResumePart ends it.
	RetryDelay float64
}

// reflectsLoad reports whether the result shows if the fleet accepts what it is sent. No answer shows nothing,
// as stalled replicas and broken networks look like that too; nor do a part sent to the wrong replica and a
// connection that was refused, which says nothing of the replica's queue.
func (r AttemptResult) reflectsLoad() bool {
	switch r.Outcome {
	case TimedOut, Cancelled, NotSent, NotHolder:
		return false
	case Rejected:
		return !r.ConnectionOnly
	}
	return true
}
