package scheduler

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"ternstage/internal/slicemap"
)

// harness is a co-ordinator for tests: it keeps what the module does and checks the rules on every action.
type harness struct {
	t                 *testing.T
	settings          Settings
	scheduler         *Scheduler
	now               float64
	log               []string
	queries           map[uint64]*testQuery
	parts             map[uint64]*testPart
	sent              []*sentAttempt
	inFlight          []*sentAttempt
	informedAt        map[uint32]float64 // when a replica was first called draining or gone
	startedAt         map[uint32]float64
	restartReportedAt map[uint32]float64 // when its start was told
	cellOf            map[uint32]int
	arrivals          []float64
	retries           []float64
	polls             int
	rejected          map[uint64]float64
	timers            []float64
	nextID            uint64
}

type testQuery struct {
	Query        Query
	parts        []*testPart
	answers      int
	complete     bool
	end          string
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

func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 1, LateFactor: 0.3, Idempotency: Idempotent, MinCompleteness: 1, CompletenessTarget: 1},
			{LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 2, LateFactor: 0.1, Idempotency: Idempotent, MinCompleteness: 0.5, CompletenessTarget: 1, PartialFactor: 0.8},
			{LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 1, Idempotency: NonIdempotent, MinCompleteness: 1, CompletenessTarget: 1},
			{LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 2, LateFactor: 0.3, Idempotency: Idempotent, MinCompleteness: 0.67, CompletenessTarget: 0.67},
			{LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 1, LateFactor: 0.1, Idempotency: IdempotentWithKey, DedupWindow: 400, MinCompleteness: 1, CompletenessTarget: 1},
			{LatencyObjective: 1000, Deadline: 3000, PriorityWeight: 1, LateFactor: 0.3, Idempotency: Idempotent, MinCompleteness: 1, CompletenessTarget: 1, SecondStepParts: 2},
		},
		BrokerCount: 2, TimerResolution: 5, Shards: 6, Cells: 6, CellsPerShard: 3, MaxPartsPerCall: 1, CanCancel: true, AllowHedging: true, MaxAttempts: 4,
		MaxRetryAfter: 1000, DrainGrace: 500, SlowStart: SlowStartSettings{InitialCapacity: 0.15, Duration: 15000, WorkMultiple: 4, Window: 1000},
		RetryBudget: RetryBudgetSettings{Spare: 5, Ratio: 0.05, Window: 2000}, AnswerGrace: 20,
	}
}

func newHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	h := &harness{t: t, settings: settings, now: 1e6, queries: map[uint64]*testQuery{}, parts: map[uint64]*testPart{},
		informedAt: map[uint32]float64{}, startedAt: map[uint32]float64{},
		restartReportedAt: map[uint32]float64{}, cellOf: map[uint32]int{}, rejected: map[uint64]float64{}}
	var err error
	if settings.Placement == nil {
		settings.Placement = slicemap.NewRingPlacement(settings.Shards, settings.Cells, settings.CellsPerShard)
	}
	if h.scheduler, err = New(settings, 7, h); err != nil {
		t.Fatal(err)
	}
	return h
}

// listFleet lists one replica a cell, numbered from 1, all long warm.
func (h *harness) listFleet(kind UpdateKind) {
	var endpoints []Endpoint
	for i := 0; i < h.settings.Cells; i++ {
		endpoints = append(endpoints, Endpoint{Replica: uint32(i + 1), Cell: i, State: Ready})
	}
	h.updateEndpoints(kind, endpoints...)
	h.runRound()
}

func (h *harness) updateEndpoints(kind UpdateKind, endpoints ...Endpoint) {
	for _, e := range endpoints {
		h.cellOf[e.Replica] = e.Cell
		if e.State != Ready {
			if _, ok := h.informedAt[e.Replica]; !ok {
				h.informedAt[e.Replica] = h.now
			}
		} else {
			delete(h.informedAt, e.Replica)
			if e.StartedAt > h.startedAt[e.Replica] {
				h.restartReportedAt[e.Replica] = h.now
			}
			h.startedAt[e.Replica] = e.StartedAt
		}
	}
	h.scheduler.EndpointsChanged(h.now, kind, endpoints)
}

// submit hands over a query of a class with parts at the given shards, all hinted alike.
func (h *harness) submit(class int, shards ...int) *testQuery {
	return h.submitWithHint(class, 100, shards...)
}

func (h *harness) submitWithHint(class int, hint float64, shards ...int) *testQuery {
	h.nextID++
	q := &testQuery{Query: Query{ID: h.nextID, QueryGroup: int(h.nextID), Class: class, Deadline: h.now + 3000}}
	h.queries[q.Query.ID] = q
	h.arrivals = append(h.arrivals, h.now)
	h.scheduler.QueryArrived(h.now, q.Query)
	for _, s := range shards {
		h.addPart(q, s, hint, 1/float64(len(shards)))
	}
	return q
}

func (h *harness) addPart(q *testQuery, shard int, hint, weight float64) {
	h.nextID++
	p := &testPart{Part: Part{ID: h.nextID, QueryGroup: q.Query.QueryGroup, Shard: shard, Weight: weight, CostHint: hint, HasCostHint: hint > 0}, query: q}
	q.parts = append(q.parts, p)
	h.parts[p.Part.ID] = p
	h.arrivals = append(h.arrivals, h.now)
	h.scheduler.PartArrived(h.now, p.Part)
}

func (h *harness) runRound() { h.scheduler.RunRound(h.now) }

// advance lets time go by in ticks, with the timers that were asked for; reply answers the attempts.
func (h *harness) advance(ms float64, reply func(*sentAttempt)) {
	for end := h.now + ms; h.now < end; {
		h.now += h.settings.TimerResolution
		for len(h.timers) > 0 && h.timers[0] <= h.now {
			h.timers = h.timers[1:]
			h.scheduler.TimerFired(h.now)
		}
		for _, a := range append([]*sentAttempt(nil), h.inFlight...) {
			if !a.ended && a.cancelled {
				h.endAttempt(a, Cancelled)
			} else if !a.ended && a.timeoutMs > 0 && h.now >= a.sentAt+a.timeoutMs {
				h.endAttempt(a, TimedOut)
			} else if !a.ended && reply != nil {
				reply(a)
			}
		}
		h.runRound()
	}
}

func (h *harness) endAttempt(a *sentAttempt, o Outcome) {
	h.endAttemptWith(a, AttemptResult{Outcome: o})
}

// endAttemptWith ends an attempt; res says how.
func (h *harness) endAttemptWith(a *sentAttempt, res AttemptResult) {
	a.ended, a.outcome = true, res.Outcome
	for i, x := range h.inFlight {
		if x == a {
			h.inFlight = append(h.inFlight[:i], h.inFlight[i+1:]...)
			break
		}
	}
	a.part.arrived = a.part.arrived || res.Outcome == Succeeded
	res.Part, res.Attempt, res.Replica, res.Latency = a.part.Part.ID, a.number, a.replica, h.now-a.sentAt
	h.scheduler.AttemptEnded(h.now, res)
}

// replyAfter answers every attempt well once it is ms old.
func (h *harness) replyAfter(ms float64) func(*sentAttempt) {
	return func(a *sentAttempt) {
		if h.now >= a.sentAt+ms {
			h.endAttempt(a, Succeeded)
		}
	}
}

func countAfter(times []float64, from float64) (n int) {
	for _, x := range times {
		if x > from {
			n++
		}
	}
	return n
}

func (h *harness) Send(part uint64, replica uint32, timeout float64) {
	p := h.parts[part]
	h.log = append(h.log, fmt.Sprintf("%v send %d %d %v", h.now, part, replica, timeout))
	if p == nil {
		h.t.Fatalf("sent an unknown part %d", part)
	}
	q, cls := p.query, h.settings.Classes[p.query.Query.Class]
	if q.endedAt > 0 || h.now >= q.Query.Deadline {
		h.t.Fatalf("part %d sent after its query's end", part)
	}
	off := (h.cellOf[replica] - p.Part.Shard%h.settings.Cells + h.settings.Cells) % h.settings.Cells
	if off >= h.settings.CellsPerShard {
		h.t.Fatalf("shard %d sent to cell %d", p.Part.Shard, h.cellOf[replica])
	}
	if at, ok := h.informedAt[replica]; ok && h.now > at+h.settings.DrainGrace {
		h.t.Fatalf("replica %d sent to %v ms after its drain was told", replica, h.now-at)
	}
	live := 0
	for _, a := range p.attempts {
		mayRun := !a.ended || a.outcome < Rejected
		if !a.ended {
			live++
		}
		if mayRun && (cls.Idempotency == NonIdempotent || cls.Idempotency == IdempotentWithKey && h.now > a.sentAt+cls.DedupWindow) {
			h.t.Fatalf("part %d repeated against its effect", part)
		}
	}
	if live > 0 && !h.settings.AllowHedging || live > 1 {
		h.t.Fatalf("part %d has %d attempts out already", part, live)
	}
	if len(p.attempts) > 0 && h.settings.RetryBudget.Window > 0 {
		h.retries = append(h.retries, h.now)
		limit := h.settings.RetryBudget.Spare + h.settings.RetryBudget.Ratio*float64(countAfter(h.arrivals, h.now-h.settings.RetryBudget.Window))
		if n := countAfter(h.retries, h.now-h.settings.RetryBudget.Window); float64(n) > limit {
			h.t.Fatalf("%d further attempts in the window, %v allowed", n, limit)
		}
	}
	a := &sentAttempt{part: p, number: len(p.attempts), replica: replica, sentAt: h.now, timeoutMs: timeout}
	p.attempts = append(p.attempts, a)
	h.sent, h.inFlight = append(h.sent, a), append(h.inFlight, a)
	if start := h.startedAt[replica]; start > 0 && h.now < start+h.settings.SlowStart.Duration && h.settings.BrokerCount <= 4 { // more take turns
		work := 0.0
		for _, x := range h.sent {
			if x.replica == replica && x.sentAt > h.now-h.settings.SlowStart.Window && x.sentAt >= h.restartReportedAt[replica] {
				work += x.part.Part.CostHint
			}
		}
		// A machine of two cores, as it serves parts side by side: what it can do at present, halved for a peer.
		ramp := math.Max(0, h.now-start) / h.settings.SlowStart.Duration
		if able := 2 * (h.settings.SlowStart.InitialCapacity + (1-h.settings.SlowStart.InitialCapacity)*ramp); work > h.settings.SlowStart.WorkMultiple*able*h.settings.SlowStart.Window/float64(h.settings.BrokerCount) {
			h.t.Fatalf("cold replica %d sent %v ms of work %v ms after its start", replica, work, h.now-start)
		}
	}
}

func (h *harness) Cancel(part uint64, attempt int) {
	h.log = append(h.log, fmt.Sprintf("%v cancel %d %d", h.now, part, attempt))
	if p := h.parts[part]; p == nil || attempt >= len(p.attempts) {
		h.t.Fatalf("cancelled what was never sentAt: %d %d", part, attempt)
	} else {
		p.attempts[attempt].cancelled = true
	}
}

func (h *harness) endQuery(id uint64, how string) *testQuery {
	h.log = append(h.log, fmt.Sprintf("%v %s %d", h.now, how, id))
	q := h.queries[id]
	if q == nil || q.endedAt > 0 || q.disconnected {
		h.t.Fatalf("%s of query %d: unknown or ended already", how, id)
	}
	if h.now > q.Query.Deadline {
		h.t.Fatalf("%s of query %d %v ms late", how, id, h.now-q.Query.Deadline)
	}
	q.endedAt, q.end = h.now, how
	return q
}

func (h *harness) Answer(id uint64, whole bool) {
	q := h.queries[id]
	cls, share, n := h.settings.Classes[q.Query.Class], 0.0, len(q.parts)
	for _, p := range q.parts {
		if p.arrived {
			share += p.Part.Weight
		}
	}
	if share < cls.MinCompleteness-1e-4 || whole && share < cls.CompletenessTarget-1e-4 || n == 0 {
		h.t.Fatalf("query %d answered (whole %v) from %v", id, whole, share)
	}
	q.answers, q.complete = q.answers+1, whole
	if cls.SecondStepParts > 0 && q.answers == 1 {
		q.parts = nil
		return
	}
	h.endQuery(id, "answer")
}

func (h *harness) Reject(id uint64, after float64) {
	q := h.endQuery(id, "reject")
	h.rejected[id] = after
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if h.settings.Classes[q.Query.Class].Idempotency == NonIdempotent && (!a.ended || a.outcome < Rejected) {
				h.t.Fatalf("query %d refused though a part may have run", id)
			}
		}
	}
}

func (h *harness) Fail(id uint64)         { h.endQuery(id, "fail") }
func (h *harness) SetTimer(after float64) { h.timers = append(h.timers, h.now+after) }
func (h *harness) CloseIdleConnections(r uint32) {
	h.log = append(h.log, fmt.Sprintf("%v close %d", h.now, r))
}
func (h *harness) WatchEndpoints() { h.polls++ }
func (h *harness) Log(text string) { h.log = append(h.log, text) }

func (h *harness) requireEnd(q *testQuery, how string) {
	h.t.Helper()
	if q.end != how {
		h.t.Fatalf("query %d ended by %q, want %q\n%s", q.Query.ID, q.end, how, strings.Join(h.log, "\n"))
	}
}

// learnBaseline lets the fleet serve some traffic, so that usual latencies are known.
func (h *harness) learnBaseline() {
	for range 60 {
		h.submit(0, 0, 2, 4)
		h.submit(0, 1, 3, 5)
		h.runRound()
		h.advance(120, h.replyAfter(100))
	}
}

// submitWithKey hands over a query about a key.
func (h *harness) submitWithKey(key uint64, shards ...int) *testQuery {
	h.nextID++
	q := &testQuery{Query: Query{ID: h.nextID, QueryGroup: int(h.nextID), Key: key, Deadline: h.now + 3000}}
	h.queries[q.Query.ID] = q
	h.arrivals = append(h.arrivals, h.now)
	h.scheduler.QueryArrived(h.now, q.Query)
	for _, s := range shards {
		h.addPart(q, s, 100, 1/float64(len(shards)))
	}
	return q
}

func (h *harness) decided(q *testQuery) *testQuery { h.runRound(); return q }
