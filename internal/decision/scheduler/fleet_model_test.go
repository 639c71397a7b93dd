package scheduler

import (
	"cmp"
	"math/rand"
	"slices"
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
