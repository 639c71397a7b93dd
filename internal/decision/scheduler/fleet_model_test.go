package scheduler

import (
	"cmp"
	"math/rand"
	"slices"
	"testing"

	"ternstage/internal/decision/shardmap"
)

// The models of this file run many brokers together on virtual time. They show behaviour that is harmless in one
// broker and harmful in a whole fleet.

// discardActions ignores all actions but records that the endpoint list was polled.
type discardActions struct{ polled bool }

func (d *discardActions) Send(uint64, uint32, float64) {}
func (d *discardActions) Cancel(uint64, int)           {}
func (d *discardActions) CloseIdleConnections(uint32)  {}
func (d *discardActions) Answer(uint64, bool)          {}
func (d *discardActions) Reject(uint64, float64)       {}
func (d *discardActions) Fail(uint64)                  {}
func (d *discardActions) SetTimer(float64)             {}
func (d *discardActions) WatchEndpoints()              { d.polled = true }
func (d *discardActions) Log(string)                   {}

const (
	discoveryServiceMs   = 100.0
	discoveryTimeoutMs   = 2000.0
	discoveryQueueLength = 40
)

// discoveryService serves polls one after another. A poll fails once it has waited for the timeout, but still takes
// its service time. A poll that arrives while the queue is full fails at once.
type discoveryService struct {
	queue    []pollCall
	servedAt float64 // when the first poll of the queue has been served
}

// pollCall is a poll of a broker that waits in the queue of the discovery service.
type pollCall struct {
	broker    int
	arrivedAt float64
}

// discoveryModel is a fleet of brokers that poll one discovery service.
type discoveryModel struct {
	service  discoveryService
	brokers  []*Scheduler
	actions  []*discardActions
	timedOut []bool       // by broker: whether its last poll has timed out
	watching map[int]bool // the brokers that have been served
}

// newDiscoveryModel starts all brokers at the same time with a cached list. Each assumes a fleet of assumedBrokers.
func newDiscoveryModel(t *testing.T, brokers, assumedBrokers int) *discoveryModel {
	t.Helper()
	m := &discoveryModel{timedOut: make([]bool, brokers), watching: map[int]bool{}}
	for i := range brokers {
		settings := testSettings()
		settings.BrokerCount = assumedBrokers
		settings.BrokerIndex = i % assumedBrokers
		settings.PollEndpoints = true
		settings.MaxStaleness = 10000
		settings.Placement = shardmap.NewRingPlacement(settings.Shards, settings.Cells, settings.CellsPerShard)
		actions := &discardActions{}
		broker, err := New(settings, uint64(i)*7919+11, actions)
		if err != nil {
			t.Fatal(err)
		}
		broker.EndpointsChanged(1000, UpdateCached, []Endpoint{{Replica: 1, State: Ready}})
		m.actions = append(m.actions, actions)
		m.brokers = append(m.brokers, broker)
	}
	return m
}

// countWatchingBrokers runs a discovery model and returns, for each second, how many brokers have a watch by then.
func countWatchingBrokers(t *testing.T, brokers, assumedBrokers, seconds int) []int {
	t.Helper()
	m := newDiscoveryModel(t, brokers, assumedBrokers)
	counts := []int{}
	for now := 1000.0; now < 1000+1000*float64(seconds); now += 5 {
		m.serve(now)
		m.failTimedOut(now)
		m.runRounds(now)
		if int(now)%1000 == 0 {
			counts = append(counts, len(m.watching))
		}
	}
	return counts
}

// serve ends the polls that have been served. Only those that have not timed out deliver an update.
func (m *discoveryModel) serve(now float64) {
	service := &m.service
	for len(service.queue) > 0 && now >= service.servedAt {
		call := service.queue[0]
		if now-call.arrivedAt <= discoveryTimeoutMs {
			m.brokers[call.broker].EndpointsChanged(now, UpdateDelta, nil)
			m.watching[call.broker] = true
		}
		service.queue = service.queue[1:]
		service.servedAt += discoveryServiceMs
	}
}

// failTimedOut reports the polls to their brokers as failed that have waited longer than the timeout.
func (m *discoveryModel) failTimedOut(now float64) {
	for _, call := range m.service.queue {
		if now-call.arrivedAt > discoveryTimeoutMs && !m.timedOut[call.broker] {
			m.timedOut[call.broker] = true
			m.brokers[call.broker].EndpointsChanged(now, UpdateFailed, nil)
		}
	}
}

// runRounds runs a round at each broker and queues the polls that the brokers make.
func (m *discoveryModel) runRounds(now float64) {
	service := &m.service
	for i, broker := range m.brokers {
		broker.TimerFired(now)
		broker.RunRound(now)
		if !m.actions[i].polled {
			continue
		}
		m.actions[i].polled = false
		if len(service.queue) >= discoveryQueueLength {
			broker.EndpointsChanged(now, UpdateFailed, nil)
			continue
		}
		if len(service.queue) == 0 {
			service.servedAt = now + discoveryServiceMs
		}
		m.timedOut[i] = false
		service.queue = append(service.queue, pollCall{broker: i, arrivedAt: now})
	}
}

const (
	modelPartWorkMs   = 18.0 // mean work of a part
	modelReplicaSpeed = 2.0  // ms of work per ms of a warm replica
)

// fleetModel is a ring of replicas, which serve parts one after another, and the brokers that send them parts.
type fleetModel struct {
	settings Settings
	now      float64
	brokers  []*modelBroker
	replicas []*modelReplica
	inFlight []*modelAttempt // in the order of endsAt
	random   *rand.Rand
	nextID   uint64
}

type modelReplica struct {
	startedAt float64 // 0 for long ago
	busyUntil float64
	received  []workSample
	attempts  int // number received since the last start
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
	attempts  map[uint64][]*modelAttempt // by part ID
}

func newFleetModel(t *testing.T, brokers int) *fleetModel {
	t.Helper()
	class := Class{LatencyObjective: 400, Deadline: 1000, PriorityWeight: 1, LateFactor: 0.3, Idempotency: Idempotent,
		MinCompleteness: 1, CompletenessTarget: 1}
	f := &fleetModel{now: 1e6, random: rand.New(rand.NewSource(5)), settings: Settings{
		Classes:         []Class{class},
		BrokerCount:     brokers,
		TimerResolution: 1,
		Shards:          12,
		Cells:           6,
		CellsPerShard:   3,
		MaxPartsPerCall: 1,
		CanCancel:       true,
		MaxAttempts:     4,
		MaxRetryAfter:   1000,
		DrainGrace:      1000,
		SlowStart:       SlowStartSettings{InitialCapacity: 0.21, Duration: 18000, WorkMultiple: 2.5, Window: 1500},
	}}
	f.settings.Placement = shardmap.NewRingPlacement(f.settings.Shards, f.settings.Cells, f.settings.CellsPerShard)
	for range f.settings.Cells {
		f.replicas = append(f.replicas, &modelReplica{})
	}
	for i := range brokers {
		broker := &modelBroker{fleet: f, attempts: map[uint64][]*modelAttempt{}}
		settings := f.settings
		settings.BrokerIndex = i
		scheduler, err := New(settings, uint64(i)*7919+3, broker)
		if err != nil {
			t.Fatal(err)
		}
		broker.scheduler = scheduler
		f.brokers = append(f.brokers, broker)
	}
	f.updateEndpoints()
	return f
}

// updateEndpoints sends all brokers a full update of the endpoint list.
func (f *fleetModel) updateEndpoints() {
	var endpoints []Endpoint
	for i, r := range f.replicas {
		endpoints = append(endpoints, Endpoint{Replica: uint32(i), Cell: i, State: Ready, StartedAt: r.startedAt})
	}
	for _, broker := range f.brokers {
		broker.scheduler.EndpointsChanged(f.now, UpdateFull, endpoints)
	}
}

// restart sets the start of a replica to half a second ago. The brokers are informed by updateEndpoints.
func (f *fleetModel) restart(r *modelReplica) {
	r.startedAt = f.now - 500
	r.attempts = 0
	r.received = nil
}

// capacityAt returns the speed of a replica at a time, in ms of work per ms.
func (f *fleetModel) capacityAt(r *modelReplica, at float64) float64 {
	if r.startedAt == 0 {
		return modelReplicaSpeed
	}
	slowStart := f.settings.SlowStart
	ramp := min(1, (at-r.startedAt)/slowStart.Duration)
	return modelReplicaSpeed * (slowStart.InitialCapacity + (1-slowStart.InitialCapacity)*ramp)
}

// Send adds the part to the work of the replica, which serves it after everything that it was sent before.
func (m *modelBroker) Send(part uint64, replica uint32, timeoutMs float64) {
	f := m.fleet
	r := f.replicas[replica]
	r.attempts++
	r.received = append(r.received, workSample{f.now, modelPartWorkMs})
	a := &modelAttempt{
		broker:  m,
		part:    part,
		number:  len(m.attempts[part]),
		replica: replica,
		sentAt:  f.now,
		endsAt:  f.now + timeoutMs,
		outcome: TimedOut,
	}
	if timeoutMs == 0 {
		a.endsAt = f.now + 1000
	}
	m.attempts[part] = append(m.attempts[part], a)
	work := modelPartWorkMs * (0.5 + f.random.Float64())
	r.busyUntil = max(r.busyUntil, f.now) + work/f.capacityAt(r, f.now)
	// A part runs on one core, so even alone it does not use the speed of all cores.
	doneAt := max(r.busyUntil, f.now+work/f.capacityAt(r, f.now)*modelReplicaSpeed)
	if doneAt < a.endsAt {
		a.endsAt = doneAt
		a.outcome = Succeeded
	}
	byEnd := func(x, y *modelAttempt) int { return cmp.Compare(x.endsAt, y.endsAt) }
	i, _ := slices.BinarySearchFunc(f.inFlight, a, byEnd)
	f.inFlight = slices.Insert(f.inFlight, i, a)
}

// Cancel ends an attempt at the next tick. The replica does its work nevertheless.
func (m *modelBroker) Cancel(part uint64, attempt int) {
	f := m.fleet
	a := m.attempts[part][attempt]
	if a.ended || a.outcome == Cancelled {
		return
	}
	f.inFlight = slices.DeleteFunc(f.inFlight, func(other *modelAttempt) bool { return other == a })
	a.endsAt = f.now
	a.outcome = Cancelled
	f.inFlight = slices.Insert(f.inFlight, 0, a)
}

// run runs the fleet for the given time, in ms. Over all brokers, queries with the given number of parts arrive at a
// rate per second.
func (f *fleetModel) run(ms, rate float64, parts int) {
	for end := f.now + ms; f.now < end; f.now++ {
		f.endAttempts()
		if f.random.Float64() < rate/1000 {
			f.submit(parts)
		}
		for _, broker := range f.brokers {
			broker.scheduler.TimerFired(f.now)
			broker.scheduler.RunRound(f.now)
		}
	}
}

// endAttempts reports the attempts that have ended to their brokers.
func (f *fleetModel) endAttempts() {
	for len(f.inFlight) > 0 && f.inFlight[0].endsAt <= f.now {
		a := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		a.ended = true
		a.broker.scheduler.AttemptEnded(f.now, AttemptResult{
			Part:    a.part,
			Attempt: a.number,
			Replica: a.replica,
			Outcome: a.outcome,
			Latency: f.now - a.sentAt,
		})
	}
}

// submit submits a query to a random broker, with parts at successive shards that begin with a random one.
func (f *fleetModel) submit(parts int) {
	broker := f.brokers[f.random.Intn(len(f.brokers))]
	f.nextID++
	id := f.nextID
	broker.scheduler.QueryArrived(f.now, Query{ID: id, QueryGroup: int(id), Deadline: f.now + 1000})
	first := f.random.Intn(f.settings.Shards)
	for i := range parts {
		f.nextID++
		broker.scheduler.PartArrived(f.now, Part{
			ID:          f.nextID,
			QueryGroup:  int(id),
			Shard:       (first + i) % f.settings.Shards,
			Weight:      1 / float64(parts),
			CostHint:    modelPartWorkMs,
			HasCostHint: true,
		})
	}
}

// allowanceAt returns the work that all brokers together may send a replica in the window that ends at a time.
func (f *fleetModel) allowanceAt(r *modelReplica, at float64) float64 {
	slowStart := f.settings.SlowStart
	return f.capacityAt(r, at-slowStart.Window/2) * slowStart.WorkMultiple * slowStart.Window
}

// peakAllowanceUse returns the most work that a replica was sent in any window that ends after a time, as a share of
// the allowance of that window.
func (f *fleetModel) peakAllowanceUse(r *modelReplica, after float64) float64 {
	peak := 0.0
	for i, last := range r.received {
		sum := 0.0
		for j := i; j >= 0 && r.received[j].at > last.at-f.settings.SlowStart.Window; j-- {
			sum += r.received[j].workMs
		}
		if last.at > after {
			peak = max(peak, sum/f.allowanceAt(r, last.at))
		}
	}
	return peak
}
