package scheduler

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"ternstage/internal/slicemap"
)

// rig is a co-ordinator for tests: it keeps what the module does and checks the rules on every action.
type rig struct {
	t        *testing.T
	s        Settings
	b        *Scheduler
	now      float64
	log      []string
	queries  map[uint64]*rigQuery
	parts    map[uint64]*rigPart
	sends    []*rigSend
	open     []*rigSend
	told     map[uint32]float64 // when a replica was first called draining or gone
	started  map[uint32]float64
	coldTold map[uint32]float64 // when its start was told
	cell     map[uint32]int
	taken    []float64
	extra    []float64
	watches  int
	refused  map[uint64]float64
	bells    []float64
	next     uint64
}

type rigQuery struct {
	q        Query
	parts    []*rigPart
	answers  int
	whole    bool
	how      string
	gone     bool
	finished float64
}

type rigPart struct {
	p     Part
	q     *rigQuery
	sends []*rigSend
	in    bool
}

type rigSend struct {
	part    *rigPart
	no      int
	replica uint32
	at      float64
	timeout float64
	done    bool
	out     Outcome
	cancel  bool
}

func settings() Settings {
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

func newRig(t *testing.T, s Settings) *rig {
	t.Helper()
	g := &rig{t: t, s: s, now: 1e6, queries: map[uint64]*rigQuery{}, parts: map[uint64]*rigPart{},
		told: map[uint32]float64{}, started: map[uint32]float64{},
		coldTold: map[uint32]float64{}, cell: map[uint32]int{}, refused: map[uint64]float64{}}
	var err error
	if s.Placement == nil {
		s.Placement = slicemap.NewRingPlacement(s.Shards, s.Cells, s.CellsPerShard)
	}
	if g.b, err = New(s, 7, g); err != nil {
		t.Fatal(err)
	}
	return g
}

// fleet lists one replica a cell, numbered from 1, all long warm.
func (g *rig) fleet(kind UpdateKind) {
	var es []Endpoint
	for i := 0; i < g.s.Cells; i++ {
		es = append(es, Endpoint{Replica: uint32(i + 1), Cell: i, State: Ready})
	}
	g.list(kind, es...)
	g.turn()
}

func (g *rig) list(kind UpdateKind, es ...Endpoint) {
	for _, e := range es {
		g.cell[e.Replica] = e.Cell
		if e.State != Ready {
			if _, ok := g.told[e.Replica]; !ok {
				g.told[e.Replica] = g.now
			}
		} else {
			delete(g.told, e.Replica)
			if e.StartedAt > g.started[e.Replica] {
				g.coldTold[e.Replica] = g.now
			}
			g.started[e.Replica] = e.StartedAt
		}
	}
	g.b.EndpointsChanged(g.now, kind, es)
}

// query hands over a query of a class with parts at the given shards, all hinted alike.
func (g *rig) query(class int, shards ...int) *rigQuery { return g.hinted(class, 100, shards...) }

func (g *rig) hinted(class int, hint float64, shards ...int) *rigQuery {
	g.next++
	q := &rigQuery{q: Query{ID: g.next, QueryGroup: int(g.next), Class: class, Deadline: g.now + 3000}}
	g.queries[q.q.ID] = q
	g.taken = append(g.taken, g.now)
	g.b.QueryArrived(g.now, q.q)
	for _, s := range shards {
		g.part(q, s, hint, 1/float64(len(shards)))
	}
	return q
}

func (g *rig) part(q *rigQuery, shard int, hint, weight float64) {
	g.next++
	p := &rigPart{p: Part{ID: g.next, QueryGroup: q.q.QueryGroup, Shard: shard, Weight: weight, CostHint: hint, HasCostHint: hint > 0}, q: q}
	q.parts = append(q.parts, p)
	g.parts[p.p.ID] = p
	g.taken = append(g.taken, g.now)
	g.b.PartArrived(g.now, p.p)
}

func (g *rig) turn() { g.b.RunRound(g.now) }

// pass lets time go by in ticks, with the timers that were asked for; reply answers the attempts.
func (g *rig) pass(ms float64, reply func(*rigSend)) {
	for end := g.now + ms; g.now < end; {
		g.now += g.s.TimerResolution
		for len(g.bells) > 0 && g.bells[0] <= g.now {
			g.bells = g.bells[1:]
			g.b.TimerFired(g.now)
		}
		for _, a := range append([]*rigSend(nil), g.open...) {
			if !a.done && a.cancel {
				g.end(a, Cancelled)
			} else if !a.done && a.timeout > 0 && g.now >= a.at+a.timeout {
				g.end(a, TimedOut)
			} else if !a.done && reply != nil {
				reply(a)
			}
		}
		g.turn()
	}
}

func (g *rig) end(a *rigSend, o Outcome) { g.finish(a, AttemptResult{Outcome: o}) }

// finish ends an attempt; res says how.
func (g *rig) finish(a *rigSend, res AttemptResult) {
	a.done, a.out = true, res.Outcome
	for i, x := range g.open {
		if x == a {
			g.open = append(g.open[:i], g.open[i+1:]...)
			break
		}
	}
	a.part.in = a.part.in || res.Outcome == Succeeded
	res.Part, res.Attempt, res.Replica, res.Latency = a.part.p.ID, a.no, a.replica, g.now-a.at
	g.b.AttemptEnded(g.now, res)
}

// after answers every attempt well once it is ms old.
func (g *rig) after(ms float64) func(*rigSend) {
	return func(a *rigSend) {
		if g.now >= a.at+ms {
			g.end(a, Succeeded)
		}
	}
}

func count(times []float64, from float64) (n int) {
	for _, x := range times {
		if x > from {
			n++
		}
	}
	return n
}

func (g *rig) Send(part uint64, replica uint32, timeout float64) {
	p := g.parts[part]
	g.log = append(g.log, fmt.Sprintf("%v send %d %d %v", g.now, part, replica, timeout))
	if p == nil {
		g.t.Fatalf("sent an unknown part %d", part)
	}
	q, cls := p.q, g.s.Classes[p.q.q.Class]
	if q.finished > 0 || g.now >= q.q.Deadline {
		g.t.Fatalf("part %d sent after its query's end", part)
	}
	off := (g.cell[replica] - p.p.Shard%g.s.Cells + g.s.Cells) % g.s.Cells
	if off >= g.s.CellsPerShard {
		g.t.Fatalf("shard %d sent to cell %d", p.p.Shard, g.cell[replica])
	}
	if at, ok := g.told[replica]; ok && g.now > at+g.s.DrainGrace {
		g.t.Fatalf("replica %d sent to %v ms after its drain was told", replica, g.now-at)
	}
	live := 0
	for _, a := range p.sends {
		mayRun := !a.done || a.out < Rejected
		if !a.done {
			live++
		}
		if mayRun && (cls.Idempotency == NonIdempotent || cls.Idempotency == IdempotentWithKey && g.now > a.at+cls.DedupWindow) {
			g.t.Fatalf("part %d repeated against its effect", part)
		}
	}
	if live > 0 && !g.s.AllowHedging || live > 1 {
		g.t.Fatalf("part %d has %d attempts out already", part, live)
	}
	if len(p.sends) > 0 && g.s.RetryBudget.Window > 0 {
		g.extra = append(g.extra, g.now)
		limit := g.s.RetryBudget.Spare + g.s.RetryBudget.Ratio*float64(count(g.taken, g.now-g.s.RetryBudget.Window))
		if n := count(g.extra, g.now-g.s.RetryBudget.Window); float64(n) > limit {
			g.t.Fatalf("%d further attempts in the window, %v allowed", n, limit)
		}
	}
	a := &rigSend{part: p, no: len(p.sends), replica: replica, at: g.now, timeout: timeout}
	p.sends = append(p.sends, a)
	g.sends, g.open = append(g.sends, a), append(g.open, a)
	if start := g.started[replica]; start > 0 && g.now < start+g.s.SlowStart.Duration && g.s.BrokerCount <= 4 { // more take turns
		work := 0.0
		for _, x := range g.sends {
			if x.replica == replica && x.at > g.now-g.s.SlowStart.Window && x.at >= g.coldTold[replica] {
				work += x.part.p.CostHint
			}
		}
		// A machine of two cores, as it serves parts side by side: what it can do at present, halved for a peer.
		ramp := math.Max(0, g.now-start) / g.s.SlowStart.Duration
		if able := 2 * (g.s.SlowStart.InitialCapacity + (1-g.s.SlowStart.InitialCapacity)*ramp); work > g.s.SlowStart.WorkMultiple*able*g.s.SlowStart.Window/float64(g.s.BrokerCount) {
			g.t.Fatalf("cold replica %d sent %v ms of work %v ms after its start", replica, work, g.now-start)
		}
	}
}

func (g *rig) Cancel(part uint64, attempt int) {
	g.log = append(g.log, fmt.Sprintf("%v cancel %d %d", g.now, part, attempt))
	if p := g.parts[part]; p == nil || attempt >= len(p.sends) {
		g.t.Fatalf("cancelled what was never sentAt: %d %d", part, attempt)
	} else {
		p.sends[attempt].cancel = true
	}
}

func (g *rig) final(id uint64, how string) *rigQuery {
	g.log = append(g.log, fmt.Sprintf("%v %s %d", g.now, how, id))
	q := g.queries[id]
	if q == nil || q.finished > 0 || q.gone {
		g.t.Fatalf("%s of query %d: unknown or ended already", how, id)
	}
	if g.now > q.q.Deadline {
		g.t.Fatalf("%s of query %d %v ms late", how, id, g.now-q.q.Deadline)
	}
	q.finished, q.how = g.now, how
	return q
}

func (g *rig) Answer(id uint64, whole bool) {
	q := g.queries[id]
	cls, share, n := g.s.Classes[q.q.Class], 0.0, len(q.parts)
	for _, p := range q.parts {
		if p.in {
			share += p.p.Weight
		}
	}
	if share < cls.MinCompleteness-1e-4 || whole && share < cls.CompletenessTarget-1e-4 || n == 0 {
		g.t.Fatalf("query %d answered (whole %v) from %v", id, whole, share)
	}
	q.answers, q.whole = q.answers+1, whole
	if cls.SecondStepParts > 0 && q.answers == 1 {
		q.parts = nil
		return
	}
	g.final(id, "answer")
}

func (g *rig) Reject(id uint64, after float64) {
	q := g.final(id, "refuse")
	g.refused[id] = after
	for _, p := range q.parts {
		for _, a := range p.sends {
			if g.s.Classes[q.q.Class].Idempotency == NonIdempotent && (!a.done || a.out < Rejected) {
				g.t.Fatalf("query %d refused though a part may have run", id)
			}
		}
	}
}

func (g *rig) Fail(id uint64)         { g.final(id, "fail") }
func (g *rig) SetTimer(after float64) { g.bells = append(g.bells, g.now+after) }
func (g *rig) CloseIdleConnections(r uint32) {
	g.log = append(g.log, fmt.Sprintf("%v drop %d", g.now, r))
}
func (g *rig) WatchEndpoints() { g.watches++ }
func (g *rig) Log(text string) { g.log = append(g.log, text) }

func (g *rig) mustEnd(q *rigQuery, how string) {
	g.t.Helper()
	if q.how != how {
		g.t.Fatalf("query %d ended by %q, want %q\n%s", q.q.ID, q.how, how, strings.Join(g.log, "\n"))
	}
}

// warm lets the fleet serve some traffic, so that usual latencies are known.
func (g *rig) warm() {
	for range 60 {
		g.query(0, 0, 2, 4)
		g.query(0, 1, 3, 5)
		g.turn()
		g.pass(120, g.after(100))
	}
}

// keyed hands over a query about a key.
func (g *rig) keyed(key uint64, shards ...int) *rigQuery {
	g.next++
	q := &rigQuery{q: Query{ID: g.next, QueryGroup: int(g.next), Key: key, Deadline: g.now + 3000}}
	g.queries[q.q.ID] = q
	g.taken = append(g.taken, g.now)
	g.b.QueryArrived(g.now, q.q)
	for _, s := range shards {
		g.part(q, s, 100, 1/float64(len(shards)))
	}
	return q
}

func (g *rig) turned(q *rigQuery) *rigQuery { g.turn(); return q }
