package world

import (
	"fmt"
	"math"
	"slices"

	"ternstage/internal/core"
	"ternstage/internal/decision/endpointpoll"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/model"
	"ternstage/internal/lab/result"
)

// virtualBroker is a broker in virtual time: the real core and scheduler, with emulated network connections. It
// implements broker, core.Transport, core.EndpointList, core.Clock and core.Log.
type virtualBroker struct {
	world          *World
	index          int
	name           string
	seed           uint64
	gen            int // counts the ends of its process
	core           *core.Core
	shardMap       *shardmap.Map
	mapPoller      *shardmap.Poller
	dirty          bool        // a scheduling round is due at the end of this moment
	wakeAt         float64     // ms; infinite if core waits for no time
	pending        []*dispatch // until Flush
	inFlight       []*dispatch // in the order of sending
	seenEvents     int         // endpoint events that core has received
	listRequested  bool
	currentCall    int     // number of the catalogue call whose answer is awaited
	nextPollAt     float64 // ms; time of the next scheduled poll
	listedBackends map[uint32]bool
	zone           int

	agentPoller *endpointpoll.Poller // polls the agent, if the endpoint list is pushed to one
	agentEvents int                  // endpoint events that the agent has

	// Totals of its processes that have ended.
	pastResharding  core.ReshardingStats
	pastMapStats    shardmap.Stats
	pastMaxVersions int
}

// dispatch is an attempt on its way to a backend and back. It implements responder.
type dispatch struct {
	broker    *virtualBroker
	gen       int
	attempt   *core.Attempt
	backend   *backend
	job       *model.Job
	arrivesAt float64 // ms
	atBackend bool    // it has reached the backend, and the checker counts it as in flight
	ended     bool
}

func newVirtualBroker(s *World, i int) *virtualBroker {
	return &virtualBroker{world: s, index: i, zone: s.e.ZoneOf(i), name: fmt.Sprintf("broker-%d", i),
		seed: s.seed + uint64(i)*7919, wakeAt: math.Inf(1), nextPollAt: math.Inf(1)}
}

// linksChanged implements broker: messages check the state of the links when they arrive.
func (b *virtualBroker) linksChanged() {}

// start starts its process, with a cached shard map unless that is nil.
func (b *virtualBroker) start(cached *shardmap.Version) {
	s := b.world
	s.check.BrokerRestarted(s.now, b.name)
	b.listedBackends = map[uint32]bool{}
	b.shardMap = shardmap.New(shardmap.Options{MaxRetired: s.e.RetiredShards,
		ReplicaNumber: func(name string) (uint32, bool) {
			n := s.fleet.byName[name]
			return n, n > 0 && b.listedBackends[n]
		}})
	var err error
	b.core, err = core.New(s.e.Settings(b.index, b.shardMap), b.seed+uint64(b.gen), core.Options{Clock: b, Log: b,
		ShardMap: b.shardMap})
	if err != nil {
		panic(err) // exp.Load has checked the experiment
	}
	b.core.Attach(b, b)
	b.wakeAt, b.seenEvents, b.nextPollAt = math.Inf(1), 0, math.Inf(1)
	b.mapPoller = shardmap.NewPoller(shardmap.DefaultPollerOptions, b.seed+uint64(b.gen))
	if s.e.PushEndpoints {
		b.agentPoller = endpointpoll.NewPoller(endpointpoll.Options{Pushed: true, DrainGrace: drainGraceMs})
		b.pollAgent(b.gen)
	} else {
		b.Watch()
	}
	if cached != nil {
		_ = b.core.ApplySnapshot(snapshotOf(cached, s.fleet.retiredAsOf(cached)))
	}
	if s.e.Arm == exp.Follow {
		b.core.OnNewerMap(func(epoch uint64) {
			b.mapPoller.NewerEpochSeen(s.now, epoch)
			b.schedulePoll()
		})
		b.pollCatalogue()
	} else {
		b.reloadPeriodically(b.gen)
	}
	b.markDirty()
}

// reloadPeriodically reads a snapshot of the shard map at intervals, as a broker does that reloads on SIGHUP only.
func (b *virtualBroker) reloadPeriodically(gen int) {
	if b.core == nil || gen != b.gen {
		return
	}
	if f := b.world.fleet; !f.isCatalogueDown() {
		_ = b.core.ApplySnapshot(snapshotOf(f.shardMap.Current(), f.shardMap.Retired(maxRetiredShards)))
	}
	b.markDirty()
	b.world.schedule(b.world.now+b.world.e.SighupMs, func() { b.reloadPeriodically(gen) })
}

// kill ends its process. The checker expects no answers to its requests any more.
func (b *virtualBroker) kill() {
	s := b.world
	b.pastResharding, b.pastMapStats, b.pastMaxVersions = addResharding(b.pastResharding, b.core.ReshardingStats()),
		addMapStats(b.pastMapStats, b.shardMap.Stats()), max(b.pastMaxVersions, b.maxVersions())
	for _, q := range s.queries {
		if q.broker == broker(b) && q.gen == b.gen && !q.ended {
			s.check.WaiveAnswer(q.ask.ID)
		}
	}
	for _, d := range b.inFlight {
		s.schedule(s.now+s.networkDelay(), func() { d.reportGone() })
	}
	b.core, b.inFlight, b.pending = nil, nil, nil
	b.gen++
}

func (b *virtualBroker) id() string      { return b.name }
func (b *virtualBroker) generation() int { return b.gen }
func (b *virtualBroker) isUp() bool {
	return b.core != nil && b.core.Epoch() > 0 && len(b.listedBackends) > 0
}

func (b *virtualBroker) submit(_ *query, r *core.Request) error {
	err := b.core.Submit(r)
	if err == nil {
		b.markDirty()
	}
	return err
}

// backendStopped ends the attempts at a backend whose process has ended.
func (b *virtualBroker) backendStopped(n *backend) {
	for _, d := range slices.Clone(b.inFlight) {
		if d.backend == n && d.atBackend {
			d.reportGone()
			d.returnOutcome(scheduler.ConnectionReset, nil)
		}
	}
}

func (b *virtualBroker) addStats(r *result.Summary) {
	r.MaxRetainedVersions = max(r.MaxRetainedVersions, b.maxVersions(), b.pastMaxVersions)
	r.Add(b.pastResharding, b.pastMapStats)
	if b.core != nil {
		r.Add(b.core.ReshardingStats(), b.shardMap.Stats())
		r.HintedPolls += b.mapPoller.HintedPolls()
		r.OpenAtEnd += b.core.OpenRequests()
	}
}

// maxVersions returns the most map versions that the current process has retained at once.
func (b *virtualBroker) maxVersions() int {
	if b.shardMap == nil {
		return 0
	}
	return b.shardMap.Stats().MaxRetainedVersions
}

// markDirty has the broker run a scheduling round at the end of this moment.
func (b *virtualBroker) markDirty() {
	if !b.dirty {
		b.dirty = true
		b.world.dirty = append(b.world.dirty, b)
	}
}

// Now implements core.Clock.
func (b *virtualBroker) Now() float64 { return b.world.now }

// WakeAt implements core.Clock.
func (b *virtualBroker) WakeAt(at float64) {
	s := b.world
	if at = max(at, s.now+0.05); at >= b.wakeAt {
		return
	}
	b.wakeAt = at
	gen := b.gen
	s.schedule(at, func() {
		if gen == b.gen && b.core != nil && b.wakeAt == at {
			b.wakeAt = math.Inf(1)
			b.markDirty()
		}
	})
}

// SchedulerLine implements core.Log.
func (b *virtualBroker) SchedulerLine(string) {}

// RequestEnded implements core.Log.
func (b *virtualBroker) RequestEnded(*core.Request, core.Answer) {}

// Watch implements core.EndpointList. The full list arrives first, then its changes as the broker is notified of
// them.
func (b *virtualBroker) Watch() {
	s, gen := b.world, b.gen
	if b.listRequested {
		return
	}
	b.listRequested = true
	s.schedule(s.now+s.networkDelay()+5, func() {
		if b.listRequested = false; gen != b.gen || b.core == nil {
			return
		}
		var endpoints []scheduler.Endpoint
		for _, n := range s.fleet.backends {
			endpoints = append(endpoints, b.endpoint(n, n.state))
		}
		b.seenEvents = len(s.fleet.endpointEvents)
		b.core.EndpointsChanged(scheduler.UpdateFull, endpoints)
		b.markDirty()
	})
}

// endpoint returns the list entry of a backend for this broker and informs the checker of it.
func (b *virtualBroker) endpoint(n *backend, state scheduler.ReplicaState) scheduler.Endpoint {
	s := b.world
	if state == scheduler.Ready || s.Fault.IgnoreDrain {
		b.listedBackends[n.number] = true
	} else if state == scheduler.Removed {
		delete(b.listedBackends, n.number)
	}
	if state == scheduler.Ready {
		s.check.ReadyNotified(b.name, n.ID)
	} else {
		s.check.DrainNotified(s.now, b.name, n.ID)
		if s.Fault.IgnoreDrain {
			state = scheduler.Ready
		}
	}
	started := n.Started
	if started > 0 {
		started += s.e.ClockOffset(b.index) // the broker's clock is off by this
	}
	if s.Fault.HideStarts {
		started = 0
	}
	return scheduler.Endpoint{Replica: n.number, Cell: n.index, StartedAt: started, State: state}
}

// drainGraceMs is the grace period of draining endpoints, the same as in the settings of a live broker.
const drainGraceMs = 1000.0

// pollAgent makes the next call to the agent, which answers at once with what it has or does not respond.
func (b *virtualBroker) pollAgent(gen int) {
	s := b.world
	if b.core == nil || gen != b.gen {
		return
	}
	c := b.agentPoller.BeginCall(s.now)
	if s.fleet.agentSilentUntil[b.index] > s.now {
		s.schedule(s.now+c.Timeout, func() {
			if b.core != nil && gen == b.gen {
				s.schedule(b.agentPoller.HandleFailure(s.now, true).At, func() { b.pollAgent(gen) })
			}
		})
		return
	}
	s.schedule(s.now+2*minNetworkDelayMs, func() {
		if b.core == nil || gen != b.gen {
			return
		}
		n := b.agentPoller.HandleResponse(s.now, endpointpoll.Response{Complete: c.FullList,
			Revision: uint64(firstRevision + b.agentEvents), EndpointCount: len(s.fleet.backends)})
		if n.Apply {
			b.applyAgentList(c.FullList)
		}
		s.schedule(n.At, func() { b.pollAgent(gen) })
	})
}

// applyAgentList passes the agent's list to core: the full list, or the events since the last call.
func (b *virtualBroker) applyAgentList(full bool) {
	s, kind := b.world, scheduler.UpdateDelta
	var endpoints []scheduler.Endpoint
	if full {
		kind = scheduler.UpdateFull
		for _, n := range s.fleet.backends {
			latest := endpointEvent{backend: n, state: scheduler.Ready}
			for _, event := range s.fleet.endpointEvents[:b.agentEvents] {
				if event.backend == n {
					latest = event
				}
			}
			endpoints = append(endpoints, b.endpoint(n, latest.state))
		}
	} else {
		for _, n := range s.fleet.endpointEvents[b.seenEvents:b.agentEvents] {
			endpoints = append(endpoints, b.endpoint(n.backend, n.state))
		}
	}
	if b.seenEvents = b.agentEvents; full || len(endpoints) > 0 {
		b.core.EndpointsChanged(kind, endpoints)
		b.markDirty()
	}
}

// notify implements broker. If the list is pushed, the agent gets the events, and the broker polls the agent for
// them.
func (b *virtualBroker) notify(upTo int) {
	if s := b.world; s.e.PushEndpoints && b.agentEvents < upTo {
		if until := s.fleet.agentSilentUntil[b.index]; until > s.now { // a silent agent gets no updates either
			s.schedule(until, func() { b.notify(upTo) })
			return
		}
		s.fleet.agentUpdatedAt[b.index] = s.now
		for _, n := range s.fleet.endpointEvents[b.agentEvents:upTo] { // what the agent has counts as known
			if n.state != scheduler.Ready {
				s.check.DrainNotified(s.now, b.name, n.backend.ID)
			}
		}
		b.agentEvents = upTo
	}
	if b.world.e.PushEndpoints {
		return
	}
	if b.core == nil || b.seenEvents >= upTo || len(b.listedBackends) == 0 {
		return
	}
	var endpoints []scheduler.Endpoint
	for _, n := range b.world.fleet.endpointEvents[b.seenEvents:upTo] {
		endpoints = append(endpoints, b.endpoint(n.backend, n.state))
	}
	b.seenEvents = upTo
	b.core.EndpointsChanged(scheduler.UpdateDelta, endpoints)
	b.markDirty()
}

// pollCatalogue makes the call to the catalogue if one is due, and schedules the next.
func (b *virtualBroker) pollCatalogue() {
	if b.core == nil {
		return
	}
	if call, due := b.mapPoller.Next(b.world.now); due {
		b.currentCall++
		number, gen := b.currentCall, b.gen
		b.world.fleet.poll(call, func() { b.handleAnswer(number, gen, nil) }, func(a catalogueAnswer) {
			b.handleAnswer(number, gen, func(c *core.Core) error {
				if a.version != nil {
					return c.ApplySnapshot(a.snapshot())
				}
				return c.ApplyChanges(a.changes, nil)
			})
		})
	}
	b.schedulePoll()
}

// schedulePoll schedules pollCatalogue for the time that the poller asks for.
func (b *virtualBroker) schedulePoll() {
	at := b.mapPoller.NextAt()
	if math.IsInf(at, 1) || at >= b.nextPollAt {
		return
	}
	s, gen := b.world, b.gen
	b.nextPollAt = at
	s.schedule(at, func() {
		if gen == b.gen && b.nextPollAt == at {
			b.nextPollAt = math.Inf(1)
			b.pollCatalogue()
		}
	})
}

// handleAnswer applies an answer of the catalogue; apply is nil if the call failed.
func (b *virtualBroker) handleAnswer(call, gen int, apply func(*core.Core) error) {
	if b.core == nil || gen != b.gen || call != b.currentCall {
		return
	}
	b.currentCall++ // a duplicate of this answer is ignored
	switch {
	case apply == nil:
		b.mapPoller.Failed(b.world.now)
	case apply(b.core) != nil:
		b.mapPoller.AnswerInvalid(b.world.now)
	default:
		b.mapPoller.Succeeded(b.world.now, b.core.Epoch())
		b.markDirty()
	}
	b.pollCatalogue()
}

// Send implements core.Transport.
func (b *virtualBroker) Send(a *core.Attempt) {
	d := &dispatch{broker: b, gen: b.gen, attempt: a, backend: b.world.fleet.backends[a.Backend-1]}
	a.Handle = d
	b.pending = append(b.pending, d)
}

// Flush implements core.Transport.
func (b *virtualBroker) Flush() {
	pending := b.pending
	b.pending = nil
	for _, d := range pending {
		d.send()
		if b.world.Fault.DuplicateAttempt && b.world.lastID%20 == 0 {
			(&dispatch{broker: b, gen: b.gen, attempt: d.attempt, backend: d.backend}).send()
		}
	}
}

// CloseIdleConnections implements core.Transport. There are no connections in virtual time.
func (b *virtualBroker) CloseIdleConnections(uint32) {}

// Withdraw implements core.Transport.
func (b *virtualBroker) Withdraw(a *core.Attempt) bool {
	i := slices.Index(b.pending, a.Handle.(*dispatch))
	if i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
	}
	return i >= 0
}

// Abandon implements core.Transport.
func (b *virtualBroker) Abandon(a *core.Attempt) (neverRan bool) {
	if b.Withdraw(a) {
		return true
	}
	d := a.Handle.(*dispatch)
	d.remove()
	// The cancellation follows the part on the same connection, so that it arrives after it.
	s := b.world
	s.schedule(max(s.now+s.networkDelay(), d.arrivesAt+0.01), func() {
		if d.reportGone(); d.job != nil {
			d.backend.Drop(d.job)
		}
	})
	return false
}

// remove removes the dispatch from those in flight. A later outcome is ignored.
func (d *dispatch) remove() {
	d.ended = true
	if i := slices.Index(d.broker.inFlight, d); i >= 0 {
		d.broker.inFlight = slices.Delete(d.broker.inFlight, i, i+1)
	}
}

// reportGone informs the checker that the part is no longer in flight.
func (d *dispatch) reportGone() {
	if d.atBackend {
		d.atBackend = false
		d.broker.world.check.AttemptEnded(d.attempt.Request, d.attempt.Buckets)
	}
}

// send sends the part to its backend.
func (d *dispatch) send() {
	s := d.broker.world
	s.check.AttemptSent(s.now, d.broker.name, d.backend.ID)
	d.broker.inFlight = append(d.broker.inFlight, d)
	d.arrivesAt = s.now + s.zoneDelay(d.broker.zone, d.backend.zone)
	s.schedule(d.arrivesAt, d.arrive)
}

// arrive delivers the part to its backend.
func (d *dispatch) arrive() {
	s, n := d.broker.world, d.backend
	q := s.queries[d.attempt.Request]
	if !s.fleet.canReach(d.broker.zone, n.zone) || s.fleet.linksCutUntil[d.broker.index] > s.now {
		return // lost without an error
	}
	if n.Fault == model.Down || n.Overloaded || q == nil {
		d.returnOutcome(scheduler.ConnectFailed, nil)
		return
	}
	d.job = &model.Job{RequestID: d.attempt.Request, Class: q.ask.Class, NonIdempotent: q.ask.NonIdempotent,
		Buckets: d.attempt.Buckets, Epoch: d.attempt.Epoch, Work: q.workOf(d.attempt.Buckets), Context: d}
	d.job.Unfenced = s.Fault.Unfenced
	if s.e.Arm != exp.Follow {
		d.job.Epoch = 0
	}
	d.atBackend = true
	n.receive(d.job)
}

// respond implements responder.
func (d *dispatch) respond(end model.Outcome) {
	d.reportGone()
	switch end {
	case model.OK:
		d.returnOutcome(scheduler.Succeeded, []byte(model.Value(d.attempt.Request, d.attempt.Buckets)))
	case model.Failed:
		d.returnOutcome(scheduler.Failed, nil)
	case model.Rejected:
		d.returnOutcome(scheduler.Rejected, nil)
	case model.NotHolder:
		d.attempt.BackendEpoch = d.backend.Epoch()
		d.returnOutcome(scheduler.NotHolder, nil)
	}
}

// returnOutcome reports the outcome to the broker after the network delay, unless the links are cut then.
func (d *dispatch) returnOutcome(o scheduler.Outcome, value []byte) {
	s := d.broker.world
	s.schedule(s.now+s.zoneDelay(d.backend.zone, d.broker.zone), func() {
		if !s.fleet.canReach(d.broker.zone, d.backend.zone) || s.fleet.linksCutUntil[d.broker.index] > s.now {
			return
		}
		if d.ended || d.gen != d.broker.gen || d.broker.core == nil {
			return
		}
		d.remove()
		d.broker.core.AttemptEnded(d.attempt, o, value)
		d.broker.markDirty()
	})
}

func addResharding(a, b core.ReshardingStats) core.ReshardingStats {
	return core.ReshardingStats{Replaced: a.Replaced + b.Replaced, Split: a.Split + b.Split,
		InFlight: a.InFlight + b.InFlight, Paused: a.Paused + b.Paused, Duplicates: a.Duplicates + b.Duplicates,
		Stale: a.Stale + b.Stale, Behind: a.Behind + b.Behind}
}

func addMapStats(a, b shardmap.Stats) shardmap.Stats {
	return shardmap.Stats{NotHolder: a.NotHolder + b.NotHolder, SameEpoch: a.SameEpoch + b.SameEpoch,
		Rejected: a.Rejected + b.Rejected}
}

func (b *virtualBroker) number() int { return b.index }
