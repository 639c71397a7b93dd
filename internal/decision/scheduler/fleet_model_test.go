package scheduler

import (
	"cmp"
	"math/rand"
	"slices"
	"testing"

	"ternstage/internal/slicemap"
)

// Many co-ordinators stepped together on virtual time: what is harmless in one and harmful when all do it.

// discardActions takes actions and notes that the list was asked for.
type discardActions struct{ polled bool }

func (q *discardActions) Send(uint64, uint32, float64) {}
func (q *discardActions) Cancel(uint64, int)           {}
func (q *discardActions) CloseIdleConnections(uint32)  {}
func (q *discardActions) Answer(uint64, bool)          {}
func (q *discardActions) Reject(uint64, float64)       {}
func (q *discardActions) Fail(uint64)                  {}
func (q *discardActions) SetTimer(float64)             {}
func (q *discardActions) WatchEndpoints()              { q.polled = true }
func (q *discardActions) Log(string)                   {}

// discoveryService serves calls in turn, each for 100 ms; a call that has waited for 2 s fails, and its turn comes
// all the same; so does one at once that finds 40 others waiting.
type discoveryService struct {
	queue    []pollCall
	servedAt float64 // when it has served the first of the line
}

type pollCall struct {
	broker    int
	arrivedAt float64
}

const (
	discoveryServiceMs   = 100.0
	discoveryTimeoutMs   = 2000.0
	discoveryQueueLength = 40
)

// countWatchingBrokers counts who of so many co-ordinators has a watch after each second, all started at one moment.
// Each takes itself for one of told.
func countWatchingBrokers(t *testing.T, peers, told, seconds int) []int {
	t.Helper()
	var acts []*discardActions
	var all []*Scheduler
	for i := range peers {
		settings := testSettings()
		settings.BrokerCount, settings.BrokerIndex, settings.PollEndpoints, settings.MaxStaleness = told, i%told, true, 10000
		settings.Placement = slicemap.NewRingPlacement(settings.Shards, settings.Cells, settings.CellsPerShard)
		a := &discardActions{}
		b, err := New(settings, uint64(i)*7919+11, a)
		if err != nil {
			t.Fatal(err)
		}
		b.EndpointsChanged(1000, UpdateCached, []Endpoint{{Replica: 1, State: Ready}})
		acts, all = append(acts, a), append(all, b)
	}
	var l discoveryService
	failed, watching, counts := make([]bool, peers), map[int]bool{}, []int{}
	for now := 1000.0; now < 1000+1000*float64(seconds); now += 5 {
		for len(l.queue) > 0 && now >= l.servedAt {
			if c := l.queue[0]; now-c.arrivedAt <= discoveryTimeoutMs {
				all[c.broker].EndpointsChanged(now, UpdateDelta, nil)
				watching[c.broker] = true
			}
			l.queue, l.servedAt = l.queue[1:], l.servedAt+discoveryServiceMs
		}
		for _, c := range l.queue {
			if now-c.arrivedAt > discoveryTimeoutMs && !failed[c.broker] {
				failed[c.broker] = true
				all[c.broker].EndpointsChanged(now, UpdateFailed, nil)
			}
		}
		for i, b := range all {
			b.TimerFired(now)
			if b.RunRound(now); !acts[i].polled {
				continue
			}
			if acts[i].polled = false; len(l.queue) >= discoveryQueueLength {
				b.EndpointsChanged(now, UpdateFailed, nil)
				continue
			}
			if len(l.queue) == 0 {
				l.servedAt = now + discoveryServiceMs
			}
			failed[i] = false
			l.queue = append(l.queue, pollCall{i, now})
		}
		if int(now)%1000 == 0 {
			counts = append(counts, len(watching))
		}
	}
	return counts
}

// fleetModel is a ring of replicas that serve parts one behind the other, and the co-ordinators before them, all on
// one clock. Work of a part is 18 ms, a warm replica does 2 ms of work in a ms.
type fleetModel struct {
	t        *testing.T
	settings Settings
	now      float64
	brokers  []*modelBroker
	replicas []*modelReplica
	endings  []*modelAttempt // in order of their ends
	random   *rand.Rand
	nextID   uint64
}

type modelReplica struct {
	startedAt float64 // 0 for long ago
	busyUntil float64
	received  []workSample // received
	attempts  int
}

type modelAttempt struct {
	broker  *modelBroker
	part    uint64
	number  int
	replica uint32
	sentAt  float64
	endsAt  float64
	outcome Outcome
	ended   bool
}

type modelBroker struct {
	discardActions
	fleet     *fleetModel
	scheduler *Scheduler
	attempts  map[uint64][]*modelAttempt
}

const (
	modelPartWorkMs   = 18.0 // ms of a part
	modelReplicaSpeed = 2.0
)

func newFleetModel(t *testing.T, peers int) *fleetModel {
	t.Helper()
	f := &fleetModel{t: t, now: 1e6, random: rand.New(rand.NewSource(5)), settings: Settings{
		Classes:     []Class{{LatencyObjective: 400, Deadline: 1000, PriorityWeight: 1, LateFactor: 0.3, Idempotency: Idempotent, MinCompleteness: 1, CompletenessTarget: 1}},
		BrokerCount: peers, TimerResolution: 1, Shards: 12, Cells: 6, CellsPerShard: 3, MaxPartsPerCall: 1, CanCancel: true, MaxAttempts: 4,
		MaxRetryAfter: 1000, DrainGrace: 1000, SlowStart: SlowStartSettings{InitialCapacity: 0.21, Duration: 18000, WorkMultiple: 2.5, Window: 1500}}}
	f.settings.Placement = slicemap.NewRingPlacement(f.settings.Shards, f.settings.Cells, f.settings.CellsPerShard)
	for range f.settings.Cells {
		f.replicas = append(f.replicas, &modelReplica{})
	}
	for i := range peers {
		m := &modelBroker{fleet: f, attempts: map[uint64][]*modelAttempt{}}
		s := f.settings
		s.BrokerIndex = i
		var err error
		if m.scheduler, err = New(s, uint64(i)*7919+3, m); err != nil {
			t.Fatal(err)
		}
		f.brokers = append(f.brokers, m)
	}
	f.updateEndpoints()
	return f
}

// updateEndpoints tells everybody of all replicas.
func (f *fleetModel) updateEndpoints() {
	var endpoints []Endpoint
	for i, r := range f.replicas {
		endpoints = append(endpoints, Endpoint{Replica: uint32(i), Cell: i, State: Ready, StartedAt: r.startedAt})
	}
	for _, m := range f.brokers {
		m.scheduler.EndpointsChanged(f.now, UpdateFull, endpoints)
	}
}

// capacityAt is how much work a replica does in a ms.
func (f *fleetModel) capacityAt(r *modelReplica, at float64) float64 {
	if r.startedAt == 0 {
		return modelReplicaSpeed
	}
	ramp := min(1, (at-r.startedAt)/f.settings.SlowStart.Duration)
	return modelReplicaSpeed * (f.settings.SlowStart.InitialCapacity + (1-f.settings.SlowStart.InitialCapacity)*ramp)
}

func (m *modelBroker) Send(part uint64, replica uint32, timeout float64) {
	f := m.fleet
	r := f.replicas[replica]
	r.attempts++
	r.received = append(r.received, workSample{f.now, modelPartWorkMs})
	e := &modelAttempt{broker: m, part: part, number: len(m.attempts[part]), replica: replica, sentAt: f.now}
	m.attempts[part] = append(m.attempts[part], e)
	if e.endsAt = f.now + timeout; timeout == 0 {
		e.endsAt = f.now + 1000
	}
	e.outcome = TimedOut
	work := modelPartWorkMs * (0.5 + f.random.Float64())
	r.busyUntil = max(r.busyUntil, f.now) + work/f.capacityAt(r, f.now)
	// One part alone takes a core's time, not that of two.
	if done := max(r.busyUntil, f.now+work/f.capacityAt(r, f.now)*modelReplicaSpeed); done < e.endsAt {
		e.endsAt, e.outcome = done, Succeeded
	}
	i, _ := slices.BinarySearchFunc(f.endings, e, func(x, y *modelAttempt) int { return cmp.Compare(x.endsAt, y.endsAt) })
	f.endings = slices.Insert(f.endings, i, e)
}

func (m *modelBroker) Cancel(part uint64, no int) {
	if e := m.attempts[part][no]; !e.ended && e.outcome != Cancelled {
		f := m.fleet
		f.endings = slices.DeleteFunc(f.endings, func(x *modelAttempt) bool { return x == e })
		e.endsAt, e.outcome = f.now, Cancelled
		f.endings = slices.Insert(f.endings, 0, e)
	}
}

// run steps the fleet for so long: so many queries a second of so many parts over all co-ordinators.
func (f *fleetModel) run(ms, rate float64, parts int) {
	for end := f.now + ms; f.now < end; f.now++ {
		for len(f.endings) > 0 && f.endings[0].endsAt <= f.now {
			e := f.endings[0]
			f.endings, e.ended = f.endings[1:], true
			e.broker.scheduler.AttemptEnded(f.now, AttemptResult{Part: e.part, Attempt: e.number, Replica: e.replica, Outcome: e.outcome,
				Latency: f.now - e.sentAt})
		}
		if f.random.Float64() < rate/1000 {
			m := f.brokers[f.random.Intn(len(f.brokers))]
			f.nextID++
			q := f.nextID
			m.scheduler.QueryArrived(f.now, Query{ID: q, QueryGroup: int(q), Deadline: f.now + 1000})
			first := f.random.Intn(f.settings.Shards)
			for i := range parts {
				f.nextID++
				m.scheduler.PartArrived(f.now, Part{ID: f.nextID, QueryGroup: int(q), Shard: (first + i) % f.settings.Shards,
					Weight: 1 / float64(parts), CostHint: modelPartWorkMs, HasCostHint: true})
			}
		}
		for _, m := range f.brokers {
			m.scheduler.TimerFired(f.now)
			m.scheduler.RunRound(f.now)
		}
	}
}

// peakAllowanceUse is the most that a replica was sent in any window, by what the rule of cold starts allows there.
func (f *fleetModel) peakAllowanceUse(r *modelReplica, from float64) (most float64) {
	for i, x := range r.received {
		sum := 0.0
		for j := i; j >= 0 && r.received[j].at > x.at-f.settings.SlowStart.Window; j-- {
			sum += r.received[j].workMs
		}
		if x.at > from {
			most = max(most, sum/(f.capacityAt(r, x.at-f.settings.SlowStart.Window/2)*f.settings.SlowStart.WorkMultiple*f.settings.SlowStart.Window))
		}
	}
	return most
}
