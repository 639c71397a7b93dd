package world

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/model"
)

const (
	maxMapHistory    = 512  // map versions kept for clients with a stale map and for checks of what backends held
	maxRetiredShards = 1024 // retired shards in a snapshot
	maxChangeLog     = 4096 // changes from which a watch can resume; one that lags further gets a snapshot
)

// backend is an emulated backend.
type backend struct {
	*model.Backend
	world             *World
	index             int
	number            uint32
	state             scheduler.ReplicaState
	gen               int  // counts the starts and stops of its process
	incomingMoves     int  // shards that are being moved to it
	hasFault          bool // an injected fault has not ended
	zone              int
	stalledUntil      float64     // ms; parts that would finish earlier finish at this time
	smoothedServiceMs float64     // moving average of the service time of parts, without their wait
	loadReport        string      // load report sent with answers, as last measured; "" if it sends none
	listeners         listenerSet // nil in virtual time
}

// listenerSet holds the listeners and connections of a backend in a live run.
type listenerSet interface {
	close() // closes listeners and connections, as the end of the process does
	listen()
	resetLost() // resets connections that lost messages while their zone was cut off
}

// endpointEvent is one change of the endpoint list.
type endpointEvent struct {
	backend *backend
	state   scheduler.ReplicaState
	started float64 // ms
}

// timedVersion is a version of the shard map and the time from which it was current.
type timedVersion struct {
	since   float64 // ms
	version *shardmap.Version
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

// versionAt returns the map version that a reader of the catalogue had at a time. During an outage it is the
// version from before the outage.
func (f *fleet) versionAt(at float64) *shardmap.Version {
	for _, o := range f.world.e.Updates.Outages {
		if elapsed := at - clockStartMs; elapsed >= o.At && elapsed < o.At+o.For {
			at = clockStartMs + o.At
		}
	}
	i := len(f.mapHistory) - 1
	for i > 0 && f.mapHistory[i].since > at {
		i--
	}
	return f.mapHistory[i].version
}

// applyChange applies a change to the shard map, informs the backends and wakes the watches. It reports whether
// the change is valid.
func (f *fleet) applyChange(c shardmap.Change) bool {
	s := f.world
	cur := f.shardMap.Current()
	c.Base, c.Epoch = cur.Epoch, cur.Epoch+1
	if _, err := f.shardMap.Apply([]shardmap.Change{c}, nil); err != nil {
		return false
	}
	f.changeCount++
	v := f.shardMap.Current()
	if f.mapHistory = append(f.mapHistory, timedVersion{s.now, v}); len(f.mapHistory) > maxMapHistory {
		f.mapHistory = slices.Delete(f.mapHistory, 0, len(f.mapHistory)-maxMapHistory/2)
	}
	if f.changeLog = append(f.changeLog, c); len(f.changeLog) > maxChangeLog {
		f.changeLog = slices.Delete(f.changeLog, 0, len(f.changeLog)-maxChangeLog/2)
	}
	for _, n := range f.backends {
		gen := n.gen
		s.schedule(s.now+s.e.Updates.BackendDelay.Draw(s.networkRand), func() {
			if gen == n.gen {
				n.UpdateMap(v)
			}
		})
	}
	watchers := f.watchers
	f.watchers = nil
	for _, w := range watchers {
		w()
	}
	return true
}

// catalogueAnswer is an answer of the catalogue: a snapshot or changes.
type catalogueAnswer struct {
	version   *shardmap.Version // nil if it holds changes
	retired   []shardmap.RetiredShard
	changes   []shardmap.Change
	epoch     uint64
	malformed bool // the broker must reject it
}

// poll answers a call to the catalogue. It calls deliver with the answer, twice if the answer is duplicated, or
// fail if the call fails.
func (f *fleet) poll(call shardmap.PollRequest, fail func(), deliver func(catalogueAnswer)) {
	s := f.world
	if s.networkRand.Float64() < s.e.Updates.LostShare { // the answer is lost
		s.schedule(s.now+call.TimeoutMs, fail)
		return
	}
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		if f.isCatalogueDown() {
			s.schedule(s.now+s.networkDelay(), fail)
			return
		}
		response := f.currentAnswer(call)
		s.schedule(s.now+s.e.Updates.CatalogueDelay.Draw(s.networkRand), func() { deliver(response) })
		if s.networkRand.Float64() < s.e.Updates.DuplicateShare { // a duplicate arrives later and out of order
			s.schedule(s.now+500+s.e.Updates.CatalogueDelay.Draw(s.networkRand), func() { deliver(response) })
		}
	}
	s.schedule(s.now+s.networkDelay(), func() {
		if f.isCatalogueDown() || call.FullSnapshot || call.WaitMs == 0 || f.shardMap.Current().Epoch > call.SinceEpoch {
			answer()
			return
		}
		f.watchers = append(f.watchers, answer)
		s.schedule(s.now+call.WaitMs, answer)
		for _, o := range s.e.Updates.Outages { // watches end when the catalogue goes down
			if at := clockStartMs + o.At; at > s.now && at < s.now+call.WaitMs {
				s.schedule(at, answer)
			}
		}
	})
}

// isCatalogueDown reports whether the catalogue is in an outage.
func (f *fleet) isCatalogueDown() bool {
	for _, o := range f.world.e.Updates.Outages {
		if at := f.world.now - clockStartMs; at >= o.At && at < o.At+o.For {
			return true
		}
	}
	return false
}

// currentAnswer returns the answer to a call at this moment. A share of the answers is malformed.
func (f *fleet) currentAnswer(call shardmap.PollRequest) catalogueAnswer {
	s := f.world
	cur := f.shardMap.Current()
	a := catalogueAnswer{epoch: cur.Epoch, malformed: s.networkRand.Float64() < s.e.Updates.MalformedShare}
	i := slices.IndexFunc(f.changeLog, func(x shardmap.Change) bool { return x.Base == call.SinceEpoch })
	if call.FullSnapshot || i < 0 && cur.Epoch != call.SinceEpoch {
		a.version, a.retired = cur, f.shardMap.Retired(maxRetiredShards)
		return a
	}
	if i >= 0 {
		if s.networkRand.Float64() < s.e.Updates.DuplicateShare {
			i = max(0, i-2) // includes changes that the caller already has
		}
		a.changes = slices.Clone(f.changeLog[i:])
	}
	if n := len(a.changes); n > 0 && a.malformed {
		a.changes[n-1].Base++ // the base epoch does not match
	}
	return a
}

// snapshot returns the snapshot of an answer. A malformed one lacks its first shard.
func (a catalogueAnswer) snapshot() shardmap.Snapshot {
	w := snapshotOf(a.version, a.retired)
	if a.malformed {
		w.Shards = w.Shards[1:]
	}
	return w
}

// retiredAsOf returns the shards that were already retired in a version.
func (f *fleet) retiredAsOf(v *shardmap.Version) (out []shardmap.RetiredShard) {
	highest := 0
	v.All(func(x *shardmap.Shard) bool { highest = max(highest, x.ID); return true })
	for _, r := range f.shardMap.Retired(maxRetiredShards) {
		if r.ID < highest && v.Shard(r.ID) == nil {
			out = append(out, r)
		}
	}
	return out
}

// snapshotOf returns a snapshot of a version. It copies the shards, as a map takes ownership of those it is given.
func snapshotOf(v *shardmap.Version, retired []shardmap.RetiredShard) shardmap.Snapshot {
	w := shardmap.Snapshot{Epoch: v.Epoch, Buckets: v.Buckets, Retired: retired,
		Shards: make([]*shardmap.Shard, 0, v.Len())}
	v.All(func(s *shardmap.Shard) bool {
		x := *s
		w.Shards = append(w.Shards, &x)
		return true
	})
	return w
}

// applyRandomChange splits, merges or moves a random shard and schedules the next change.
func (f *fleet) applyRandomChange() {
	s := f.world
	if s.now >= s.endMs {
		return
	}
	s.schedule(s.now+s.e.Changes.Interval*(0.5+f.changeRand.Float64()), f.applyRandomChange)
	c := s.e.Changes
	for range 8 {
		v := f.shardMap.Current()
		at := v.ShardAt(f.changeRand.IntN(v.Buckets))
		switch x := f.changeRand.Float64() * (c.Split + c.Merge + c.Move); {
		case x < c.Split:
			if at.Size() >= 2 && f.applyChange(shardmap.Change{Kind: shardmap.Split, Shard: at.ID,
				At: at.Start + 1 + f.changeRand.IntN(at.Size()-1), Into: []shardmap.ShardID{f.nextShard, f.nextShard + 1}}) {
				f.nextShard += 2
				return
			}
		case x < c.Split+c.Merge:
			for range 50 { // adjacent shards with the same replicas are rare
				if o := v.ShardAt(at.End); o != nil && f.applyChange(shardmap.Change{Kind: shardmap.Merge,
					Shard: at.ID, Other: o.ID, Into: []shardmap.ShardID{f.nextShard}}) {
					f.nextShard++
					return
				}
				at = v.ShardAt(f.changeRand.IntN(v.Buckets))
			}
		default:
			if f.startRandomMove(at) {
				return
			}
		}
	}
}

// startRandomMove starts to move a shard to a random backend, unless the pacer allows that backend no handover now.
func (f *fleet) startRandomMove(at *shardmap.Shard) bool {
	s := f.world
	to := f.backends[f.changeRand.IntN(len(f.backends))]
	from := at.Replicas[f.changeRand.IntN(len(at.Replicas))]
	heldBuckets, meanBuckets := 0, f.shardMap.Current().Buckets*s.e.ReplicasPerShard/len(f.backends)
	if to.IsWarmingUp(s.now) {
		f.shardMap.Current().All(func(x *shardmap.Shard) bool {
			if x.Executes(to.ID) {
				heldBuckets += x.Size()
			}
			return true
		})
	}
	if to.state != scheduler.Ready || !f.movePacer.MayHandOver(s.now, shardmap.HandoverTarget{StartedAtMs: to.Started,
		Buckets: heldBuckets, HandoversInProgress: to.incomingMoves}, at.Size(), meanBuckets) {
		return false
	}
	abort := f.changeRand.Float64() < s.e.Changes.AbortShare
	return f.moveShard(at, from, to, s.e.Changes.CopyTime.Draw(f.changeRand), s.e.Changes.HandoverTime.Draw(f.changeRand),
		abort, abort && f.changeRand.IntN(2) == 0)
}

// moveShard moves a shard. After copyMs the handover begins, and after another handoverMs the move is done or,
// with abort, undone; with abortEarly it is undone before the handover. If the destination stops before the
// end, the shard stays with its source.
func (f *fleet) moveShard(at *shardmap.Shard, from string, to *backend, copyMs, handoverMs float64,
	abort, abortEarly bool) bool {
	s := f.world
	if !f.applyChange(shardmap.Change{Kind: shardmap.Move, Shard: at.ID, From: from, To: to.ID}) {
		return false
	}
	to.incomingMoves++
	r, gen := at.Range, to.gen // a restarted process has lost its copy
	s.schedule(s.now+copyMs, func() {
		if abortEarly || to.gen != gen || to.state == scheduler.Removed {
			f.applyToMoving(r, from, to.ID, shardmap.Abort)
			to.incomingMoves--
			return
		}
		f.applyToMoving(r, from, to.ID, shardmap.Handover)
		s.schedule(s.now+handoverMs, func() {
			kind := shardmap.Done
			if abort || to.gen != gen || to.state == scheduler.Removed {
				kind = shardmap.Abort
			}
			f.applyToMoving(r, from, to.ID, kind)
			to.incomingMoves--
		})
	})
	return true
}

// applyToMoving applies a change to every shard of a range that is moving between two backends. There may be
// several, as a moving shard can be split.
func (f *fleet) applyToMoving(r shardmap.Range, from, to string, kind shardmap.Kind) {
	v := f.shardMap.Current()
	for at := r.Start; at < r.End; {
		x := v.ShardAt(at)
		if x.From == from && x.To == to {
			f.applyChange(shardmap.Change{Kind: kind, Shard: x.ID})
		}
		at = x.End
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

// responder receives a backend's answer to a part.
type responder interface{ respond(end model.Outcome) }

// receive takes a part that has reached the backend.
func (n *backend) receive(j *model.Job) {
	s := n.world
	s.check.AttemptArrived(j.RequestID, j.Buckets)
	warmingUp := ""
	if n.IsWarmingUp(s.now) && n.Fault != model.Draining {
		warmingUp = n.ID
	}
	wasOverloaded := n.Overloaded
	end, done := n.Arrive(s.now, j)
	if q := s.queries[j.RequestID]; q != nil && q.broker != nil {
		s.ledger.PartSent(q.broker.number())
		if warmingUp != "" {
			s.ledger.WorkSent(warmingUp, q.broker.number(), j.Work)
		}
		if end == model.Rejected {
			s.ledger.PartRejected(q.broker.number(), warmingUp)
		}
	}
	switch {
	case n.Overloaded && !wasOverloaded:
		s.check.BackendOverloaded(n.ID, n.IsWarmingUp(s.now))
		s.fleet.stopBackend(n)
	case end == model.NoOutcome && done > 0:
		n.partStarted(j, done)
	case end != model.NoOutcome:
		j.Context.(responder).respond(end)
	}
}

// measureLoad measures the load report at intervals. In between, answers carry the last report.
func (n *backend) measureLoad() {
	s := n.world
	n.loadReport = fmt.Sprintf("inflight=%d,latency_ms=%.1f,queue=%d", n.PartCount(), n.smoothedServiceMs,
		n.QueueLength())
	s.schedule(s.now+s.e.Backend.ReportInterval.Draw(s.fleet.loadReportRand), n.measureLoad)
}

// partStarted records that a part runs from now and schedules its end at done.
func (n *backend) partStarted(j *model.Job, done float64) {
	n.smoothedServiceMs += (done - n.world.now - n.smoothedServiceMs) / 8
	n.world.check.PartStarted(n.ID, j.RequestID, j.Buckets, j.NonIdempotent, n.heldBuckets(j))
	n.scheduleFinish(j, done, n.gen)
}

// scheduleFinish schedules the end of a part for the time at, or for the end of a stall if the backend is stalled at
// that time. The part does not finish if the process ends first.
func (n *backend) scheduleFinish(j *model.Job, at float64, gen int) {
	s := n.world
	s.schedule(at, func() {
		switch {
		case gen != n.gen:
		case n.stalledUntil > s.now:
			n.scheduleFinish(j, n.stalledUntil, gen)
		default:
			n.finishPart(j)
		}
	})
}

// finishPart answers a part that has run, and those queued parts whose shard has moved, and starts the next one.
func (n *backend) finishPart(j *model.Job) {
	end, moved, next, nextDone := n.Finish(n.world.now, j)
	for _, m := range moved {
		m.Context.(responder).respond(model.NotHolder)
	}
	if end != model.NoOutcome {
		j.Context.(responder).respond(end)
	}
	if next != nil {
		n.partStarted(next, nextDone)
	}
}

// pauseRepeatedly stalls the backend at intervals, as pauses of its runtime would.
func (n *backend) pauseRepeatedly() {
	s := n.world
	if s.now >= s.endMs {
		return
	}
	n.stalledUntil = max(n.stalledUntil, s.now+s.e.Backend.Pause.Draw(s.faultRand))
	s.schedule(s.now+s.e.Backend.PauseInterval.Draw(s.faultRand), n.pauseRepeatedly)
}

// canReach reports whether messages get from one zone to another.
func (f *fleet) canReach(a, b int) bool {
	return f.cutZone < 0 || a == b || a != f.cutZone && b != f.cutZone
}

// heldBuckets reports whether the backend held a part's buckets at the epoch at which it accepted the part, by
// the catalogue's map rather than the backend's own.
func (n *backend) heldBuckets(j *model.Job) bool {
	s := n.world
	if s.e.Arm != exp.Follow && !s.Fault.Unfenced {
		return true // parts carry no epoch, and backends reject buckets that they do not hold
	}
	i := slices.IndexFunc(s.fleet.mapHistory, func(p timedVersion) bool { return p.version.Epoch == j.MapEpoch })
	if i < 0 {
		return true // the version is no longer kept
	}
	for at := j.Buckets.Start; at < j.Buckets.End; {
		x := s.fleet.mapHistory[i].version.ShardAt(at)
		if !x.Executes(n.ID) {
			return false
		}
		at = x.End
	}
	return true
}

// stopBackend ends a backend's process and resets its connections.
func (f *fleet) stopBackend(n *backend) {
	s := f.world
	for _, j := range n.Kill() {
		j.Done = true
	}
	n.gen++
	if n.listeners != nil {
		n.listeners.close()
	}
	for _, b := range s.brokers {
		b.backendStopped(n)
	}
	f.publish(n, scheduler.Removed)
}

// restartBackend starts a backend's process again; it has to warm up.
func (f *fleet) restartBackend(n *backend) {
	n.gen++
	n.Restart(f.world.now, f.shardMap.Current())
	if n.listeners != nil {
		n.listeners.listen()
	}
	f.publish(n, scheduler.Ready)
}

// injectRandomFault injects a fault drawn at random and schedules the next one. While many backends have a
// fault no further backend gets one, so that most shards keep a working replica.
func (f *fleet) injectRandomFault() {
	s := f.world
	if s.now >= s.endMs {
		return
	}
	s.schedule(s.now+s.e.Faults.Interval*(0.5+s.faultRand.Float64()), f.injectRandomFault)
	kind := s.e.Faults.Kinds[s.faultRand.IntN(len(s.e.Faults.Kinds))]
	target := s.faultRand.IntN(len(f.backends))
	switch kind {
	case "broker", "silent", "link_cut":
		target = s.faultRand.IntN(len(s.brokers))
	case "zone_cut":
		target = s.faultRand.IntN(s.e.Zones)
	}
	f.injectFault(kind, target, s.e.Faults.For.Draw(s.faultRand), false)
}

// injectFault injects a fault into a backend, a zone or a broker. A random fault is skipped when too much has
// failed already; a scripted fault is skipped only if its target cannot have it now.
func (f *fleet) injectFault(kind string, target int, durationMs float64, scripted bool) {
	switch kind {
	case "broker":
		f.crashBroker(target, durationMs, scripted)
	case "silent":
		f.silenceAgent(target, durationMs)
	case "link_cut":
		f.cutLinks(target, durationMs)
	case "zone_cut":
		f.isolateZone(target, durationMs)
	default:
		f.injectBackendFault(kind, f.backends[target], durationMs, scripted)
	}
}

// crashBroker kills a broker and starts it again after at most 2 s. A random crash needs all brokers up, and
// at least two of them.
func (f *fleet) crashBroker(target int, durationMs float64, scripted bool) {
	s := f.world
	b := s.brokers[target]
	if !b.isUp() || !scripted && (len(s.brokers) < 2 ||
		slices.ContainsFunc(s.brokers, func(x broker) bool { return !x.isUp() })) {
		return
	}
	b.kill()
	cached := f.versionAt(s.now - 4000) // the shard map that it restarts with is 4 s old
	s.schedule(s.now+min(durationMs, 2000), func() { b.start(cached) })
}

// silenceAgent stops a broker's discovery agent from responding.
func (f *fleet) silenceAgent(target int, durationMs float64) {
	s := f.world
	// The checker assumes that the broker knows each update that its agent has, so the broker needs time to read it.
	if s.e.PushEndpoints && s.now < f.agentUpdatedAt[target]+agentReadMs {
		s.schedule(f.agentUpdatedAt[target]+agentReadMs, func() { f.silenceAgent(target, durationMs) })
	} else if s.e.PushEndpoints {
		f.agentSilentUntil[target] = max(f.agentSilentUntil[target], s.now+durationMs)
	}
}

// cutLinks cuts a broker's links to all backends.
func (f *fleet) cutLinks(target int, durationMs float64) {
	s := f.world
	f.linksCutUntil[target] = max(f.linksCutUntil[target], s.now+durationMs)
	s.brokers[target].linksChanged()
	s.schedule(s.now+durationMs, func() {
		if s.now >= f.linksCutUntil[target] {
			s.brokers[target].linksChanged()
		}
	})
}

// isolateZone cuts a zone off from the others. It does nothing while another zone is cut off.
func (f *fleet) isolateZone(target int, durationMs float64) {
	s := f.world
	if f.cutZone >= 0 || s.e.Zones < 2 {
		return
	}
	f.cutZone = target
	s.schedule(s.now+durationMs, func() {
		f.cutZone = -1
		for _, n := range f.backends {
			if n.listeners != nil && n.state != scheduler.Removed {
				n.listeners.resetLost()
			}
		}
	})
}

// faultyBackends counts the backends that have a fault.
func (f *fleet) faultyBackends() int {
	faulty := 0
	for _, n := range f.backends {
		if n.hasFault {
			faulty++
		}
	}
	return faulty
}

// injectBackendFault injects a fault into a backend that has none and has not failed under overload. A random
// fault also spares backends that are warming up, and all backends while more than a sixth of them, and more
// than one, have a fault.
func (f *fleet) injectBackendFault(kind string, n *backend, durationMs float64, scripted bool) {
	s := f.world
	if n.hasFault || n.Overloaded ||
		!scripted && (n.IsWarmingUp(s.now) || f.faultyBackends() > max(1, len(f.backends)/6)) {
		return
	}
	n.hasFault = true
	switch kind {
	case "stand":
		n.stallUntil(s.now + durationMs)
	case "vanish":
		n.Fault = model.Hang // it no longer responds, and the endpoint list still has it as ready
		s.schedule(s.now+durationMs, func() { f.stopBackend(n); f.restartBackend(n); n.hasFault = false })
	case "down":
		f.stopBackend(n)
		s.schedule(s.now+durationMs, func() { f.restartBackend(n); n.hasFault = false })
	case "drain":
		f.publish(n, scheduler.Draining)
		wait := s.e.Updates.EndpointListDelay[1] + 1200
		s.schedule(s.now+wait, func() { n.Fault = model.Draining })
		s.schedule(s.now+wait+1500, func() { f.stopBackend(n) })
		s.schedule(s.now+wait+1500+durationMs, func() { f.restartBackend(n); n.hasFault = false })
	default:
		n.Fault = map[string]model.Fault{"hang": model.Hang, "slow": model.Slow, "fail": model.Fail}[kind]
		s.schedule(s.now+durationMs, n.clearFault)
	}
}

// stallUntil stalls the backend every 1 to 3 s, for 200 to 500 ms each time, until the time until.
func (n *backend) stallUntil(until float64) {
	s := n.world
	if s.now >= until {
		n.hasFault = false
		return
	}
	n.stalledUntil = max(n.stalledUntil, s.now+200+300*s.faultRand.Float64())
	s.schedule(s.now+1000+2000*s.faultRand.Float64(), func() { n.stallUntil(until) })
}

// clearFault ends the fault of the backend. A process that has ended stays down.
func (n *backend) clearFault() {
	n.hasFault = false
	if n.Fault != model.Down {
		n.Fault = model.Healthy
	}
}
