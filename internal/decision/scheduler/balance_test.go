package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
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

func TestQueueThresholdsSeparateWhateverTheUnit(t *testing.T) {
	for _, unit := range []float64{0.001, 1, 5000} {
		b := newRig(t, settings())
		b.fleet(UpdateFull)
		for range 200 {
			b.hinted(0, unit, 0)
			b.hinted(0, unit, 1)
			b.hinted(0, 4*unit, 2)
			b.turn()
			b.pass(10, b.after(0))
		}
		cheap, dear := b.hinted(0, unit, 0), b.hinted(0, 4*unit, 2)
		if a, c := bottleneckQueue(b.b.parts[cheap.parts[0].p.ID].cost), bottleneckQueue(b.b.parts[dear.parts[0].p.ID].cost); a >= c {
			t.Fatalf("unit %v: cheap in queue %d, dear in %d", unit, a, c)
		}
	}
	if bottleneckQueue(1) != 0 || bottleneckQueue(queueThresholdRatio) != 1 || bottleneckQueue(0.2) != 0 || bottleneckQueue(1e9) != queueCount-1 {
		t.Fatal("thresholds")
	}
}

func TestWithoutHintsCallSizesSeparate(t *testing.T) {
	s := settings()
	s.MaxPartsPerCall, s.Shards = 16, 24
	g := newRig(t, s)
	g.fleet(UpdateFull)
	p := func(shards ...int) (ps []*part) {
		q := &query{class: &s.Classes[0]}
		for i, sh := range shards {
			ps = append(ps, &part{Part: Part{ID: uint64(i), Shard: sh}, query: q, cost: 1})
		}
		return ps
	}
	g.b.enqueue(g.now, p(0))
	g.b.enqueue(g.now, p(1, 7, 13, 19)) // the same holders: one call of cost 4
	if len(g.b.queues.dense[0].fifo[0]) != 1 || len(g.b.queues.dense[1].fifo[3]) != 1 {
		t.Fatal("one part belongs in the fastest queue, a call of four in the slowest")
	}
}

func TestRatioRule(t *testing.T) {
	for _, c := range []struct {
		b     int
		ratio float64
		want  int
	}{{0, 1, 0}, {0, 0.8, 1}, {0, 0.59, 2}, {0, 0.1, 3}, {1, 1, 1}, {1, 0.5, 3}, {3, 0.1, 3}} {
		if got := slackQueue(c.b, c.ratio); got != c.want {
			t.Errorf("bottleneck in %d, ratio %v: queue %d, want %d", c.b, c.ratio, got, c.want)
		}
	}
}

func TestDeficitRoundRobinSharesByRate(t *testing.T) {
	s := &shardQueues{}
	for i := range s.fifo {
		for range 1000 {
			s.fifo[i] = append(s.fifo[i], &queuedCall{cost: 1.5})
		}
	}
	var got [queueCount]float64
	for range 1000 {
		i := s.next()
		s.deficit[i] -= 1.5
		s.fifo[i] = s.fifo[i][1:]
		got[i]++
	}
	for i, n := range got {
		if want := 1000 * queueRates[i] / 14; math.Abs(n-want) > 15 {
			t.Errorf("queue %d released %v of 1000, want about %v", i, n, want)
		}
	}
}

func TestHoldOnlyWhileEveryReplicaIsSlowAndNeverWithNothingOut(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var qs []*rigQuery
	for range 100 {
		qs = append(qs, g.query(0, 0))
	}
	g.turn()
	sent := len(g.open)
	if sent < 3 || sent >= 100 {
		t.Fatalf("%d of 100 parts of one shard let go at once", sent)
	}
	g.pass(150, nil)
	if len(g.open) > 30 {
		t.Fatalf("%d out at stalled replicas", len(g.open))
	}
	for _, a := range append([]*rigSend(nil), g.open...) {
		if a.replica == 1 {
			g.end(a, Succeeded)
		}
	}
	before := len(g.sends)
	g.turn()
	if len(g.sends) == before {
		t.Fatal("a replica with nothing of ours out was held against")
	}
	g.pass(3000, g.after(100))
	for _, q := range qs {
		if q.finished == 0 {
			t.Fatalf("query %d never ended", q.q.ID)
		}
	}
}

func TestPromotionAtHalfTheAim(t *testing.T) {
	s, class := &shardQueues{}, settings().Classes[0]
	q := &query{class: &class, arrivedAt: 0}
	c := &queuedCall{parts: []*part{{query: q, queued: true}}, cost: 9}
	s.fifo[3] = []*queuedCall{c}
	if s.refresh(class.LatencyObjective * promotionObjectiveShare); len(s.fifo[3]) != 1 {
		t.Fatal("promoted too early")
	}
	if s.refresh(class.LatencyObjective*promotionObjectiveShare + 1); len(s.fifo[0]) != 1 || len(s.fifo[3]) != 0 {
		t.Fatal("not promoted")
	}
}

func TestFewestOwnCallsOut(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	for range 3 {
		g.query(0, 0)
		g.turn()
	}
	seen := map[uint32]bool{}
	for _, a := range g.sends {
		seen[a.replica] = true
	}
	if len(seen) != 3 {
		t.Fatalf("three parts of one shard went to %v", seen)
	}
}

func TestSharedCallCountsOnceAndGoesTogether(t *testing.T) {
	s := settings()
	s.MaxPartsPerCall, s.Shards = 16, 18
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.query(0, 0, 6, 12)
	g.turn()
	if len(g.sends) != 3 || g.sends[0].replica != g.sends[1].replica || g.sends[1].replica != g.sends[2].replica {
		t.Fatalf("parts with the same holders went apart: %v", g.log)
	}
	if r := g.b.replicas.byID[g.sends[0].replica]; r.callsInFlight != 1 {
		t.Fatalf("%d calls counted", r.callsInFlight)
	}
}

func TestOneFinalAnswerInOddCases(t *testing.T) {
	g := newRig(t, settings())
	empty := g.query(0)
	g.turn()
	g.mustEnd(empty, "refuse")
	nobody := g.query(0, 0) // no replica is known at all
	g.turn()
	g.pass(3000, nil)
	g.mustEnd(nobody, "refuse")
	g.fleet(UpdateFull)
	hung := g.query(0, 0)
	g.turn()
	g.pass(3100, nil)
	g.mustEnd(hung, "refuse")
	unsafe := g.query(2, 0)
	g.turn()
	g.pass(3100, nil)
	g.mustEnd(unsafe, "fail") // it may have run: no promise
}

func TestEffects(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	q := g.query(2, 0)
	g.turn()
	g.now += 5
	g.end(g.open[0], ConnectFailed) // never ran: may go again
	g.turn()
	if n := len(q.parts[0].sends); n != 2 {
		t.Fatalf("%d attempts after a proof that the first never ran", n)
	}
	g.now += 5
	g.end(g.open[0], Failed)
	g.turn()
	g.mustEnd(q, "fail") // at once, not at the deadline
	k := g.query(4, 1)
	g.turn()
	g.pass(450, nil) // past the window of 400
	g.end(k.parts[0].sends[len(k.parts[0].sends)-1], Failed)
	n := len(k.parts[0].sends)
	g.pass(500, nil)
	if len(k.parts[0].sends) != n {
		t.Fatal("keyed part sent again outside its window")
	}
}

func TestDrainsAreKeptAndReplicasComeBack(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.list(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Draining}, Endpoint{Replica: 2, Cell: 1, State: Removed})
	for range 40 {
		g.query(0, 0)
		g.turn()
		g.pass(50, g.after(40))
	}
	for _, a := range g.sends {
		if a.replica != 3 {
			t.Fatalf("replica %d got a part", a.replica)
		}
	}
	g.list(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Ready})
	n := len(g.sends)
	for range 10 {
		g.query(0, 0)
		g.turn()
		g.pass(20, nil)
	}
	back := false
	for _, a := range g.sends[n:] {
		back = back || a.replica == 1
	}
	if !back {
		t.Fatal("a replica that is ready again gets nothing")
	}
}

func TestWatchIsRenewedWithGrowingDelay(t *testing.T) {
	s := settings()
	s.PollEndpoints, s.MaxStaleness = true, 10000
	g := newRig(t, s)
	g.fleet(UpdateCached)
	if g.watches != 1 {
		t.Fatalf("%d calls after a start with a cached list", g.watches)
	}
	for range 5 { // every call fails
		g.list(UpdateFailed)
		g.turn()
		n := g.watches
		g.pass(100, nil)
		if g.watches != n {
			t.Fatal("asked again at once")
		}
		g.pass(4000, nil)
		if g.watches != n+1 {
			t.Fatalf("%d calls in 4 s after a failure", g.watches-n)
		}
	}
	g.list(UpdateDelta)
	n := g.watches
	g.turn()
	g.pass(20000, nil)
	if g.watches != n {
		t.Fatal("asked again while subscribed")
	}
}

func TestColdReplicaIsSpared(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	for i := uint32(1); i <= 3; i++ {
		g.list(UpdateDelta, Endpoint{Replica: i, Cell: int(i) - 1, State: Ready, StartedAt: g.now})
	}
	for range 100 { // the rig checks the allowance on every send
		g.query(0, 0)
		g.turn()
		g.pass(20, g.after(15))
	}
}

func TestAttemptBudget(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	for range 30 { // everything fails at once; the rig checks the budget
		g.query(0, 0, 1, 2)
		g.turn()
		g.pass(30, func(a *rigSend) { g.end(a, Failed) })
	}
	if len(g.extra) == 0 {
		t.Fatal("no further attempt was ever made")
	}
}

func TestFastFailingReplicaIsLeftAndComesBack(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	n, bad := len(g.sends), 0
	run := func(fail bool) {
		for range 60 {
			g.query(0, 0)
			g.turn()
			g.pass(50, func(a *rigSend) {
				if a.replica == 1 && fail {
					g.end(a, Failed)
				} else if g.now >= a.at+40 {
					g.end(a, Succeeded)
				}
			})
		}
		bad = 0
		for _, a := range g.sends[n:] {
			if a.replica == 1 {
				bad++
			}
		}
		n = len(g.sends)
	}
	if run(true); bad > 8 {
		t.Fatalf("a replica that fails all its parts got %d of 60", bad)
	}
	run(false)
	if run(false); bad < 10 {
		t.Fatalf("after its recovery it gets %d of 60", bad)
	}
}

// What a replica does well for other classes does not clear it for parts that are lost by one failure.
func TestReplicaThatFailsOneClassAlone(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var failed, others int
	for range 100 {
		g.query(0, 0)
		g.query(0, 0)
		g.query(2, 0)
		g.turn()
		g.pass(100, func(a *rigSend) {
			if a.replica == 1 && a.part.q.q.Class == 2 {
				failed++
				g.end(a, Failed)
			} else if g.now >= a.at+40 {
				if a.replica == 1 {
					others++
				}
				g.end(a, Succeeded)
			}
		})
	}
	if failed > 3 || others < 20 {
		t.Fatalf("the replica failed %d parts of the class and served %d of others", failed, others)
	}
}

// A part that hangs where no second copy may be out is given up, and tried elsewhere a while after that.
func TestLateSafePartMoves(t *testing.T) {
	s := settings()
	s.AllowHedging = false
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	var hung *rigSend
	safe, unsafe := g.query(0, 0), g.query(2, 3)
	g.turn()
	g.pass(900, func(a *rigSend) {
		if hung == nil {
			hung = a
		}
		if a != hung && a.part.q != unsafe {
			g.after(40)(a)
		}
	})
	g.mustEnd(safe, "answer")
	sends := safe.parts[0].sends
	if len(sends) != 2 || !sends[0].cancel || sends[1].at < sends[0].at+15 || len(unsafe.parts[0].sends) != 1 {
		t.Fatalf("%d sends of the safe part, %d of the other", len(sends), len(unsafe.parts[0].sends))
	}
}

func TestStalledReplicaIsHedgedButSharedSlownessIsNot(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	q := g.query(0, 0)
	g.turn()
	first := q.parts[0].sends[0]
	g.pass(900, func(a *rigSend) {
		if a != first && g.now >= a.at+100 {
			g.end(a, Succeeded)
		}
	})
	g.mustEnd(q, "answer")
	if len(q.parts[0].sends) != 2 || q.parts[0].sends[1].replica == first.replica || !first.cancel {
		t.Fatalf("want one second copy elsewhere and the first cancelled: %v", g.log)
	}
	extra := len(g.extra)
	for range 40 { // all are six times slower: no replica is better than another
		g.query(0, 0, 1, 2, 3, 4, 5)
		g.turn()
		g.pass(100, g.after(600))
	}
	if n := len(g.extra) - extra; n > 12 {
		t.Fatalf("%d second copies while the whole fleet is slow", n)
	}
	ready := 0
	for _, r := range g.b.replicas.ordered {
		if g.b.normalizedLatency(g.now, r) < ejectionLatency*g.b.latency.fleetLevel {
			ready++
		}
	}
	if ready < 5 {
		t.Fatalf("only %d of 6 replicas left usable in a shared slowness", ready)
	}
}

func TestOneStuckPartDoesNotBlockItsReplica(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var stuck []*rigSend
	for range 3 { // one unsafe part hangs at each replica of shard 0; no copy may be made of it
		q := g.query(2, 0)
		g.turn()
		stuck = append(stuck, q.parts[0].sends[0])
	}
	answered := 0
	for range 30 {
		q := g.query(0, 0)
		g.turn()
		g.pass(25, func(a *rigSend) {
			if a != stuck[0] && a != stuck[1] && a != stuck[2] && g.now >= a.at+20 {
				g.end(a, Succeeded)
			}
		})
		if q.how == "answer" {
			answered++
		}
	}
	if answered < 28 {
		t.Fatalf("only %d of 30 answered beside three stuck parts", answered)
	}
}

func TestLittleLateWorthEndsAtTheAim(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	little, more := g.query(4, 0), g.query(0, 1)
	g.turn()
	for _, a := range g.open {
		if class := a.part.q.q.Class; (a.timeout <= 1000) != (class == 4) {
			t.Fatalf("class %d: time-out %v", class, a.timeout)
		}
	}
	g.pass(1010, nil)
	g.mustEnd(little, "fail") // keyed and possibly run: no promise
	if more.finished > 0 {
		t.Fatal("a query with late worth was ended at its aim")
	}
}

func TestDeadSetDoesNotBurnTries(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	q := g.query(0, 0)
	g.turn()
	back := g.now + 280
	g.pass(700, func(a *rigSend) {
		if g.now < back {
			g.end(a, ConnectFailed)
		} else if g.now >= a.at+50 {
			g.end(a, Succeeded)
		}
	})
	g.mustEnd(q, "answer") // its replicas refused connections for 280 ms and came back
}

func TestStaleListDuringReleaseAndBudgetSpent(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	for range 10 { // budget spent on failures while replicas 2 and 3 are replaced without the list saying so
		g.query(0, 0, 1, 2)
		g.turn()
		g.pass(20, func(a *rigSend) { g.end(a, ConnectFailed) })
	}
	g.list(UpdateFull, Endpoint{Replica: 1, Cell: 0, State: Ready}, Endpoint{Replica: 22, Cell: 1, State: Ready, StartedAt: g.now},
		Endpoint{Replica: 33, Cell: 2, State: Ready, StartedAt: g.now}, Endpoint{Replica: 4, Cell: 3, State: Ready},
		Endpoint{Replica: 5, Cell: 4, State: Ready}, Endpoint{Replica: 6, Cell: 5, State: Ready})
	g.turn()
	g.pass(4000, g.after(50))
	answered := 0
	for range 40 {
		q := g.query(0, 0, 1, 2)
		g.turn()
		g.pass(150, g.after(50))
		if q.how == "answer" {
			answered++
		}
	}
	if answered < 36 {
		t.Fatalf("%d of 40 answered after the release", answered)
	}
}

func TestFullReplicasAreNotHammered(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	n := len(g.sends)
	g.query(0, 0)
	g.turn()
	g.pass(900, func(a *rigSend) { g.end(a, Rejected) })
	if got := len(g.sends) - n; got > 6 {
		t.Fatalf("%d attempts at full replicas", got)
	}
}

func TestPartialAnswerAtTheAim(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	q := g.query(1, 0, 1, 2, 3)
	g.turn()
	for _, a := range append([]*rigSend(nil), g.open[:3]...) {
		g.end(a, Succeeded)
	}
	g.pass(995, nil)
	g.mustEnd(q, "answer")
	if q.whole {
		t.Fatal("marked whole")
	}
}

func TestReservePartsStandIn(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	q := g.query(3, 0, 1, 2, 3, 4, 5, 0, 1, 2)
	g.turn()
	first := len(g.sends)
	if first >= 9 || first < 6 {
		t.Fatalf("%d of 9 parts asked where 67%% make it whole", first)
	}
	g.now += 5
	g.end(g.open[0], Failed)
	g.turn()
	if len(g.sends) != first+1 || len(g.extra) != 0 {
		t.Fatal("a reserve part should stand in for the failed one, without a further attempt")
	}
	g.pass(200, g.after(50))
	g.mustEnd(q, "answer")
}

func TestSecondStep(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	q := g.query(5, 0, 1)
	g.turn()
	g.pass(60, g.after(40))
	if q.answers != 1 || q.finished > 0 {
		t.Fatal("first step not answered")
	}
	g.part(q, 0, 100, 0.5)
	g.part(q, 1, 100, 0.5)
	g.turn()
	g.pass(60, g.after(40))
	g.mustEnd(q, "answer")
	if q.answers != 2 || !q.whole {
		t.Fatalf("%+v", q)
	}
}

func TestOverloadShedsLowWorthFirstWithRetryAfter(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var low, high []*rigQuery
	for range 300 {
		low, high = append(low, g.query(0, 0, 1)), append(high, g.query(1, 0, 1))
		g.turn()
		g.pass(10, g.after(150))
	}
	g.pass(3000, g.after(150))
	done := func(qs []*rigQuery) (n int) {
		for _, q := range qs {
			if q.how == "answer" {
				n++
			}
		}
		return n
	}
	if l, h := done(low), done(high); h <= l || h == 300 {
		t.Fatalf("answered %d of low worth and %d of high", l, h)
	}
	for id, after := range g.refused {
		if after <= 0 || after > g.s.MaxRetryAfter {
			t.Fatalf("query %d refused with retry-after %v", id, after)
		}
	}
}

func TestHeldLateRepeatsGoFirst(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	q := Query{ID: 900000, QueryGroup: 900000, Deadline: g.now + 1500, ClientRetry: true} // half of its time is gone
	g.b.QueryArrived(g.now, q)
	if v := g.b.queries[q.ID].priority; v >= 0.3 {
		t.Fatalf("a repeat past its aim is valued at %v", v)
	}
	delete(g.queries, q.ID)
	g.b.ClientDisconnected(g.now, q.ID)
	if len(g.b.queries) != 0 {
		t.Fatal("a query is left behind")
	}
}

func TestUntrueHintsDoNotWidenTheColdAllowance(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	for range 60 { // hints say 1 ms, the parts take 100
		g.hinted(0, 1, 0, 2, 4)
		g.turn()
		g.pass(120, g.after(100))
	}
	if w := g.b.meanPartWorkMs(); w < 50 {
		t.Fatalf("a part of 100 ms is taken for %v ms", w)
	}
}

func TestCoarseTicksStillAnswerInTime(t *testing.T) {
	s := settings()
	s.TimerResolution = 100
	g := newRig(t, s)
	g.fleet(UpdateFull)
	q := g.query(0, 0)
	q.q.Deadline += 37
	g.turn()
	g.pass(3200, nil) // the rig fails the test on a late answer
	g.mustEnd(q, "refuse")
}

func TestPartThatIsOverIsNotSentAgain(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	q := g.query(0, 0)
	g.turn()
	g.b.AttemptEnded(g.now, AttemptResult{Part: q.parts[0].p.ID, Replica: q.parts[0].sends[0].replica, Outcome: Failed, PartDone: true})
	g.turn()
	g.pass(100, nil)
	if len(q.parts[0].sends) != 1 {
		t.Fatal("a part that is over was sent again")
	}
	g.mustEnd(q, "refuse")
}

func TestSettingsOutOfRangeAreNamed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"CellsPerShard":     func(s *Settings) { s.CellsPerShard = 7 },
		"DrainGrace":        func(s *Settings) { s.DrainGrace = -1 },
		"Classes[0]":        func(s *Settings) { s.Classes[0].MinCompleteness = 1.2 },
		"RetryBudget.Spare": func(s *Settings) { s.RetryBudget.Spare = -1 },
	} {
		s := settings()
		change(&s)
		s.Placement = slicemap.NewRingPlacement(s.Shards, s.Cells, s.CellsPerShard)
		if _, err := New(s, 1, &rig{}); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// chaos plays legal events at random; the rig checks every rule on every action.
func chaos(t *testing.T, seed int64, s Settings, steps int) *rig {
	g, rnd := newRig(t, s), rand.New(rand.NewSource(seed))
	g.fleet(UpdateCached)
	for range steps {
		if rnd.Float64() < 0.3 {
			var shards []int
			for range 1 + rnd.Intn(5) {
				shards = append(shards, rnd.Intn(s.Shards))
			}
			q := g.hinted(rnd.Intn(5), 20+180*rnd.Float64()*rnd.Float64(), shards...)
			if rnd.Float64() < 0.02 {
				g.b.ClientDisconnected(g.now, q.q.ID)
				q.gone, q.finished = true, g.now
			}
		}
		if rnd.Float64() < 0.02 {
			i := rnd.Intn(s.Cells)
			e := Endpoint{Replica: uint32(i + 1), Cell: i, State: ReplicaState(rnd.Intn(3))}
			if e.State == Ready && rnd.Float64() < 0.5 {
				e.StartedAt = g.now - 1000*rnd.Float64()
			} else if e.State == Ready {
				e.StartedAt = g.started[e.Replica]
			}
			g.list(UpdateDelta, e)
		}
		if rnd.Float64() < 0.005 {
			g.list(UpdateFailed)
		}
		g.turn()
		g.pass(10, func(a *rigSend) {
			switch x := rnd.Float64(); {
			case x < 0.05:
				g.end(a, Succeeded)
			case x < 0.06:
				g.end(a, Outcome(rnd.Intn(int(NotSent)+1)))
			}
		})
		g.b.AttemptEnded(g.now, AttemptResult{Part: 1 << 50, Outcome: Succeeded}) // ids not held are ignored
		g.b.ClientDisconnected(g.now, 1<<50)
	}
	g.pass(3100, nil)
	for _, q := range g.queries {
		if q.finished == 0 {
			t.Fatalf("query %d got no final answer", q.q.ID)
		}
	}
	if len(g.b.queries)+len(g.b.parts)+len(g.b.openQueries) != 0 {
		t.Fatalf("left behind: %d queries, %d parts", len(g.b.queries), len(g.b.parts))
	}
	return g
}

func TestRulesHoldInLongRandomRuns(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		s := settings()
		if seed%3 == 0 {
			s.AllowHedging, s.CanCancel = false, false
		}
		if seed%2 == 0 {
			s.MaxPartsPerCall, s.CallOverhead, s.PollEndpoints, s.MaxStaleness = 4, 25, true, 10000
		}
		chaos(t, seed, s, 1500)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if !reflect.DeepEqual(chaos(t, 99, settings(), 800).log, chaos(t, 99, settings(), 800).log) {
		t.Fatal("the same events gave other actions")
	}
}

// Connections dropped while idle: a reset at once is not the replica's fault, the part is tried again at once, and
// later sends on idle connections close them first. The replica stays in use and is not taken for cold.
func TestResetOfAnIdleConnectionIsNotTheReplicas(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	for id := uint32(1); id <= 6; id++ { // every connection has carried something
		g.b.replicas.byID[id].lastUsedAt = g.now
	}
	g.pass(3000, nil)
	q := g.query(0, 0)
	g.turn()
	first := g.open[0]
	g.pass(5, nil)
	g.end(first, ConnectionReset)
	g.turn()
	if len(g.open) != 1 {
		t.Fatalf("%d attempts out after the reset, 1 wanted", len(g.open))
	}
	if r := g.b.replicas.byID[first.replica]; !g.b.isHealthy(g.now, r) || r.outliers.isLost {
		t.Fatal("the replica is blamed for its idle connection")
	}
	g.pass(200, g.after(90))
	g.mustEnd(q, "answer")
	g.pass(2000, nil)
	g.query(2, 1)
	g.turn()
	drops := 0
	for _, l := range g.log {
		if strings.Contains(l, " drop ") {
			drops++
		}
	}
	if drops == 0 {
		t.Fatal("an unsafe part went out on a doubtful connection")
	}
}

// A reset of a connection in use tells of the process: it is lost, and cold when it serves again.
func TestResetInUseTellsOfTheReplica(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	g.query(0, 0)
	g.turn()
	a := g.open[0]
	g.pass(5, nil)
	g.end(a, ConnectionReset)
	if r := g.b.replicas.byID[a.replica]; g.b.isHealthy(g.now, r) || !r.outliers.isLost {
		t.Fatal("a process that died is used as before")
	}
}

// Retries never feed a jam: no second copy is made while parts wait for the same replicas, nor in a slow fleet after a
// refusal. A jam of other replicas does not stop it: one weak set would lose what is late everywhere.
func TestNoSecondCopyInAJam(t *testing.T) {
	for jam, want := range map[string]bool{"none": true, "elsewhere": true, "here": false, "slow fleet": false} {
		g := newRig(t, settings())
		g.fleet(UpdateFull)
		g.warm()
		g.query(0, 0)
		g.turn()
		group := g.b.settings.Placement.Group(0)
		for i := 0; i < 60 && len(g.open) < 2; i++ {
			switch g.b.congestedAt = g.now; jam {
			case "elsewhere":
				g.b.queues.activate(3, g.now).oldestQueuedAt = g.now - 100
			case "here":
				g.b.queuedSinceByGroup[group] = g.now - 100
				p := g.b.parts[g.open[0].part.p.ID]
				if g.b.hedge(g.now, p) {
					t.Fatal("a copy while a part waits for the same replicas")
				}
				i = 60
			case "slow fleet":
				g.b.latency.overloadMedian = slowFleetLevel + 1
			}
			g.pass(10, nil)
		}
		if copied := len(g.open) > 1; copied != want {
			t.Errorf("jam %s: copied %v", jam, copied)
		}
	}
}

// A replica that stood still for a moment may have one part as soon as what it held has come back, and is used as before
// once that comes back as usual. After each slow one the next waits longer.
func TestAStallIsOverWithTheFirstTrial(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	r := g.b.replicas.byID[3]
	back := func(sent, x float64) {
		g.b.observeTrial(g.now, &attempt{replica: r, sentAt: sent}, x)
		r.excessLatency = decayingAverage{g.now, max(r.excessLatency.value, x-1)}
	}
	back(g.now-900, 30)
	back(g.now-700, 25)
	if !g.b.isHealthy(g.now, r) {
		t.Fatal("what it held has come back and it gets no trial")
	}
	r.inFlight = []*attempt{{part: &part{}, replica: r, call: &callInFlight{}, sentAt: g.now, overtaken: true}}
	if g.b.isHealthy(g.now, r) {
		t.Fatal("two parts at a replica on trial")
	}
	r.inFlight = nil
	for rest := trialRestParts; rest < 8*trialRestParts; rest *= 2 {
		g.now += badnessHalfLifeMaxMs // a slow one
		back(g.now-800, 20)
		if wait := r.outliers.trialAllowedAt - g.now; wait < 0.99*rest*g.b.meanPartWorkMs() || g.b.isHealthy(g.now, r) {
			t.Fatalf("the next trial %v ms after a slow one, %v at least", wait, rest*g.b.meanPartWorkMs())
		}
	}
	g.now = r.outliers.trialAllowedAt
	if !g.b.isHealthy(g.now, r) {
		t.Fatal("no trial after the rest")
	}
	g.b.observeTrial(g.now+1, &attempt{replica: r, sentAt: g.now}, 1.2)
	if r.outliers.slowTrials != 0 || g.b.normalizedLatency(g.now, r) > 1.3 {
		t.Fatalf("a part as usual leaves it at level %v after %d trials", g.b.normalizedLatency(g.now, r), r.outliers.slowTrials)
	}
}

// What a stall held may be cancelled, as the copies have answered, before it could come back: the replica gets its trial
// all the same, at doubling rests if it stays silent. What comes late out of a stall that a trial has ended does not make
// it wait, and a new process inherits neither the trials nor the rest.
func TestATrialAfterPartsThatWereCancelled(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	r := g.b.replicas.byID[3]
	silent := func(sent float64) {
		a := &attempt{replica: r, sentAt: sent, ended: true, part: &part{query: &query{class: &g.b.settings.Classes[0]}, cost: 1},
			call: &callInFlight{cost: 1}}
		g.b.learn(g.now, a, AttemptResult{Outcome: Cancelled})
	}
	silent(g.now - 30*g.b.latency.baseline)
	if level := g.b.normalizedLatency(g.now, r); level < ejectionLatency*g.b.latency.fleetLevel || !g.b.isHealthy(g.now, r) {
		t.Fatalf("at level %v, and it gets no trial", level)
	}
	for rest := trialRestParts; rest < 8*trialRestParts; rest *= 2 {
		g.now += badnessHalfLifeMaxMs
		silent(g.now - 30*g.b.latency.baseline)
		if wait := r.outliers.trialAllowedAt - g.now; wait < 0.99*rest*g.b.meanPartWorkMs() || wait > badnessHalfLifeMaxMs || g.b.isHealthy(g.now, r) {
			t.Fatalf("the next trial %v ms after a silent one, %v at least", wait, rest*g.b.meanPartWorkMs())
		}
	}
	g.b.observeTrial(r.outliers.trialAllowedAt+1, &attempt{replica: r, sentAt: r.outliers.trialAllowedAt}, 1.2)
	r.outliers.lastSlowAt = g.now
	g.b.observeTrial(g.now, &attempt{replica: r, sentAt: g.now - 500}, 20)
	if r.excessLatency.value = 19; !g.b.isHealthy(g.now, r) {
		t.Fatal("a part late out of a stall that is over bars the next trial")
	}
	silent(g.now + 1)
	silent(g.now + 1)
	e := r.Endpoint
	e.StartedAt = g.now
	g.list(UpdateDelta, e)
	if r.outliers.slowTrials != 0 || r.outliers.lastSlowAt != 0 || r.outliers.countedAsSlow {
		t.Fatalf("a new process begins with %d trials", r.outliers.slowTrials)
	}
}

// What waits at one shard of a set of replicas holds up the others of the set: they are refused as it is.
func TestHeldBySetOfReplicas(t *testing.T) {
	s := settings()
	s.Shards, s.Cells, s.CellsPerShard = 6, 2, 1
	g := newRig(t, s)
	g.b.queues.activate(0, g.now).fifo[0] = []*queuedCall{{}}
	g.b.queues.activate(0, g.now).oldestQueuedAt = g.now - 200
	g.b.noteQueueing(g.now)
	for shard, want := range []float64{200, 0, 200, 0, 200, 0} {
		if held := g.now - g.b.queuedSince(shard, g.now); held != want {
			t.Errorf("shard %d: held %v, want %v", shard, held, want)
		}
	}
}

func TestSettingsThatAreNoNumbersAreNamed(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"BrokerIndex":               func(s *Settings) { s.BrokerIndex = 2 },
		"SlowStart.Window":          func(s *Settings) { s.SlowStart.Window = math.NaN() },
		"TimerResolution":           func(s *Settings) { s.TimerResolution = math.Inf(1) },
		"SlowStart.InitialCapacity": func(s *Settings) { s.SlowStart.InitialCapacity = 1.5 },
		"Classes":                   func(s *Settings) { s.Classes[1].PriorityWeight = math.NaN() },
		"TenantRates":               func(s *Settings) { s.TenantRates = []float64{-1} },
		"Shards":                    func(s *Settings) { s.Shards = 0 },
	} {
		s := settings()
		s.Classes = append([]Class(nil), s.Classes...)
		spoil(&s)
		s.Placement = slicemap.NewRingPlacement(s.Shards, s.Cells, s.CellsPerShard)
		if _, err := New(s, 1, newRig(t, settings())); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// A partial answer must be at the client, not only out, by the aim: it leaves before the last sweep that could miss it.
func TestPartialAnswerLeavesInTime(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	arrived := g.now
	q := g.query(1, 0, 1, 2, 3)
	g.turn()
	stuck := g.open[0].part
	g.pass(1000, func(a *rigSend) {
		if a.part != stuck && g.now >= a.at+90 {
			g.end(a, Succeeded)
		}
	})
	g.mustEnd(q, "answer")
	if early := arrived + g.s.Classes[1].LatencyObjective - q.finished; early < finalAnswerMarginMs {
		t.Fatalf("answered %v ms before the aim", early)
	}
}

// Among many co-ordinators own counts do not show a queue: a query's parts are spread over a set's replicas.
func TestManyPeersDoNotSendBatches(t *testing.T) {
	for _, peers := range []int{2, 40} {
		s := settings()
		s.BrokerCount, s.MaxPartsPerCall, s.Shards, s.Cells, s.CellsPerShard = peers, 16, 3, 1, 1
		g := newRig(t, s)
		g.list(UpdateFull, Endpoint{Replica: 1, State: Ready}, Endpoint{Replica: 2, State: Ready}, Endpoint{Replica: 3, State: Ready})
		g.turn()
		g.query(0, 0, 1, 2)
		g.turn()
		used := map[uint32]bool{}
		for _, a := range g.open {
			used[a.replica] = true
		}
		if want := map[int]int{2: 1, 40: 3}[peers]; len(used) != want {
			t.Errorf("%d peers: parts at %d replicas, %d wanted", peers, len(used), want)
		}
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

// Tens of co-ordinators together stay within a cold replica's allowance in every window, and each gets a turn.
func TestColdReplicaIsSharedByTwoOrByTens(t *testing.T) {
	for _, peers := range []int{2, 22, 84} {
		s := settings()
		s.BrokerCount, s.CellsPerShard, s.SlowStart.Window = peers, 1, 3000
		sent := []workSample{}
		ready := 1e6 - 100.0
		fed := 0
		for me := 0; me < peers; me++ {
			s.BrokerIndex = me
			g := newRig(t, s)
			var es []Endpoint
			for i := 0; i < s.Cells; i++ {
				es = append(es, Endpoint{Replica: uint32(i + 1), Cell: i, State: Ready, StartedAt: ready})
			}
			g.list(UpdateFull, es...)
			for end := g.now + s.SlowStart.Duration; g.now < end; {
				g.query(0, 0)
				g.turn()
				g.pass(250, g.after(100))
			}
			n := 0
			for _, a := range g.sends {
				if a.replica == 1 && a.no == 0 {
					sent = append(sent, workSample{a.at, 100})
					n++
				}
			}
			if n > 0 {
				fed++
			}
		}
		if 3*fed < 2*peers { // the allowance of the whole ramp holds no more than about 80 turns of two parts
			t.Errorf("%d peers: only %d ever used the cold replica, the last of its shard", peers, fed)
		}
		total := 0.0
		for _, x := range sent {
			sum := 0.0
			for _, y := range sent {
				if y.at > x.at-s.SlowStart.Window && y.at <= x.at {
					sum += y.workMs
				}
			}
			total = math.Max(total, sum/(maxReplicaSpeed*s.SlowStart.WorkMultiple*(s.SlowStart.InitialCapacity+(1-s.SlowStart.InitialCapacity)*math.Min(1, (x.at-ready)/s.SlowStart.Duration))*s.SlowStart.Window))
		}
		if total > 1 || total == 0 {
			t.Errorf("%d peers: %v of what a cold replica may be sent", peers, total)
		}
	}
}

// Among many co-ordinators none has much out: the fleet's level, not parts held, shows overload. The least worth is
// refused first, and all is taken again once latencies are back.
func TestFleetRoomRefusesAmongManyPeersAndOpensAgain(t *testing.T) {
	s := settings()
	s.BrokerCount = 60
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	ask := func(n int, ms float64) (refused int) {
		for i := 0; i < n; i++ {
			was := len(g.refused)
			g.query(0, i%6)
			g.query(0, (i+1)%6)
			g.turn()
			g.pass(50, g.after(ms))
			refused += len(g.refused) - was
		}
		return refused
	}
	if n := ask(40, 90); n != 0 {
		t.Fatalf("%d refused on a sound fleet", n)
	}
	if n := ask(80, 900); n == 0 {
		t.Fatal("nothing refused by a fleet that is ten times slower")
	}
	g.pass(3000, g.after(90))
	ask(40, 90)
	if n := ask(40, 90); n != 0 {
		t.Fatalf("%d still refused after the fleet is sound again", n)
	}
}

// Parts that go out beside one on a connection that was idle share its fate: their resets are not the replica's.
func TestPartsBesideOneOnAnIdleConnectionShareItsFate(t *testing.T) {
	s := settings()
	s.CellsPerShard, s.MaxPartsPerCall, s.BrokerCount = 1, 1, 40
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	g.b.replicas.byID[1].lastUsedAt = g.now
	g.pass(3000, nil)
	q := g.query(0, 0)
	g.turn()
	g.query(0, 0)
	g.turn()
	for _, a := range append([]*rigSend(nil), g.open...) {
		g.end(a, ConnectionReset)
	}
	if r := g.b.replicas.byID[1]; r.outliers.isLost || !g.b.isHealthy(g.now, r) {
		t.Fatal("the replica is blamed for a second part on its idle connection")
	}
	g.turn()
	g.pass(300, g.after(90))
	g.mustEnd(q, "answer")
}

// Beside other fit replicas of its shard a cold one is used by more co-ordinators, as each sends it little; what all
// send stays inside the rule also when every one of them is busy and half of a shard is cold.
func TestColdReplicaBesideFitOnesStaysInsideTheRule(t *testing.T) {
	s := settings()
	s.BrokerCount, s.SlowStart.Window = 84, 3000
	ready, sent := 1e6-100.0, []float64{}
	for me := 0; me < s.BrokerCount; me++ {
		s.BrokerIndex = me
		g := newRig(t, s)
		for i := 0; i < s.Cells; i++ {
			e := Endpoint{Replica: uint32(i + 1), Cell: i, State: Ready}
			if i%2 == 0 {
				e.StartedAt = ready
			}
			g.list(UpdateDelta, e)
		}
		for end := g.now + s.SlowStart.Duration; g.now < end; {
			g.query(0, me%6, (me+3)%6) // 84 co-ordinators: 6 ms of work in a ms, what three warm replicas can just do
			g.turn()
			g.pass(2800, g.after(100))
		}
		for _, a := range g.sends {
			if a.replica == 1 {
				sent = append(sent, a.at)
			}
		}
	}
	if len(sent) < 40 {
		t.Errorf("the cold replica got %d parts of all co-ordinators", len(sent))
	}
	for _, x := range sent {
		able := maxReplicaSpeed * (s.SlowStart.InitialCapacity + (1-s.SlowStart.InitialCapacity)*math.Min(1, (x-ready)/s.SlowStart.Duration))
		if work := 100 * float64(count(sent, x-s.SlowStart.Window)-count(sent, x)); work > able*s.SlowStart.WorkMultiple*s.SlowStart.Window {
			t.Fatalf("%v ms of work sent in the window to %v", work, x-ready)
		}
	}
}

// Connections dropped in silence: parts on idle ones hang. Two in a row close idle connections before later sends, and the
// replicas stay in use; dials that then time out end that, as new connections are dear.
func TestSilentIdleDropsAreFoundAndSlowHandshakesEndTheCure(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	drops := func() (n int) {
		for _, l := range g.log {
			if strings.Contains(l, " drop ") {
				n++
			}
		}
		return n
	}
	for i := 0; i < 6; i++ {
		for id := uint32(1); id <= 6; id++ {
			g.b.replicas.byID[id].lastUsedAt = g.now
		}
		g.pass(3000, nil)
		g.query(0, i)
		g.turn()
		g.pass(1500, func(a *rigSend) { // what goes out on an idle connection hangs, copies and closed ones do not
			if g.now >= a.at+90 && (drops() > 0 || a.no > 0) {
				g.end(a, Succeeded)
			}
		})
	}
	if drops() == 0 {
		t.Fatal("idle connections that hang are never closed")
	}
	g.pass(4000, nil)
	for _, r := range g.b.replicas.ordered {
		if !g.b.isHealthy(g.now, r) {
			t.Errorf("replica %d is still a suspect", r.Replica)
		}
	}
	for i := 0; i < 3 && len(g.b.replicas.ordered) > 0; i++ {
		g.query(0, i)
		g.turn()
		g.pass(250, nil)
		for _, a := range append([]*rigSend(nil), g.open...) {
			g.end(a, ConnectFailed)
		}
	}
	if g.b.idle.areUnsafe(g.now) {
		t.Error("idle connections are still closed though new ones cannot be had")
	}
}

// A slow replica is left by a busy co-ordinator and by one that sees a query every two seconds alike, and both come back.
func TestSlowReplicaIsLeftWithMuchAndWithLittleTraffic(t *testing.T) {
	for _, every := range []float64{50, 2000} {
		s := settings()
		s.BrokerCount = 60
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.warm()
		slow := 800.0
		ask := func(n int) (share float64) {
			from := len(g.sends)
			for i := 0; i < n; i++ {
				g.query(0, 0)
				g.turn()
				g.pass(every, func(a *rigSend) {
					if ms := map[bool]float64{true: slow, false: 90}[a.replica == 1]; g.now >= a.at+ms {
						g.end(a, Succeeded)
					}
				})
			}
			for _, a := range g.sends[from:] {
				if a.replica == 1 {
					share++
				}
			}
			return share / float64(len(g.sends)-from)
		}
		ask(20)
		if x := ask(40); x > 0.07 {
			t.Errorf("a query every %v ms: the slow replica still gets %v of the parts", every, x)
		}
		slow = 90
		g.pass(20000, g.after(90))
		ask(20)
		if x := ask(60); x < 0.15 {
			t.Errorf("a query every %v ms: the sound replica gets only %v of the parts again", every, x)
		}
	}
}

// A replica that fails and recovers by turns costs no query its answer, and is back in full use once it stays sound.
func TestFlappingReplicaComesBack(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var asked []*rigQuery
	ask := func(n int, bad func() bool) (share float64) {
		from := len(g.sends)
		for i := 0; i < n; i++ {
			asked = append(asked, g.query(0, 0))
			g.turn()
			g.pass(200, func(a *rigSend) {
				if a.replica == 1 && bad() {
					g.end(a, Failed)
				} else if g.now >= a.at+90 {
					g.end(a, Succeeded)
				}
			})
		}
		for _, a := range g.sends[from:] {
			if a.replica == 1 {
				share++
			}
		}
		return share / float64(len(g.sends)-from)
	}
	if x := ask(150, func() bool { return int(g.now/3000)%2 == 0 }); x > 0.15 {
		t.Errorf("the flapping replica gets %v of the parts", x)
	}
	g.pass(500, g.after(90))
	for _, q := range asked {
		g.mustEnd(q, "answer")
	}
	g.pass(10000, nil)
	if x := ask(60, func() bool { return false }); x < 0.2 {
		t.Errorf("sound again, it gets only %v of the parts", x)
	}
}

// A list that names far more replicas than the settings suggest is taken as it is; no peers means one co-ordinator.
func TestManyReplicasAndNoPeers(t *testing.T) {
	s := settings()
	s.BrokerCount, s.BrokerIndex = 0, 0
	g := newRig(t, s)
	var es []Endpoint
	for i := 0; i < 3000; i++ {
		es = append(es, Endpoint{Replica: uint32(i + 1), Cell: i % 9, State: Ready}) // cells 6 to 8 hold nothing
	}
	g.list(UpdateFull, es...)
	q := g.query(0, 0, 1, 2)
	g.turn()
	g.pass(200, g.after(90))
	g.mustEnd(q, "answer")
}

// Neighbouring shards of a ring have holders in common: where a call costs nearly as much as a part, parts of one turn
// share calls, also among many co-ordinators; where it costs little they do not.
func TestDearCallsAreSharedInARing(t *testing.T) {
	for _, dear := range []bool{false, true} {
		s := settings()
		s.BrokerCount, s.MaxPartsPerCall, s.CallOverhead = 40, 4, 10
		if dear {
			s.CallOverhead = 80
		}
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.query(0, 0, 1, 2, 3, 4, 5)
		g.turn()
		used := map[uint32]bool{}
		for _, a := range g.open {
			used[a.replica] = true
		}
		if len(g.open) != 6 || dear && len(used) > 3 || !dear && len(used) < 5 {
			t.Errorf("dear %v: %d parts in %d calls", dear, len(g.open), len(used))
		}
	}
}

// The mean hint does not lean on the very first one.
func TestMeanHintIsAMeanFromTheStart(t *testing.T) {
	g := newRig(t, settings())
	g.hinted(0, 10, 0)
	g.hinted(0, 190, 1)
	if g.b.costs.meanHint < 99 || g.b.costs.meanHint > 101 {
		t.Fatalf("mean hint %v of 10 and 190", g.b.costs.meanHint)
	}
}

// The parts of a long query come back sorted by latency: the fastest is not the usual one.
func TestUsualLatencyOfALongQuery(t *testing.T) {
	s := settings()
	s.Shards, s.RetryBudget.Window, s.SlowStart.WorkMultiple = 60, 0, 0
	g := newRig(t, s)
	g.fleet(UpdateFull)
	for i := 0; i < 3; i++ {
		var shards []int
		for k := range 20 {
			shards = append(shards, k)
		}
		g.query(0, shards...)
		g.turn()
		for n := 0; len(g.open) > 0; n++ {
			g.now += 5
			g.end(g.open[0], Succeeded)
		}
		g.turn()
	}
	if g.b.latency.baseline < 30 || g.b.latency.baseline > 60 { // latencies are 5, 10 ... 100
		t.Fatalf("usual latency %v", g.b.latency.baseline)
	}
}

// One of many co-ordinators seldom has anything out at a replica. That alone must not let parts through to a shard whose
// replicas are all jammed; they go at a pace, and freely again when the replicas are sound.
func TestJammedShardGetsPartsAtAPace(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Classes[0].LatencyObjective, s.Classes[0].Deadline = 40, 2900, 3000
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	slow := func(a *rigSend) { // the replicas of shard 0 are 8 times slower than the others
		if g.now >= a.at+100 && a.replica > 3 || g.now >= a.at+800 {
			g.end(a, Succeeded)
		}
	}
	ask := func(n int, reply func(*rigSend)) (sent int) {
		before := len(g.sends)
		for i := range n {
			g.query(0, 3)
			if i%4 == 0 {
				g.query(0, 0)
			}
			g.turn()
			g.pass(100, reply)
		}
		for _, a := range g.sends[before:] {
			if a.part.p.Shard == 0 {
				sent++
			}
		}
		return sent
	}
	ask(60, slow)
	if n := ask(60, slow); n > 12 || n == 0 {
		t.Fatalf("%d of 15 parts went to a jammed shard", n)
	}
	ask(100, g.after(100))
	if n := ask(60, g.after(100)); n < 14 {
		t.Fatalf("%d of 15 parts once the replicas are sound again", n)
	}
}

// Long queries that end at their aim with a few parts missing waste what was done for them: then fewer are let in, also
// when each co-ordinator has only one at a time; a client in a hurry is no such sign, and sound answers open the door.
func TestWastedLongQueriesCloseTheDoor(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Shards, s.RetryBudget.Window, s.AllowHedging, s.MaxAttempts = 40, 60, 0, false, 1
	s.Classes[0].LateFactor = 0.1
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	ask := func(n int, patience, ms float64, stuck bool) (refused int) {
		for range n {
			was := len(g.refused)
			var shards []int
			for k := range 30 {
				shards = append(shards, k)
			}
			g.query(0, shards...)
			g.turn()
			refused += len(g.refused) - was
			g.pass(patience, func(a *rigSend) {
				if g.now >= a.at+ms && (!stuck || a.part.p.Shard != 7) {
					g.end(a, Succeeded)
				}
			})
		}
		return refused
	}
	if n := ask(20, 300, 100, false); n > 0 {
		t.Fatalf("%d refused on a sound fleet", n)
	}
	ask(30, 300, 350, true)
	if n := ask(30, 300, 350, true); n < 4 {
		t.Fatalf("%d of 30 refused while all end with a part missing", n)
	}
	ask(40, 300, 100, false)
	if n := ask(20, 300, 100, false); n > 0 {
		t.Fatalf("%d refused once the fleet is sound again", n)
	}
}

// A query larger than the fleet's room is let in once in the time in which the room could have carried it.
func TestQueryLargerThanTheRoomWaitsForItsPace(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Shards = 40, 60
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm() // calls take 100 ms
	shards := make([]int, 40)
	for k := range shards {
		shards[k] = k
	}
	g.b.fleet.cost = 8
	g.turned(g.query(0, shards...))
	g.pass(200, g.after(5))
	g.b.fleet.cost = 8
	if early := g.turned(g.query(0, shards...)); early.how != "refuse" {
		t.Fatalf("a second query of 40 parts was let in after 200 ms: %q", early.how)
	}
	g.pass(400, g.after(5))
	g.b.fleet.cost = 8
	if later := g.turned(g.query(0, shards...)); later.how != "" {
		t.Fatalf("still turned away after 600 ms: %q", later.how)
	}
}

// A slow way to another zone is told from slow replicas by all of that zone being slow from here: its replicas leave the
// choice within seconds, though each has had but a few parts, and come back when the way is sound.
func TestSlowWayToAZoneIsLeftAndComesBack(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Shards, s.Cells, s.CellsPerShard, s.LocalZone = 40, 10, 10, 1, 2 // two other zones, equally good
	g := newRig(t, s)
	var es []Endpoint
	for i := range uint32(200) {
		es = append(es, Endpoint{Replica: i + 1, Cell: int(i % 10), Zone: int(i/10) % 2, State: Ready})
	}
	g.list(UpdateFull, es...)
	g.turn()
	across := func(n int, ms float64) (sent int) {
		before := len(g.sends)
		for i := range n {
			g.query(0, i%10, (i+3)%10)
			g.turn()
			g.pass(50, func(a *rigSend) {
				if zone := (a.replica - 1) / 10 % 2; g.now >= a.at+100 && zone == 0 || g.now >= a.at+ms {
					g.end(a, Succeeded)
				}
			})
		}
		for _, a := range g.sends[before:] {
			if (a.replica-1)/10%2 == 1 {
				sent++
			}
		}
		return sent
	}
	across(100, 110)
	across(60, 700) // 3 s: about one part at each tenth replica there
	if n := across(60, 700); n > 10 {
		t.Fatalf("%d of 120 parts still went the slow way", n)
	}
	across(600, 110)
	if n := across(60, 110); n < 12 {
		t.Fatalf("%d of 120 parts go there after the way is sound", n)
	}
}

// A co-ordinator that restarts has forgotten what it sent a cold replica, which still counts there: for one window it
// sends it nothing, then as usual.
func TestRestartDoesNotSpendAColdAllowanceTwice(t *testing.T) {
	s := settings()
	s.Cells, s.Shards, s.CellsPerShard = 1, 1, 1
	g := newRig(t, s)
	g.list(UpdateCached, Endpoint{Replica: 1, State: Ready, StartedAt: g.now - 2000}, Endpoint{Replica: 2, State: Ready})
	sent := func(ms float64) (n int) {
		before := len(g.sends)
		for range int(ms / 50) {
			g.query(0, 0)
			g.turn()
			g.pass(50, g.after(100))
		}
		for _, a := range g.sends[before:] {
			if a.replica == 1 {
				n++
			}
		}
		return n
	}
	if n := sent(950); n > 0 {
		t.Fatalf("%d parts sent to a cold replica in the first window after a restart", n)
	}
	sent(100)
	if n := sent(2000); n == 0 {
		t.Fatal("a cold replica is left out for good")
	}
}

// Many replicas lost at one moment with parts of a popular key: the key did not do it, and its queries go on.
func TestKeyIsNotBlamedForReplicasLostAtOnce(t *testing.T) {
	s := settings()
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	g.turned(g.keyed(77, 0, 2, 4))
	g.turned(g.keyed(5, 1, 3, 5))
	g.pass(20, nil)
	for _, a := range append([]*rigSend(nil), g.open...) {
		g.end(a, ConnectionReset)
	}
	g.turn()
	g.pass(400, g.after(60))
	if q := g.turned(g.keyed(77, 0, 2, 4)); q.how != "" {
		t.Fatalf("the key's next query was ended at once: %s", q.how)
	}
}

// One replica that stood still brings many late parts back at once: they say nothing of the others in its zone.
func TestAStallIsNoSlowWay(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	r := g.b.replicas.byID[3]
	for range 40 {
		g.b.zones.observe(g.now, r, 30)
	}
	if way := g.b.zones.latency(g.now, r.Zone); way > 1.2 || !r.outliers.countedAsSlow {
		t.Fatalf("40 parts out of one stall make the way %v", way)
	}
	g.b.zones.observe(g.now, r, 1)
	if r.outliers.countedAsSlow {
		t.Fatal("an answer as usual leaves it slow")
	}
}

// A zone that goes silent shows in what is late there, long before a time-out tells of it.
func TestSilentZoneIsLeftBeforeAnyTimeOut(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Shards, s.Cells, s.CellsPerShard, s.LocalZone = 40, 10, 10, 1, 2
	s.Classes[0].LatencyObjective, s.Classes[0].Deadline, s.AllowHedging = 2900, 3000, false
	g := newRig(t, s)
	var es []Endpoint
	for i := range uint32(200) {
		es = append(es, Endpoint{Replica: i + 1, Cell: int(i % 10), Zone: int(i/10) % 2, State: Ready})
	}
	g.list(UpdateFull, es...)
	g.turn()
	silent := func(a *rigSend) bool { return (a.replica-1)/10%2 == 1 }
	ask := func(n int, lost bool) (sent int) {
		before := len(g.sends)
		for i := range n {
			g.query(0, i%10, (i+3)%10)
			g.turn()
			g.pass(25, func(a *rigSend) {
				if g.now >= a.at+100 && (!lost || !silent(a)) {
					g.end(a, Succeeded)
				}
			})
		}
		for _, a := range g.sends[before:] {
			if silent(a) {
				sent++
			}
		}
		return sent
	}
	ask(200, false)
	first := ask(30, true) // less than a second
	if n := ask(30, true); first < 8 || n > first/3 {
		t.Fatalf("%d parts to the silent zone at first, then %d", first, n)
	}
}

// What a replica is to other co-ordinators is no evidence here: one that answers nothing from us alone leaves the choice, and
// is back in full use soon after it answers again. So does one that grows slower and slower, dies once and comes back.
func TestReplicasBadForUsAloneAndAgeingOnesComeBack(t *testing.T) {
	for name, bad := range map[string]func(g *rig, a *rigSend, since float64){
		"one-sided loss": func(*rig, *rigSend, float64) {},
		"ageing": func(g *rig, a *rigSend, since float64) {
			if since > 4000 {
				g.end(a, ConnectFailed)
			} else if g.now >= a.at+100+since/3 {
				g.end(a, Succeeded)
			}
		},
	} {
		s := settings()
		s.BrokerCount = 30
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.warm()
		ask := func(ms float64, reply func(*rigSend)) (sent, failed int) {
			before, start := len(g.sends), g.now
			var qs []*rigQuery
			for i := 0; g.now < start+ms; i++ {
				qs = append(qs, g.query(0, i%6), g.query(0, (i+3)%6))
				g.turn()
				g.pass(50, reply)
			}
			for _, a := range g.sends[before:] {
				if a.replica == 3 {
					sent++
				}
			}
			for _, q := range qs {
				if q.how != "answer" && q.finished > 0 {
					failed++
				}
			}
			return sent, failed
		}
		start := g.now
		ill := func(a *rigSend) {
			if a.replica == 3 {
				bad(g, a, g.now-start)
			} else if g.now >= a.at+100 {
				g.end(a, Succeeded)
			}
		}
		usual, _ := ask(3000, g.after(100))
		start = g.now
		ask(5000, ill)
		sent, failed := ask(3000, ill)
		if sent > usual/3 || failed > 6 {
			t.Errorf("%s: %d parts to it (%d before), %d of 120 queries failed", name, sent, usual, failed)
		}
		ask(20000, g.after(100)) // it may be a new process, cold for 15 s
		if sent, failed = ask(3000, g.after(100)); sent < usual/2 || failed > 0 {
			t.Errorf("%s: back to %d parts of %d twenty seconds after, %d queries failed", name, sent, usual, failed)
		}
	}
}

// A tenant's surge is turned away before others' queries where something must be refused, and only then.
func TestTenantSurgeIsRefusedFirst(t *testing.T) {
	even, fair := surge(t, 1), surge(t, 0.1)
	if even[1] < 8 || float64(fair[1]) > 0.7*float64(even[1]) || fair[0] < fair[1] {
		t.Fatalf("refused of the surging tenant and of the other: %v, and %v if all were worth the same", fair, even)
	}
}

// surge has one of two tenants ask seven times as much as the other of a fleet that gets slow, and tells whose queries
// were refused.
func surge(t *testing.T, overShare float64) [2]int {
	s := settings()
	s.BrokerCount, s.TenantRates, s.OverQuotaFactor = 1, []float64{10, 10}, overShare
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	count := func(tick float64, reply float64) (refused [2]int) {
		for i := range 60 {
			for n := range 8 {
				tenant := 0
				if n == 7 {
					tenant = 1
				}
				g.next++
				q := &rigQuery{q: Query{ID: g.next, QueryGroup: int(g.next), Tenant: tenant, Deadline: g.now + 3000}}
				g.queries[q.q.ID] = q
				g.b.QueryArrived(g.now, q.q)
				g.part(q, (i+n)%6, 100, 1)
				was := len(g.refused)
				g.turn()
				refused[tenant] += len(g.refused) - was
			}
			g.pass(tick, g.after(reply))
		}
		return refused
	}
	if r := count(200, 60); r[0]+r[1] > 0 {
		t.Fatalf("refused with room to spare: %v", r)
	}
	return count(50, 350)
}

// A second step with fewer parts than stated, or at shards whose holders have left, ends in one honest final answer.
func TestSecondStepInOddCases(t *testing.T) {
	for name, odd := range map[string]func(g *rig, q *rigQuery){
		"no holders": func(g *rig, q *rigQuery) {
			g.list(UpdateFull, Endpoint{Replica: 5, Cell: 4, State: Ready})
			g.part(q, 0, 100, 0.5)
			g.part(q, 1, 100, 0.5)
		},
		"one part of two": func(g *rig, q *rigQuery) { g.part(q, 0, 100, 1) },
		"no parts at all": func(*rig, *rigQuery) {},
	} {
		g := newRig(t, settings())
		g.fleet(UpdateFull)
		q := g.turned(g.query(5, 0, 1))
		g.pass(150, g.after(100))
		if q.answers != 1 {
			t.Fatalf("%s: no first answer", name)
		}
		odd(g, q)
		g.turn()
		g.pass(3200, g.after(100))
		if q.finished == 0 || q.finished > q.q.Deadline+g.s.AnswerGrace || name == "no holders" && q.answers > 1 && q.whole {
			t.Errorf("%s: finished at %v by %q, deadline %v", name, q.finished, q.how, q.q.Deadline)
		}
	}
}

// Zones of any number in the list are taken as they are.
func TestOddZonesInTheList(t *testing.T) {
	g := newRig(t, settings())
	g.list(UpdateFull, Endpoint{Replica: 1, State: Ready, Zone: -7}, Endpoint{Replica: 2, State: Ready, Zone: 1 << 40})
	q := g.turned(g.query(0, 0))
	g.pass(200, g.after(100))
	g.mustEnd(q, "answer")
}
