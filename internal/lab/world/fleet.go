package world

import (
	"math/rand/v2"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/model"
)

// endpointEvent is one change of the endpoint list.
type endpointEvent struct {
	backend *backend
	state   scheduler.ReplicaState
	started float64 // ms
}

// fleet holds the backends, their endpoint list, and the catalogue with the authoritative shard map.
type fleet struct {
	world            *World
	backends         []*backend
	byName           map[string]uint32
	endpointEvents   []endpointEvent
	shardMap         *shardmap.Map
	mapHistory       []timedVersion
	changeLog        []shardmap.Change
	watchers         []func() // watches that wait for a change of the map
	nextShard        shardmap.ShardID
	changeCount      int
	movePacer        shardmap.HandoverPacer
	cutZone          int       // zone that is cut off from the others, -1 for none
	agentSilentUntil []float64 // ms, by broker: its discovery agent does not respond until then
	agentUpdatedAt   []float64 // ms, by broker: when its agent last got an endpoint event
	linksCutUntil    []float64 // ms, by broker: its links to all backends are cut until then

	// Load reports and shard map changes draw from random sources of their own, so that runs with and without load
	// reports and changes have the same faults.
	loadReportRand *rand.Rand
	changeRand     *rand.Rand
}

func newFleet(s *World, seed uint64) *fleet {
	f := &fleet{world: s, byName: map[string]uint32{},
		shardMap: shardmap.New(shardmap.Options{MaxRetired: s.e.RetiredShards}), nextShard: s.e.Shards,
		changeRand: rand.New(rand.NewPCG(seed, 4)), loadReportRand: rand.New(rand.NewPCG(seed, 5)),
		cutZone: -1, agentSilentUntil: make([]float64, s.e.Brokers),
		linksCutUntil: make([]float64, s.e.Brokers), agentUpdatedAt: make([]float64, s.e.Brokers),
		movePacer: shardmap.HandoverPacer{MaxConcurrent: 2, InitialCapacity: s.e.Backend.InitialCapacity,
			WarmupMs: s.e.Backend.WarmUp}}
	if _, err := f.shardMap.Reset(s.e.InitialMap()); err != nil {
		panic(err) // exp.Load has checked the experiment
	}
	f.mapHistory = []timedVersion{{0, f.shardMap.Current()}}
	for i := range s.e.Backends {
		id := exp.BackendID(i)
		f.byName[id] = uint32(i + 1)
		f.backends = append(f.backends, &backend{world: s, index: i, number: uint32(i + 1), zone: s.e.ZoneOf(i),
			state:   scheduler.Ready,
			Backend: model.New(id, s.e.BackendOptions(), f.shardMap.Current(), seed*1009+uint64(i))})
	}
	return f
}

// scheduleEvents schedules shard map changes, faults, load reports and pauses of the run.
func (f *fleet) scheduleEvents() {
	s := f.world
	if s.e.Changes.Interval > 0 {
		s.schedule(s.now+2000, f.applyRandomChange)
	}
	if s.e.Faults.Interval > 0 && len(s.e.Faults.Kinds) > 0 {
		s.schedule(s.now+3000, f.injectRandomFault)
	}
	s.schedule(s.now+ledgerStepMs, f.recordSlowStartAllowance)
	for _, v := range s.e.Script {
		s.schedule(s.now+v.At, func() { f.injectFault(v.Kind, v.On, v.For, true) })
	}
	if s.e.Backend.ReportInterval[1] > 0 {
		for _, n := range f.backends {
			n.measureLoad()
		}
	}
	if s.e.Backend.Pause[1] > 0 {
		for _, n := range f.backends {
			s.schedule(s.now+s.e.Backend.PauseInterval[1]*s.faultRand.Float64(), n.pauseRepeatedly)
		}
	}
}

// publish adds a backend's new state to the endpoint list. Each broker is notified after a delay of its own.
func (f *fleet) publish(n *backend, state scheduler.ReplicaState) {
	s := f.world
	n.state = state
	f.endpointEvents = append(f.endpointEvents, endpointEvent{n, state, n.Started})
	upTo := len(f.endpointEvents)
	for _, b := range s.brokers {
		gen := b.generation()
		s.schedule(s.now+s.e.Updates.EndpointListDelay.Draw(s.networkRand), func() {
			if gen == b.generation() {
				b.notify(upTo)
			}
		})
	}
}

// agentReadMs is the time within which a broker reads an update from its agent. The broker polls the agent every
// 100 ms.
const agentReadMs = 150.0

// ledgerStepMs is the length of a step of the ledger.
const ledgerStepMs = 100.0

// recordSlowStartAllowance records the work that warming backends could have been sent in the step that ends now:
// their present capacity times the overload factor that a backend withstands.
func (f *fleet) recordSlowStartAllowance() {
	s := f.world
	for _, n := range f.backends {
		if n.IsWarmingUp(s.now) && !n.Overloaded && n.Fault != model.Down && n.Fault != model.Draining {
			s.ledger.WorkAllowed(n.ID, s.e.Backend.OverloadMultiple*n.Capacity(s.now)*ledgerStepMs)
		}
	}
	if s.ledger.EndStep(s.now-ledgerStepMs-clockStartMs, ledgerStepMs); s.now < s.endMs {
		s.schedule(s.now+ledgerStepMs, f.recordSlowStartAllowance)
	}
}
