// Package balance decides what a co-ordinator of queries over replicated shards does: which replica gets
// each part and when, what is tried again, what is answered and what is turned away. This file is the
// interface; every decision is in balance.go.
//
// All times are milliseconds of one monotonic clock that the caller passes in. A Balancer is not safe for
// concurrent use. Call the event methods in the order in which things happened, and EndTurn once after the
// events of one moment: it admits the new queries and releases queued parts through the Actions.
package scheduler

import (
	"fmt"
	"math"
)

// Idempotency says what a repeated part does.
type Idempotency uint8

// The effects of a class.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // repeats inside Class.Window are dropped by the replica
	NonIdempotent                        // must not run twice
)

// Class is one sort of query.
type Class struct {
	LatencyObjective, Deadline float64 // full worth within Aim; the client's whole patience is Deadline
	PriorityWeight             float64 // worth of a whole answer in time
	LateFactor                 float64 // fraction of Worth after the aim
	Idempotency                Idempotency
	DedupWindow                float64 // Keyed: how long after the first attempt repeats are dropped
	MinCompleteness            float64 // least share of weight for an answer
	CompletenessTarget         float64 // share of weight that makes a whole answer
	PartialFactor              float64 // worth factor of an answer that is not whole
	SecondStepParts            int     // parts of a second step; 0 for none
}

// Settings is what the deployment states. Zero values switch off what depends on them.
type Settings struct {
	Classes                  []Class
	TenantRates              []float64 // allowance of each tenant in queries a second, over all co-ordinators
	OverQuotaFactor          float64   // worth factor beyond a tenant's allowance
	BrokerIndex, BrokerCount int       // this co-ordinator's index and how many there are
	LocalZone                int
	TimerResolution          float64 // shortest time between turns

	Shards, Cells, CellsPerShard int       // of a fixed layout: how many there are, and how many cells hold a shard
	Placement                    Placement // who holds a shard
	MaxPartsPerCall              int       // most parts in one call
	CallOverhead                 float64

	PollEndpoints bool    // the list of replicas comes only when watched or fetched
	MaxStaleness  float64 // not having asked for so long counts as being informed

	CanCancel, AllowHedging bool
	MaxAttempts             int // attempts for one part, 0 for no limit
	MaxRetryAfter           float64

	DrainGrace                                                                          float64
	SlowStartInitialCapacity, SlowStartDuration, SlowStartWorkMultiple, SlowStartWindow float64

	RetryBudgetSpare, RetryBudgetRatio, RetryBudgetWindow float64 // BudgetWindow 0: no attempt budget
	AnswerGrace                                           float64
}

// Placement says who holds a shard. It may change between events; LayoutChanged tells of that.
type Placement interface {
	// Group numbers the set of holders of a shard, in a row from 0: shards of one group have the same holders.
	// -1 if there is no such shard.
	Group(shard int) int
	// Cells are the cells whose replicas hold a group's shards, where the layout goes by cells.
	Cells(group int) []int
	// Replicas are the holders of a group's shards, where it names them one by one.
	Replicas(group int) []uint32
}

// check names the first setting that is out of its range; NaN and infinities are.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("Classes: missing")
	}
	if s.Placement == nil {
		return fmt.Errorf("Layout: missing")
	}
	if s.Shards < 1 || s.Cells < 1 || s.CellsPerShard < 1 || s.CellsPerShard > s.Cells {
		return fmt.Errorf("Shards, Cells or Reach: %d, %d, %d are out of range", s.Shards, s.Cells, s.CellsPerShard)
	}
	if s.BrokerCount < 0 || s.BrokerIndex < 0 || s.BrokerIndex >= max(s.BrokerCount, 1) {
		return fmt.Errorf("Me: %d is not below Peers, %d", s.BrokerIndex, s.BrokerCount)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"OverShareWorth", s.OverQuotaFactor}, {"Tick", s.TimerResolution}, {"CallCost", s.CallOverhead},
		{"AskWithin", s.MaxStaleness}, {"MaxRetryAfter", s.MaxRetryAfter}, {"DrainGrace", s.DrainGrace},
		{"ColdFrom", s.SlowStartInitialCapacity}, {"ColdFor", s.SlowStartDuration}, {"FallMultiple", s.SlowStartWorkMultiple},
		{"FallFor", s.SlowStartWindow}, {"BudgetFree", s.RetryBudgetSpare}, {"BudgetShare", s.RetryBudgetRatio},
		{"BudgetWindow", s.RetryBudgetWindow}, {"AnswerGrace", s.AnswerGrace},
	} {
		if !(f.value >= 0) || math.IsInf(f.value, 0) || f.name == "ColdFrom" && f.value > 1 {
			return fmt.Errorf("%s: %v is out of range", f.name, f.value)
		}
	}
	for i, a := range s.TenantRates {
		if !(a >= 0) || math.IsInf(a, 0) {
			return fmt.Errorf("Tenants[%d]: %v is out of range", i, a)
		}
	}
	for i, c := range s.Classes {
		if !(c.LatencyObjective > 0 && c.Deadline >= c.LatencyObjective && c.CompletenessTarget > 0 && c.CompletenessTarget <= 1 && c.MinCompleteness >= 0 && c.MinCompleteness <= c.CompletenessTarget) ||
			math.IsInf(c.Deadline, 0) || c.SecondStepParts < 0 {
			return fmt.Errorf("Classes[%d]: Aim, Deadline, Need, Floor or SecondStep out of range", i)
		}
		if v := c.PriorityWeight + c.LateFactor + c.PartialFactor + c.DedupWindow; math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("Classes[%d]: Worth, LateWorth, PartialWorth or Window is not finite", i)
		}
	}
	return nil
}

// Query is a client's query as it arrives; its parts follow before EndTurn.
type Query struct {
	ID          uint64
	QueryGroup  int // the number its parts carry
	Class       int
	Tenant      int
	Deadline    float64 // when the client leaves
	Key         uint64  // what it is about; 0 if that is not known
	ClientRetry bool    // the client says it asked before
}

// Part is one shard's share of a query.
type Part struct {
	ID          uint64
	QueryGroup  int
	Shard       int
	Key         uint64
	Weight      float64 // share of the query; a step's weights add up to 1
	AtomicGroup int     // parts of a query with the same number above 0 count only when all of them are in
	CostHint    float64 // expected work, in any unit
	HasCostHint bool
}

// ReplicaState is what the list says of a replica.
type ReplicaState uint8

// The states of a replica.
const (
	Removed ReplicaState = iota
	Ready
	Draining
)

// Endpoint is one line of the list of replicas.
type Endpoint struct {
	Replica   uint32
	Cell      int
	Zone      int
	StartedAt float64 // when it last started, 0 for long ago
	State     ReplicaState
}

// UpdateKind says what a report of the list holds.
type UpdateKind uint8

// The kinds of list reports.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // everything; what is missing is gone
	UpdateCached                   // everything as last seen, possibly stale
	UpdateFailed                   // a call failed or the watch dropped; no entries
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded       Outcome = iota
	Failed                  // the replica returned an error; possibly ran
	TimedOut                // no reply in time; possibly ran
	ConnectionReset         // the connection dropped; possibly ran
	Cancelled               // by us; possibly ran
	Rejected                // turned away unseen; never ran
	ConnectFailed           // no connection; never ran
	NotSent                 // not sent at all
	NotHolder               // the replica does not hold the shard, or not yet; never ran
)

// AttemptResult reports one attempt's end; every Send gets exactly one.
type AttemptResult struct {
	Part           uint64
	Attempt        int
	Replica        uint32
	Outcome        Outcome
	Latency        float64
	PartDone       bool    // the part is over: answered, abandoned, or its query has ended
	ConnectionOnly bool    // it was the connection that failed, or for Full was one too many: the replica stands
	RetryDelay     float64 // Moved: ms in which the part is not tried again, unless Resume ends that sooner
}

// Actions is what the co-ordinator does for the module.
type Actions interface {
	// Send starts the next attempt of a part (numbered 0, 1, 2 ...). A timeout of 0 means
	// until the client leaves.
	Send(part uint64, replica uint32, timeout float64)
	// Cancel stops waiting for an attempt.
	Cancel(part uint64, attempt int)
	// CloseIdleConnections closes this co-ordinator's idle connections to a replica; the next send opens a new one.
	CloseIdleConnections(replica uint32)
	// Answer ends a query (or its first step) from the parts that are in.
	Answer(query uint64, whole bool)
	// Reject ends a query and tells the client that asking again after retryAfter is harmless.
	Reject(query uint64, retryAfter float64)
	// Fail ends a query without any promise.
	Fail(query uint64)
	// SetTimer asks for a Wake event after so long.
	SetTimer(after float64)
	// WatchEndpoints subscribes to changes of the list; a ListChanged event answers.
	WatchEndpoints()
	// Log writes one line for the people on call.
	Log(text string)
}
