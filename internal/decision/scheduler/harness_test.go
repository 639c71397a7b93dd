package scheduler

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"ternstage/internal/decision/shardmap"
)

// The final answers of queries, as testQuery.end records them.
const (
	endAnswer = "answer"
	endReject = "reject"
	endFail   = "fail"
)

// The classes of testSettings.
const (
	classDefault = iota
	classPartial
	classNonIdempotent
	classPartialTarget
	classWithKey
	classTwoSteps
)

// harness drives one scheduler on virtual time and implements its Actions. It records every action and fails the test
// at the first action that violates an invariant of the package.
type harness struct {
	t         *testing.T
	settings  Settings
	scheduler *Scheduler
	now       float64
	log       []string

	queries  map[uint64]*testQuery
	parts    map[uint64]*testPart
	sent     []*sentAttempt
	inFlight []*sentAttempt
	nextID   uint64

	informedAt        map[uint32]float64 // when a replica was first reported draining or removed
	startedAt         map[uint32]float64
	restartReportedAt map[uint32]float64 // when a replica's last start was reported
	cellOf            map[uint32]int

	arrivals []float64          // times of queries and parts
	retries  []float64          // times of attempts after the first of a part
	rejected map[uint64]float64 // retry-after of rejected queries, in ms
	timers   []float64          // when the timers are due
	polls    int                // of the endpoint list
}

type testQuery struct {
	Query        Query
	parts        []*testPart
	answers      int
	complete     bool
	end          string // final answer; empty while the query is open
	disconnected bool
	endedAt      float64
}

type testPart struct {
	Part     Part
	query    *testQuery
	attempts []*sentAttempt
	arrived  bool
}

type sentAttempt struct {
	part      *testPart
	number    int
	replica   uint32
	sentAt    float64
	timeoutMs float64
	ended     bool
	outcome   Outcome
	cancelled bool
}

func (a *sentAttempt) mayHaveRun() bool { return !a.ended || a.outcome.mayHaveRun() }

// testSettings returns the settings of one of two brokers with a ring of six cells. Each shard is placed on three
// cells.
func testSettings() Settings {
	base := Class{LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 1, LateFactor: 0.3,
		Idempotency: Idempotent, MinCompleteness: 1, CompletenessTarget: 1}
	partial := base
	partial.PriorityWeight = 2
	partial.LateFactor = 0.1
	partial.MinCompleteness = 0.5
	partial.PartialFactor = 0.8
	nonIdempotent := base
	nonIdempotent.LateFactor = 0
	nonIdempotent.Idempotency = NonIdempotent
	partialTarget := base
	partialTarget.PriorityWeight = 2
	partialTarget.MinCompleteness = 0.67
	partialTarget.CompletenessTarget = 0.67
	withKey := base
	withKey.LateFactor = 0.1
	withKey.Idempotency = IdempotentWithKey
	withKey.DedupWindow = 400
	twoSteps := base
	twoSteps.SecondStepParts = 2
	return Settings{
		Classes:         []Class{base, partial, nonIdempotent, partialTarget, withKey, twoSteps},
		BrokerCount:     2,
		TimerResolution: 5,
		Shards:          6,
		Cells:           6,
		CellsPerShard:   3,
		MaxPartsPerCall: 1,
		CanCancel:       true,
		AllowHedging:    true,
		MaxAttempts:     4,
		MaxRetryAfter:   1000,
		DrainGrace:      500,
		SlowStart:       SlowStartSettings{InitialCapacity: 0.15, Duration: 15000, WorkMultiple: 4, Window: 1000},
		RetryBudget:     RetryBudgetSettings{Spare: 5, Ratio: 0.05, Window: 2000},
		AnswerGrace:     20,
	}
}

func newHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	h := &harness{
		t:                 t,
		settings:          settings,
		now:               1e6,
		queries:           map[uint64]*testQuery{},
		parts:             map[uint64]*testPart{},
		informedAt:        map[uint32]float64{},
		startedAt:         map[uint32]float64{},
		restartReportedAt: map[uint32]float64{},
		cellOf:            map[uint32]int{},
		rejected:          map[uint64]float64{},
	}
	if settings.Placement == nil {
		settings.Placement = shardmap.NewRingPlacement(settings.Shards, settings.Cells, settings.CellsPerShard)
	}
	scheduler, err := New(settings, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	h.scheduler = scheduler
	return h
}

// listFleet lists one warm replica per cell, numbered from 1, and runs a round.
func (h *harness) listFleet(kind UpdateKind) {
	var endpoints []Endpoint
	for i := 0; i < h.settings.Cells; i++ {
		endpoints = append(endpoints, Endpoint{Replica: uint32(i + 1), Cell: i, State: Ready})
	}
	h.updateEndpoints(kind, endpoints...)
	h.runRound()
}

// updateEndpoints delivers an update of the endpoint list and records what the checks of drains and slow start need.
func (h *harness) updateEndpoints(kind UpdateKind, endpoints ...Endpoint) {
	for _, e := range endpoints {
		h.cellOf[e.Replica] = e.Cell
		if e.State != Ready {
			if _, isKnown := h.informedAt[e.Replica]; !isKnown {
				h.informedAt[e.Replica] = h.now
			}
			continue
		}
		delete(h.informedAt, e.Replica)
		if e.StartedAt > h.startedAt[e.Replica] {
			h.restartReportedAt[e.Replica] = h.now
		}
		h.startedAt[e.Replica] = e.StartedAt
	}
	h.scheduler.EndpointsChanged(h.now, kind, endpoints)
}

// submit submits a query of a class with one part at each of the given shards, all with the same cost hint.
func (h *harness) submit(class int, shards ...int) *testQuery {
	return h.submitWithHint(class, 100, shards...)
}

func (h *harness) submitWithHint(class int, hint float64, shards ...int) *testQuery {
	return h.submitQuery(Query{Class: class}, hint, shards...)
}

// submitWithKey submits a query of the default class with a key.
func (h *harness) submitWithKey(key uint64, shards ...int) *testQuery {
	return h.submitQuery(Query{Key: key}, 100, shards...)
}

// submitQuery assigns a query its number and the deadline of its class, and submits it with one part at each shard.
func (h *harness) submitQuery(in Query, hint float64, shards ...int) *testQuery {
	h.nextID++
	in.ID = h.nextID
	in.QueryGroup = int(h.nextID)
	in.Deadline = h.now + 3000
	q := &testQuery{Query: in}
	h.queries[in.ID] = q
	h.arrivals = append(h.arrivals, h.now)
	h.scheduler.QueryArrived(h.now, in)
	for _, shard := range shards {
		h.addPart(q, shard, hint, 1/float64(len(shards)))
	}
	return q
}

func (h *harness) addPart(q *testQuery, shard int, hint, weight float64) {
	h.nextID++
	p := &testPart{query: q, Part: Part{
		ID:          h.nextID,
		QueryGroup:  q.Query.QueryGroup,
		Shard:       shard,
		Weight:      weight,
		CostHint:    hint,
		HasCostHint: hint > 0,
	}}
	q.parts = append(q.parts, p)
	h.parts[p.Part.ID] = p
	h.arrivals = append(h.arrivals, h.now)
	h.scheduler.PartArrived(h.now, p.Part)
}

func (h *harness) runRound() { h.scheduler.RunRound(h.now) }

// decide runs the round that admits or rejects a query, and returns the query.
func (h *harness) decide(q *testQuery) *testQuery {
	h.runRound()
	return q
}

// advance advances virtual time in ticks of the timer resolution. In each tick it fires due timers, ends cancelled
// and timed-out attempts, calls reply for the other attempts in flight (nil for no replies), and runs a round.
func (h *harness) advance(ms float64, reply func(*sentAttempt)) {
	for end := h.now + ms; h.now < end; {
		h.now += h.settings.TimerResolution
		for len(h.timers) > 0 && h.timers[0] <= h.now {
			h.timers = h.timers[1:]
			h.scheduler.TimerFired(h.now)
		}
		for _, a := range slices.Clone(h.inFlight) {
			switch {
			case a.ended:
			case a.cancelled:
				h.endAttempt(a, Cancelled)
			case a.timeoutMs > 0 && h.now >= a.sentAt+a.timeoutMs:
				h.endAttempt(a, TimedOut)
			case reply != nil:
				reply(a)
			}
		}
		h.runRound()
	}
}

// replyAfter returns a reply function for advance with which every attempt succeeds after the given latency.
func (h *harness) replyAfter(ms float64) func(*sentAttempt) {
	return func(a *sentAttempt) {
		if h.now >= a.sentAt+ms {
			h.endAttempt(a, Succeeded)
		}
	}
}

// endAttempt ends an attempt in flight with an outcome.
func (h *harness) endAttempt(a *sentAttempt, outcome Outcome) {
	h.endAttemptWith(a, AttemptResult{Outcome: outcome})
}

// endAttemptWith ends an attempt in flight. The harness fills in the fields of result that name the attempt, and its
// latency.
func (h *harness) endAttemptWith(a *sentAttempt, result AttemptResult) {
	a.ended = true
	a.outcome = result.Outcome
	if i := slices.Index(h.inFlight, a); i >= 0 {
		h.inFlight = slices.Delete(h.inFlight, i, i+1)
	}
	a.part.arrived = a.part.arrived || result.Outcome == Succeeded
	result.Part = a.part.Part.ID
	result.Attempt = a.number
	result.Replica = a.replica
	result.Latency = h.now - a.sentAt
	h.scheduler.AttemptEnded(h.now, result)
}

// learnBaseline serves queries at 100 ms per part, so that the scheduler learns the baseline latency.
func (h *harness) learnBaseline() {
	for range 60 {
		h.submit(classDefault, 0, 2, 4)
		h.submit(classDefault, 1, 3, 5)
		h.runRound()
		h.advance(120, h.replyAfter(100))
	}
}

// requireEnd fails the test unless the query has ended with the given final answer.
func (h *harness) requireEnd(q *testQuery, end string) {
	h.t.Helper()
	if q.end != end {
		h.t.Fatalf("query %d ended with %q, want %q\n%s", q.Query.ID, q.end, end, strings.Join(h.log, "\n"))
	}
}

// countSentTo returns how many of the given attempts were sent to a replica.
func countSentTo(replica uint32, attempts []*sentAttempt) int {
	count := 0
	for _, a := range attempts {
		if a.replica == replica {
			count++
		}
	}
	return count
}

// replicasUsed returns the set of replicas that the given attempts were sent to.
func replicasUsed(attempts []*sentAttempt) map[uint32]bool {
	used := map[uint32]bool{}
	for _, a := range attempts {
		used[a.replica] = true
	}
	return used
}

// countIdleCloses returns how often the scheduler closed idle connections.
func (h *harness) countIdleCloses() int {
	count := 0
	for _, line := range h.log {
		if strings.Contains(line, " close ") {
			count++
		}
	}
	return count
}

// countAfter returns the number of times after from.
func countAfter(times []float64, from float64) int {
	count := 0
	for _, at := range times {
		if at > from {
			count++
		}
	}
	return count
}

// Send checks an attempt against all rules on sending and records it.
func (h *harness) Send(part uint64, replica uint32, timeoutMs float64) {
	h.log = append(h.log, fmt.Sprintf("%v send %d %d %v", h.now, part, replica, timeoutMs))
	p := h.parts[part]
	if p == nil {
		h.t.Fatalf("unknown part %d sent", part)
	}
	h.checkDestination(p, replica)
	h.checkFurtherAttempt(p)
	if len(p.attempts) > 0 && h.settings.RetryBudget.Window > 0 {
		h.checkRetryBudget()
	}
	a := &sentAttempt{part: p, number: len(p.attempts), replica: replica, sentAt: h.now, timeoutMs: timeoutMs}
	p.attempts = append(p.attempts, a)
	h.sent = append(h.sent, a)
	h.inFlight = append(h.inFlight, a)
	h.checkSlowStart(replica)
}

// checkDestination requires that the part's query is open, that the replica holds its shard and that the grace of the
// replica's drain has not passed.
func (h *harness) checkDestination(p *testPart, replica uint32) {
	if p.query.endedAt > 0 || h.now >= p.query.Query.Deadline {
		h.t.Fatalf("part %d sent after the end of its query", p.Part.ID)
	}
	cells := h.settings.Cells
	offset := (h.cellOf[replica] - p.Part.Shard%cells + cells) % cells
	if offset >= h.settings.CellsPerShard {
		h.t.Fatalf("part of shard %d sent to cell %d, which does not hold it", p.Part.Shard, h.cellOf[replica])
	}
	informedAt, isLeaving := h.informedAt[replica]
	if isLeaving && h.now > informedAt+h.settings.DrainGrace {
		h.t.Fatalf("part sent to replica %d %v ms after its drain was reported", replica, h.now-informedAt)
	}
}

// checkFurtherAttempt requires that the class of a part and the settings allow one more attempt.
func (h *harness) checkFurtherAttempt(p *testPart) {
	class := h.settings.Classes[p.query.Query.Class]
	inFlight := 0
	for _, a := range p.attempts {
		if !a.ended {
			inFlight++
		}
		isPastDedup := class.Idempotency == IdempotentWithKey && h.now > a.sentAt+class.DedupWindow
		if a.mayHaveRun() && (class.Idempotency == NonIdempotent || isPastDedup) {
			h.t.Fatalf("part %d sent again although it may have run", p.Part.ID)
		}
	}
	if inFlight > 0 && !h.settings.AllowHedging || inFlight > 1 {
		h.t.Fatalf("part %d sent with %d attempts in flight", p.Part.ID, inFlight)
	}
}

// checkRetryBudget records a retry and requires that the retry budget allows it.
func (h *harness) checkRetryBudget() {
	budget := h.settings.RetryBudget
	from := h.now - budget.Window
	h.retries = append(h.retries, h.now)
	limit := budget.Spare + budget.Ratio*float64(countAfter(h.arrivals, from))
	used := countAfter(h.retries, from)
	if float64(used) > limit {
		h.t.Fatalf("%d retries in the window, want at most %v", used, limit)
	}
}

// checkSlowStart requires that the work sent to a warming replica in the window is within this broker's even share of
// the allowance. In large fleets the quotas are not even, so the sum over all brokers is checked elsewhere.
func (h *harness) checkSlowStart(replica uint32) {
	slowStart := h.settings.SlowStart
	startedAt := h.startedAt[replica]
	isWarming := startedAt > 0 && h.now < startedAt+slowStart.Duration
	if !isWarming || h.settings.BrokerCount > 4 {
		return
	}
	work := 0.0
	for _, a := range h.sent {
		isInWindow := a.sentAt > h.now-slowStart.Window && a.sentAt >= h.restartReportedAt[replica]
		if a.replica == replica && isInWindow {
			work += a.part.Part.CostHint
		}
	}
	// The replica has two cores and serves parts concurrently.
	ramp := math.Max(0, h.now-startedAt) / slowStart.Duration
	capacity := 2 * (slowStart.InitialCapacity + (1-slowStart.InitialCapacity)*ramp)
	if work > slowStart.WorkMultiple*capacity*slowStart.Window/float64(h.settings.BrokerCount) {
		h.t.Fatalf("warming replica %d sent %v ms of work %v ms after its start", replica, work, h.now-startedAt)
	}
}

// Cancel marks an attempt as cancelled; advance ends it.
func (h *harness) Cancel(part uint64, attempt int) {
	h.log = append(h.log, fmt.Sprintf("%v cancel %d %d", h.now, part, attempt))
	p := h.parts[part]
	if p == nil || attempt >= len(p.attempts) {
		h.t.Fatalf("attempt %d of part %d cancelled, but it was never sent", attempt, part)
	}
	p.attempts[attempt].cancelled = true
}

// Answer requires that enough weight has arrived for the answer. The first of two answers does not end the query.
func (h *harness) Answer(id uint64, complete bool) {
	q := h.queries[id]
	class := h.settings.Classes[q.Query.Class]
	weight := 0.0
	for _, p := range q.parts {
		if p.arrived {
			weight += p.Part.Weight
		}
	}
	hasTooLittleWeight := weight < class.MinCompleteness-1e-4 || complete && weight < class.CompletenessTarget-1e-4
	if hasTooLittleWeight || len(q.parts) == 0 {
		h.t.Fatalf("query %d answered (complete: %v) with a weight of %v", id, complete, weight)
	}
	q.answers++
	q.complete = complete
	if class.SecondStepParts > 0 && q.answers == 1 {
		q.parts = nil
		return
	}
	h.endQuery(id, endAnswer)
}

// Reject requires that no non-idempotent part may have run, as a rejection tells the client that a retry is safe.
func (h *harness) Reject(id uint64, retryAfterMs float64) {
	q := h.endQuery(id, endReject)
	h.rejected[id] = retryAfterMs
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if h.settings.Classes[q.Query.Class].Idempotency == NonIdempotent && a.mayHaveRun() {
				h.t.Fatalf("query %d rejected although a part of it may have run", id)
			}
		}
	}
}

// Fail ends a query. It requires nothing of its parts.
func (h *harness) Fail(id uint64) { h.endQuery(id, endFail) }

// endQuery requires that the query is open and before its deadline, and records its final answer.
func (h *harness) endQuery(id uint64, end string) *testQuery {
	h.log = append(h.log, fmt.Sprintf("%v %s %d", h.now, end, id))
	q := h.queries[id]
	if q == nil || q.endedAt > 0 || q.disconnected {
		h.t.Fatalf("%s of query %d, which is unknown or has ended", end, id)
	}
	if h.now > q.Query.Deadline {
		h.t.Fatalf("%s of query %d %v ms after its deadline", end, id, h.now-q.Query.Deadline)
	}
	q.endedAt = h.now
	q.end = end
	return q
}

func (h *harness) SetTimer(afterMs float64) { h.timers = append(h.timers, h.now+afterMs) }

func (h *harness) CloseIdleConnections(replica uint32) {
	h.log = append(h.log, fmt.Sprintf("%v close %d", h.now, replica))
}

func (h *harness) WatchEndpoints() { h.polls++ }

func (h *harness) Log(text string) { h.log = append(h.log, text) }
