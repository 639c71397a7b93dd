package scheduler

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"ternstage/internal/slicemap"
)

// Many co-ordinators stepped together on virtual time: what is harmless in one and harmful when all do it.

// quiet takes actions and notes that the list was asked for.
type quiet struct{ asked bool }

func (q *quiet) Send(uint64, uint32, float64) {}
func (q *quiet) Cancel(uint64, int)           {}
func (q *quiet) CloseIdleConnections(uint32)  {}
func (q *quiet) Answer(uint64, bool)          {}
func (q *quiet) Reject(uint64, float64)       {}
func (q *quiet) Fail(uint64)                  {}
func (q *quiet) SetTimer(float64)             {}
func (q *quiet) WatchEndpoints()              { q.asked = true }
func (q *quiet) Log(string)                   {}

// listService serves calls in turn, each for 100 ms; a call that has waited for 2 s fails, and its turn comes
// all the same; so does one at once that finds 40 others waiting.
type listService struct {
	line  []listCall
	until float64 // when it has served the first of the line
}

type listCall struct {
	who int
	at  float64
}

const (
	listServes = 100.0
	listWaits  = 2000.0
	listLine   = 40
)

// subscribe counts who of so many co-ordinators has a watch after each second, all started at one moment.
// Each takes itself for one of told.
func subscribe(t *testing.T, peers, told, seconds int) []int {
	t.Helper()
	var acts []*quiet
	var all []*Scheduler
	for i := range peers {
		s := settings()
		s.BrokerCount, s.BrokerIndex, s.PollEndpoints, s.MaxStaleness = told, i%told, true, 10000
		s.Placement = slicemap.NewRingPlacement(s.Shards, s.Cells, s.CellsPerShard)
		a := &quiet{}
		b, err := New(s, uint64(i)*7919+11, a)
		if err != nil {
			t.Fatal(err)
		}
		b.EndpointsChanged(1000, UpdateCached, []Endpoint{{Replica: 1, State: Ready}})
		acts, all = append(acts, a), append(all, b)
	}
	var l listService
	failed, watching, counts := make([]bool, peers), map[int]bool{}, []int{}
	for now := 1000.0; now < 1000+1000*float64(seconds); now += 5 {
		for len(l.line) > 0 && now >= l.until {
			if c := l.line[0]; now-c.at <= listWaits {
				all[c.who].EndpointsChanged(now, UpdateDelta, nil)
				watching[c.who] = true
			}
			l.line, l.until = l.line[1:], l.until+listServes
		}
		for _, c := range l.line {
			if now-c.at > listWaits && !failed[c.who] {
				failed[c.who] = true
				all[c.who].EndpointsChanged(now, UpdateFailed, nil)
			}
		}
		for i, b := range all {
			b.TimerFired(now)
			if b.RunRound(now); !acts[i].asked {
				continue
			}
			if acts[i].asked = false; len(l.line) >= listLine {
				b.EndpointsChanged(now, UpdateFailed, nil)
				continue
			}
			if len(l.line) == 0 {
				l.until = now + listServes
			}
			failed[i] = false
			l.line = append(l.line, listCall{i, now})
		}
		if int(now)%1000 == 0 {
			counts = append(counts, len(watching))
		}
	}
	return counts
}

// TestCrowdGetsItsListFromANarrowService: all of a large fleet start at once before a list service that can
// take 10 calls a second. Calls that wait until they fail use it up all the same, so what each may do alone
// starves all of them.
func TestCrowdGetsItsListFromANarrowService(t *testing.T) {
	for _, peers := range []int{3, 20, 80, 200} {
		t.Run(fmt.Sprint(peers), func(t *testing.T) {
			within := 3 + peers*int(2*listServes)/1000 + 12 // 2 x in turn, and a delay
			counts := subscribe(t, peers, peers, within)
			if last := counts[len(counts)-1]; last < peers*9/10 {
				t.Fatalf("%d of %d watch after %d s: %v", last, peers, within, counts)
			}
			t.Log(counts)
		})
	}
	// The check is seen to fail: 80 that pace themselves as if they were few never get through.
	if counts := subscribe(t, 80, 3, 25); counts[len(counts)-1] > 60 {
		t.Fatalf("80 unpaced co-ordinators got through: %v", counts)
	}
}

// fleet is a ring of replicas that serve parts one behind the other, and the co-ordinators before them, all on
// one clock. Work of a part is 18 ms, a warm replica does 2 ms of work in a ms.
type fleet struct {
	t        *testing.T
	s        Settings
	now      float64
	all      []*member
	replicas []*server
	due      []*fleetTry // in order of their ends
	rnd      *rand.Rand
	next     uint64
}

type server struct {
	ready float64 // 0 for long ago
	busy  float64
	work  []workSample // received
	sent  int
}

type fleetTry struct {
	m       *member
	part    uint64
	no      int
	replica uint32
	sent    float64
	end     float64
	outcome Outcome
	over    bool
}

type member struct {
	quiet
	f     *fleet
	b     *Scheduler
	tries map[uint64][]*fleetTry
}

const (
	fleetWork  = 18.0 // ms of a part
	fleetCores = 2.0
)

func newFleet(t *testing.T, peers int) *fleet {
	t.Helper()
	f := &fleet{t: t, now: 1e6, rnd: rand.New(rand.NewSource(5)), s: Settings{
		Classes:     []Class{{LatencyObjective: 400, Deadline: 1000, PriorityWeight: 1, LateFactor: 0.3, Idempotency: Idempotent, MinCompleteness: 1, CompletenessTarget: 1}},
		BrokerCount: peers, TimerResolution: 1, Shards: 12, Cells: 6, CellsPerShard: 3, MaxPartsPerCall: 1, CanCancel: true, MaxAttempts: 4,
		MaxRetryAfter: 1000, DrainGrace: 1000, SlowStart: SlowStartSettings{InitialCapacity: 0.21, Duration: 18000, WorkMultiple: 2.5, Window: 1500}}}
	f.s.Placement = slicemap.NewRingPlacement(f.s.Shards, f.s.Cells, f.s.CellsPerShard)
	for range f.s.Cells {
		f.replicas = append(f.replicas, &server{})
	}
	for i := range peers {
		m := &member{f: f, tries: map[uint64][]*fleetTry{}}
		s := f.s
		s.BrokerIndex = i
		var err error
		if m.b, err = New(s, uint64(i)*7919+3, m); err != nil {
			t.Fatal(err)
		}
		f.all = append(f.all, m)
	}
	f.list()
	return f
}

// list tells everybody of all replicas.
func (f *fleet) list() {
	var es []Endpoint
	for i, r := range f.replicas {
		es = append(es, Endpoint{Replica: uint32(i), Cell: i, State: Ready, StartedAt: r.ready})
	}
	for _, m := range f.all {
		m.b.EndpointsChanged(f.now, UpdateFull, es)
	}
}

// able is how much work a replica does in a ms.
func (f *fleet) able(r *server, at float64) float64 {
	if r.ready == 0 {
		return fleetCores
	}
	ramp := min(1, (at-r.ready)/f.s.SlowStart.Duration)
	return fleetCores * (f.s.SlowStart.InitialCapacity + (1-f.s.SlowStart.InitialCapacity)*ramp)
}

func (m *member) Send(part uint64, replica uint32, timeout float64) {
	f := m.f
	r := f.replicas[replica]
	r.sent++
	r.work = append(r.work, workSample{f.now, fleetWork})
	e := &fleetTry{m: m, part: part, no: len(m.tries[part]), replica: replica, sent: f.now}
	m.tries[part] = append(m.tries[part], e)
	if e.end = f.now + timeout; timeout == 0 {
		e.end = f.now + 1000
	}
	e.outcome = TimedOut
	work := fleetWork * (0.5 + f.rnd.Float64())
	r.busy = max(r.busy, f.now) + work/f.able(r, f.now)
	// One part alone takes a core's time, not that of two.
	if done := max(r.busy, f.now+work/f.able(r, f.now)*fleetCores); done < e.end {
		e.end, e.outcome = done, Succeeded
	}
	i, _ := slices.BinarySearchFunc(f.due, e, func(x, y *fleetTry) int { return cmp.Compare(x.end, y.end) })
	f.due = slices.Insert(f.due, i, e)
}

func (m *member) Cancel(part uint64, no int) {
	if e := m.tries[part][no]; !e.over && e.outcome != Cancelled {
		f := m.f
		f.due = slices.DeleteFunc(f.due, func(x *fleetTry) bool { return x == e })
		e.end, e.outcome = f.now, Cancelled
		f.due = slices.Insert(f.due, 0, e)
	}
}

// run steps the fleet for so long: so many queries a second of so many parts over all co-ordinators.
func (f *fleet) run(ms, rate float64, parts int) {
	for end := f.now + ms; f.now < end; f.now++ {
		for len(f.due) > 0 && f.due[0].end <= f.now {
			e := f.due[0]
			f.due, e.over = f.due[1:], true
			e.m.b.AttemptEnded(f.now, AttemptResult{Part: e.part, Attempt: e.no, Replica: e.replica, Outcome: e.outcome,
				Latency: f.now - e.sent})
		}
		if f.rnd.Float64() < rate/1000 {
			m := f.all[f.rnd.Intn(len(f.all))]
			f.next++
			q := f.next
			m.b.QueryArrived(f.now, Query{ID: q, QueryGroup: int(q), Deadline: f.now + 1000})
			first := f.rnd.Intn(f.s.Shards)
			for i := range parts {
				f.next++
				m.b.PartArrived(f.now, Part{ID: f.next, QueryGroup: int(q), Shard: (first + i) % f.s.Shards,
					Weight: 1 / float64(parts), CostHint: fleetWork, HasCostHint: true})
			}
		}
		for _, m := range f.all {
			m.b.TimerFired(f.now)
			m.b.RunRound(f.now)
		}
	}
}

// pressure is the most that a replica was sent in any window, by what the rule of cold starts allows there.
func (f *fleet) pressure(r *server, from float64) (most float64) {
	for i, x := range r.work {
		sum := 0.0
		for j := i; j >= 0 && r.work[j].at > x.at-f.s.SlowStart.Window; j-- {
			sum += r.work[j].workMs
		}
		if x.at > from {
			most = max(most, sum/(f.able(r, x.at-f.s.SlowStart.Window/2)*f.s.SlowStart.WorkMultiple*f.s.SlowStart.Window))
		}
	}
	return most
}

// TestFleetFeedsAColdReplicaWithinTheRule: 80 co-ordinators hear at one moment that a replica has started, as
// cold and as slow to warm as the rules let it be. Summed over all of them it stays within the rule in every
// window, also where a second holder is gone, and it is used for what it can do.
func TestFleetFeedsAColdReplicaWithinTheRule(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  float64 // queries a second of six parts: 100 replica parts a second are what a warm one can do
		least float64 // share of what it can do that it is given in its first 6 s
		cold  []int
	}{{"alone", 60, 0.35, []int{0}}, {"all holders of a shard", 60, 0.35, []int{0, 1, 2}}, {"busy", 80, 0.4, []int{0}},
		{"jammed", 105, 0.4, []int{0}}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 80)
			f.run(6000, c.rate, 6)
			for _, i := range c.cold {
				f.replicas[i].ready, f.replicas[i].sent = f.now-500, 0
				f.replicas[i].work = nil
			}
			f.list()
			at := f.now
			f.run(6000, c.rate, 6)
			for _, i := range c.cold {
				r := f.replicas[i]
				could := 0.0
				for x := at; x < f.now; x++ {
					could += f.able(r, x)
				}
				used, most := float64(r.sent)*fleetWork/could, f.pressure(r, at)
				t.Logf("replica %d: %.2f of what it could do, %.2f of the rule at most", i, used, most)
				if most > 0.9 || used < c.least {
					t.Errorf("replica %d: %.2f of what the rule allows, %.2f of what it could do", i, most, used)
				}
			}
		})
	}
}

// TestWaitingIsNoWork: a jam makes usual latencies several times as long, and the parts no dearer: the allowance of
// a replica that starts meanwhile is counted in what they took before.
func TestWaitingIsNoWork(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	for range 60 {
		g.hinted(0, 20, 0, 2, 4)
		g.turn()
		g.pass(40, g.after(30))
	}
	calm := g.b.warmupWorkMs(1)
	for range 200 {
		g.hinted(0, 20, 0, 2, 4)
		g.turn()
		g.pass(120, g.after(100))
	}
	if g.b.latency.baseline < 2*calm || g.b.warmupWorkMs(1) > 1.5*calm {
		t.Fatalf("usual %v ms in a jam, parts are taken for %v and then %v ms", g.b.latency.baseline, calm, g.b.warmupWorkMs(1))
	}
}

// TestColdSharesGoWithWhatIsServed: 80 co-ordinators share the allowance of a replica that starts by what each gets
// served. The busier has the larger share, and even if all used all of it in one window, that is within the rule.
func TestColdSharesGoWithWhatIsServed(t *testing.T) {
	f := newFleet(t, 80)
	f.run(4000, 80, 6)
	f.replicas[0].ready = f.now
	f.list()
	f.run(2000, 80, 6)
	one := f.s.SlowStart.WorkMultiple * f.s.SlowStart.Window * (f.s.SlowStart.InitialCapacity + (1-f.s.SlowStart.InitialCapacity)*(2000-f.s.SlowStart.Window/2)/f.s.SlowStart.Duration)
	sum, least, most := 0.0, 1e9, 0.0
	for _, m := range f.all {
		x := m.b.slowStart.quota.QuotaMs(allowanceMargin*one/80, one)
		sum, least, most = sum+x, min(least, x), max(most, x)
	}
	rule := f.able(f.replicas[0], f.now-f.s.SlowStart.Window/2) * f.s.SlowStart.WorkMultiple * f.s.SlowStart.Window
	t.Logf("%.2f of the rule in all, shares from %.1f to %.1f ms", sum/rule, least, most)
	if sum > rule || sum < 0.4*rule || most < 2*least {
		t.Fatalf("shares of %v ms of work in all, from %v to %v, the rule allows %v", sum, least, most, rule)
	}
}

// TestHungReplicasOfManyAreNoIdleDrops: a co-ordinator that meets each of 60 replicas every other second does so on
// connections that have been idle. Nine that hang are no sign that these are dropped; all that hang are.
func TestHungReplicasOfManyAreNoIdleDrops(t *testing.T) {
	for _, c := range []struct {
		hung  uint32
		drops bool
	}{{9, false}, {60, true}} {
		s := settings()
		s.BrokerCount, s.Cells, s.Shards, s.AllowHedging = 80, 60, 60, false
		g := newRig(t, s)
		g.fleet(UpdateFull)
		for i := range 30 {
			var shards []int
			for j := range 24 {
				shards = append(shards, (i*13+j)%60)
			}
			g.query(0, shards...)
			g.turn()
			bad := func(a *rigSend) bool { return i >= 10 && a.replica <= c.hung }
			g.pass(600, func(a *rigSend) {
				if g.now >= a.at+20 && !bad(a) {
					g.end(a, Succeeded)
				}
			})
		}
		dropped := 0
		for _, l := range g.log {
			if strings.Contains(l, " drop ") {
				dropped++
			}
		}
		if (dropped > 0) != c.drops {
			t.Errorf("%d of 60 hang: %d times closed", c.hung, dropped)
		}
	}
}

// TestDearPartsAndFirstSamplesDoNotWidenAColdAllowance: few peers share by work, so a part of ten mean parts is
// counted whole; and one quick sample is not what parts take from then on.
func TestDearPartsAndFirstSamplesDoNotWidenAColdAllowance(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	r := g.b.replicas.byID[1]
	r.warmup.startedAt = g.now
	g.b.settings.SlowStart.InitialCapacity = 0.5
	if left, need := g.b.warmupQuotaMs(g.now, r, 10); need != g.b.warmupWorkMs(10) || left <= 0 {
		t.Fatalf("a dear part needs %v of %v", need, left)
	}
	h := newRig(t, settings())
	h.fleet(UpdateFull)
	h.query(0, 0)
	h.turn()
	h.pass(10, h.after(1))
	for range 60 {
		h.hinted(0, 1, 0, 2, 4)
		h.turn()
		h.pass(120, h.after(100))
	}
	if w := h.b.warmupWorkMs(1); w < 50 {
		t.Fatalf("a part of 100 ms is taken for %v ms", w)
	}
}

// TestFirstCallIsWithinTheRule: however many peers there are, a start asks before silence counts as being told.
func TestFirstCallIsWithinTheRule(t *testing.T) {
	if counts := subscribe(t, 1, 2000, 9); counts[len(counts)-1] != 1 {
		t.Fatalf("not asked within 9 s: %v", counts)
	}
}
