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
	maxMapHistory    = 512  // of the truth, by which the client's old ideas and nodes are judged
	maxRetiredShards = 1024 // that a whole map tells
	maxChangeLog     = 4096 // that a watch may resume over; further back the whole map is told
)

// node is a node of the fleet.
type backend struct {
	*model.Node
	world             *World
	index             int
	number            uint32
	state             scheduler.ReplicaState
	gen               int // of its process
	incomingMoves     int
	hasFault          bool // in trouble
	zone              int
	stalledUntil      float64     // until when it stands still
	smoothedServiceMs float64     // ms that parts took of late, without waiting
	loadReport        string      // of its load, as last measured; "" for none
	listeners         listenerSet // live: its sockets
}

// wire is a live node's listener and connections.
type listenerSet interface {
	close() // they end, as with their process
	listen()
	resetLost() // the way from other zones is there again
}

// listNews is one line of news of the list.
type endpointEvent struct {
	backend *backend
	state   scheduler.ReplicaState
	started float64
}

// stamped is a version of the truth and when it began.
type timedVersion struct {
	since   float64
	version *shardmap.Version
}

// fleet is the nodes, the list of them, and the catalogue with the true map.
type fleet struct {
	world            *World
	backends         []*backend
	byName           map[string]uint32
	endpointEvents   []endpointEvent
	shardMap         *shardmap.Map
	mapHistory       []timedVersion
	changeLog        []shardmap.Change
	watchers         []func() // watches that wait for news
	nextShard        shardmap.ShardID
	changeCount      int
	movePacer        shardmap.HandoverPacer
	cutZone          int        // the zone that is cut off from the others, -1 for none
	agentSilentUntil []float64  // by broker: until when its agent is silent
	agentUpdatedAt   []float64  // by broker: when its agent last got news
	linksCutUntil    []float64  // by broker: until when its links to all nodes are cut
	loadReportRand   *rand.Rand // of when nodes measure their load, so that days with and without it are the same
	changeRand       *rand.Rand // of changes, so that days with and without them have the same troubles
}

func newFleet(s *World, seed uint64) *fleet {
	f := &fleet{world: s, byName: map[string]uint32{},
		shardMap: shardmap.New(shardmap.Options{MaxRetired: s.e.History}), nextShard: s.e.Slices,
		changeRand: rand.New(rand.NewPCG(seed, 4)), loadReportRand: rand.New(rand.NewPCG(seed, 5)),
		cutZone: -1, agentSilentUntil: make([]float64, s.e.Brokers),
		linksCutUntil: make([]float64, s.e.Brokers), agentUpdatedAt: make([]float64, s.e.Brokers),
		movePacer: shardmap.HandoverPacer{MaxConcurrent: 2, InitialCapacity: s.e.Node.ColdFrom, WarmupMs: s.e.Node.Warm}}
	if _, err := f.shardMap.Reset(s.e.Map()); err != nil {
		panic(err) // the experiment's own first map
	}
	f.mapHistory = []timedVersion{{0, f.shardMap.Current()}}
	for i := range s.e.Nodes {
		id := exp.NodeID(i)
		f.byName[id] = uint32(i + 1)
		f.backends = append(f.backends, &backend{world: s, index: i, number: uint32(i + 1), zone: s.e.ZoneOf(i),
			state: scheduler.Ready,
			Node:  model.New(id, s.e.NodeOptions(), f.shardMap.Current(), seed*1009+uint64(i))})
	}
	return f
}

func (f *fleet) scheduleEvents() {
	s := f.world
	if s.e.Changes.Every > 0 {
		s.schedule(s.now+2000, f.applyRandomChange)
	}
	if s.e.Troubles.Every > 0 && len(s.e.Troubles.Kinds) > 0 {
		s.schedule(s.now+3000, f.injectRandomFault)
	}
	s.schedule(s.now+ledgerStepMs, f.recordSlowStartAllowance)
	for _, v := range s.e.Script {
		s.schedule(s.now+v.At, func() { f.injectFault(v.Kind, v.On, v.For, true) })
	}
	if s.e.Node.ReportEvery[1] > 0 {
		for _, n := range f.backends {
			n.measureLoad()
		}
	}
	if s.e.Node.Pause[1] > 0 {
		for _, n := range f.backends {
			s.schedule(s.now+s.e.Node.PauseEvery[1]*s.faultRand.Float64(), n.pauseRepeatedly)
		}
	}
}

// seen is the map as it could be read from the catalogue at a time: while that is down, as it was before.
func (f *fleet) versionAt(at float64) *shardmap.Version {
	for _, o := range f.world.e.News.Outages {
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

// apply makes a change of the truth and tells those who are to know. It tells whether the change can be.
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
		s.schedule(s.now+s.e.News.Node.Draw(s.networkRand), func() {
			if gen == n.gen {
				n.Learn(v)
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

// told is what the catalogue answers: a whole map, or changes.
type catalogueAnswer struct {
	version   *shardmap.Version // nil for changes
	retired   []shardmap.RetiredShard
	changes   []shardmap.Change
	epoch     uint64
	malformed bool // the broker must refuse it
}

// asked is a call to the catalogue. deliver may come twice, or never; fail tells that the call came to
// nothing.
func (f *fleet) poll(call shardmap.PollRequest, fail func(), deliver func(catalogueAnswer)) {
	s := f.world
	if s.networkRand.Float64() < s.e.News.Lost { // nothing ever comes
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
		s.schedule(s.now+s.e.News.Catalogue.Draw(s.networkRand), func() { deliver(response) })
		if s.networkRand.Float64() < s.e.News.Twice { // a copy of it comes later, out of its order
			s.schedule(s.now+500+s.e.News.Catalogue.Draw(s.networkRand), func() { deliver(response) })
		}
	}
	s.schedule(s.now+s.networkDelay(), func() {
		if f.isCatalogueDown() || call.FullSnapshot || call.WaitMs == 0 || f.shardMap.Current().Epoch > call.SinceEpoch {
			answer()
			return
		}
		f.watchers = append(f.watchers, answer)
		s.schedule(s.now+call.WaitMs, answer)
		for _, o := range s.e.News.Outages { // watches end when the catalogue goes down
			if at := clockStartMs + o.At; at > s.now && at < s.now+call.WaitMs {
				s.schedule(at, answer)
			}
		}
	})
}

// out tells that the catalogue is down.
func (f *fleet) isCatalogueDown() bool {
	for _, o := range f.world.e.News.Outages {
		if at := f.world.now - clockStartMs; at >= o.At && at < o.At+o.For {
			return true
		}
	}
	return false
}

// answer is what the catalogue says at this moment. Now and then it is spoilt: the broker must refuse it.
func (f *fleet) currentAnswer(call shardmap.PollRequest) catalogueAnswer {
	s := f.world
	cur := f.shardMap.Current()
	a := catalogueAnswer{epoch: cur.Epoch, malformed: s.networkRand.Float64() < s.e.News.Spoilt}
	i := slices.IndexFunc(f.changeLog, func(x shardmap.Change) bool { return x.Base == call.SinceEpoch })
	if call.FullSnapshot || i < 0 && cur.Epoch != call.SinceEpoch {
		a.version, a.retired = cur, f.shardMap.Retired(maxRetiredShards)
		return a
	}
	if i >= 0 {
		if s.networkRand.Float64() < s.e.News.Twice {
			i = max(0, i-2) // what is known already comes along
		}
		a.changes = slices.Clone(f.changeLog[i:])
	}
	if n := len(a.changes); n > 0 && a.malformed {
		a.changes[n-1].Base++ // onto a base that it has not
	}
	return a
}

// whole is a whole map as it is told.
func (a catalogueAnswer) snapshot() shardmap.Snapshot {
	w := snapshotOf(a.version, a.retired)
	if a.malformed {
		w.Shards = w.Shards[1:] // a hole
	}
	return w
}

// retiredBefore is what was retired when a version was in use, as who kept that knows it.
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

// wholeOf is a version as it is told whole. Slices are copied: a map takes over what it is given.
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

// change makes a change at random.
func (f *fleet) applyRandomChange() {
	s := f.world
	if s.now >= s.endMs {
		return
	}
	s.schedule(s.now+s.e.Changes.Every*(0.5+f.changeRand.Float64()), f.applyRandomChange)
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
			for range 50 { // neighbours with the same holders are rare
				if o := v.ShardAt(at.End); o != nil && f.applyChange(shardmap.Change{Kind: shardmap.Merge, Shard: at.ID, Other: o.ID,
					Into: []shardmap.ShardID{f.nextShard}}) {
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

// move begins to move a slice onto another node, at the pace that this can bear.
func (f *fleet) startRandomMove(at *shardmap.Shard) bool {
	s := f.world
	to := f.backends[f.changeRand.IntN(len(f.backends))]
	from := at.Replicas[f.changeRand.IntN(len(at.Replicas))]
	heldBuckets, meanBuckets := 0, f.shardMap.Current().Buckets*s.e.Reach/len(f.backends)
	if to.Cold(s.now) {
		f.shardMap.Current().All(func(x *shardmap.Shard) bool {
			if x.Executes(to.ID) {
				heldBuckets += x.Size()
			}
			return true
		})
	}
	if to.state != scheduler.Ready || !f.movePacer.MayHandOver(s.now,
		shardmap.HandoverTarget{StartedAtMs: to.Started, Buckets: heldBuckets, HandoversInProgress: to.incomingMoves}, at.Size(), meanBuckets) {
		return false
	}
	abort := f.changeRand.Float64() < s.e.Changes.Abort
	return f.moveShard(at, from, to, s.e.Changes.Copy.Draw(f.changeRand), s.e.Changes.Handover.Draw(f.changeRand), abort,
		abort && f.changeRand.IntN(2) == 0)
}

// moveTo moves a slice: it is copied for so many ms, then handed over, and after so many more the move is
// done, or is aborted, early before the handover. If the destination dies before the end, it goes back to the
// source.
func (f *fleet) moveShard(at *shardmap.Shard, from string, to *backend, copyMs, handoverMs float64,
	abort, abortEarly bool) bool {
	s := f.world
	if !f.applyChange(shardmap.Change{Kind: shardmap.Move, Shard: at.ID, From: from, To: to.ID}) {
		return false
	}
	to.incomingMoves++
	r, gen := at.Range, to.gen // a process that has started anew has no copy
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

// each makes a change of the slices that hold districts and are being moved so: a split may have come
// between.
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

// tell puts news of a node on the list; each broker hears of it late.
func (f *fleet) publish(n *backend, state scheduler.ReplicaState) {
	s := f.world
	n.state = state
	f.endpointEvents = append(f.endpointEvents, endpointEvent{n, state, n.Started})
	upTo := len(f.endpointEvents)
	for _, b := range s.brokers {
		gen := b.generation()
		s.schedule(s.now+s.e.News.List.Draw(s.networkRand), func() {
			if gen == b.generation() {
				b.notify(upTo)
			}
		})
	}
}

// readable is the time, in ms, in which a broker has read what its agent got: it reads every 100.
const agentReadMs = 150.0

// ledgerStep is how often what cold nodes were sent is counted up, in ms.
const ledgerStepMs = 100.0

// account counts what cold nodes might have been sent since the last time: so much of what they can do now
// as a node stands without falling.
func (f *fleet) recordSlowStartAllowance() {
	s := f.world
	for _, n := range f.backends {
		if n.Cold(s.now) && !n.Fallen && n.Trouble != model.Down && n.Trouble != model.Drain {
			s.ledger.May(n.ID, s.e.Node.FallMultiple*n.Capacity(s.now)*ledgerStepMs)
		}
	}
	if s.ledger.Step(s.now-ledgerStepMs-clockStartMs, ledgerStepMs); s.now < s.endMs {
		s.schedule(s.now+ledgerStepMs, f.recordSlowStartAllowance)
	}
}

// answerer is where a node's answer to a part goes.
type responder interface{ respond(end model.End) }

// arrive takes a part that has reached the node.
func (n *backend) receive(j *model.Job) {
	s := n.world
	s.check.Came(j.Query, j.Districts)
	warmingUp := ""
	if n.Cold(s.now) && n.Trouble != model.Drain {
		warmingUp = n.ID
	}
	wasFallen := n.Fallen
	end, done := n.Arrive(s.now, j)
	if q := s.queries[j.Query]; q != nil && q.broker != nil {
		s.ledger.Sent(q.broker.number())
		if warmingUp != "" {
			s.ledger.Cold(warmingUp, q.broker.number(), j.Work)
		}
		if end == model.Busy {
			s.ledger.Busy(q.broker.number(), warmingUp)
		}
	}
	switch {
	case n.Fallen && !wasFallen:
		s.check.Fell(n.ID, n.Cold(s.now))
		s.fleet.stopBackend(n)
	case end == model.None && done > 0:
		n.partStarted(j, done)
	case end != model.None:
		j.Context.(responder).respond(end)
	}
}

// measure takes the load that the node tells with its answers, until the next time: it is old by then.
func (n *backend) measureLoad() {
	s := n.world
	n.loadReport = fmt.Sprintf("inflight=%d,latency_ms=%.1f,queue=%d", n.Out(), n.smoothedServiceMs, n.Waiting())
	s.schedule(s.now+s.e.Node.ReportEvery.Draw(s.fleet.loadReportRand), n.measureLoad)
}

// begun notes that a node has begun a part that ends at done.
func (n *backend) partStarted(j *model.Job, done float64) {
	n.smoothedServiceMs += (done - n.world.now - n.smoothedServiceMs) / 8
	n.world.check.Ran(n.ID, j.Query, j.Districts, j.Once, n.heldBuckets(j))
	n.scheduleFinish(j, done, n.gen)
}

// ends has a part end at a time, or when the node goes on if it stands still then; never if its process ends.
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

// end ends a part; of those that wait the next one begins.
func (n *backend) finishPart(j *model.Job) {
	end, moved, next, nextDone := n.Finish(n.world.now, j)
	for _, m := range moved {
		m.Context.(responder).respond(model.Moved)
	}
	if end != model.None {
		j.Context.(responder).respond(end)
	}
	if next != nil {
		n.partStarted(next, nextDone)
	}
}

// pauses lets a node stand still by itself, again and again.
func (n *backend) pauseRepeatedly() {
	s := n.world
	if s.now >= s.endMs {
		return
	}
	n.stalledUntil = max(n.stalledUntil, s.now+s.e.Node.Pause.Draw(s.faultRand))
	s.schedule(s.now+s.e.Node.PauseEvery.Draw(s.faultRand), n.pauseRepeatedly)
}

// reach tells whether anything gets from one zone to another.
func (f *fleet) canReach(a, b int) bool {
	return f.cutZone < 0 || a == b || a != f.cutZone && b != f.cutZone
}

// truly tells whether the node held a part's districts at its epoch, by the truth and not by its own word.
func (n *backend) heldBuckets(j *model.Job) bool {
	s := n.world
	if s.e.Arm != exp.Follow && !s.Fault.Unfenced {
		return true // nothing is fenced, and nodes turn away what they do not hold
	}
	i := slices.IndexFunc(s.fleet.mapHistory, func(p timedVersion) bool { return p.version.Epoch == j.View })
	if i < 0 {
		return true // too long ago to be judged
	}
	for at := j.Districts.Start; at < j.Districts.End; {
		x := s.fleet.mapHistory[i].version.ShardAt(at)
		if !x.Executes(n.ID) {
			return false
		}
		at = x.End
	}
	return true
}

// die ends a node's process: its connections are reset.
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

// back starts a node's process anew, cold.
func (f *fleet) restartBackend(n *backend) {
	n.gen++
	n.Restart(f.world.now, f.shardMap.Current())
	if n.listeners != nil {
		n.listeners.listen()
	}
	f.publish(n, scheduler.Ready)
}

// trouble lets something go wrong. As long as a part of the fleet is in trouble the rest is left alone, so
// that most slices keep a sound holder.
func (f *fleet) injectRandomFault() {
	s := f.world
	if s.now >= s.endMs {
		return
	}
	s.schedule(s.now+s.e.Troubles.Every*(0.5+s.faultRand.Float64()), f.injectRandomFault)
	kind := s.e.Troubles.Kinds[s.faultRand.IntN(len(s.e.Troubles.Kinds))]
	target := s.faultRand.IntN(len(f.backends))
	switch kind {
	case "broker", "silent", "link_cut":
		target = s.faultRand.IntN(len(s.brokers))
	case "zone_cut":
		target = s.faultRand.IntN(s.e.Zones)
	}
	f.injectFault(kind, target, s.e.Troubles.For.Draw(s.faultRand), false)
}

// strike lets something go wrong at a node, a zone or a broker: what is drawn only if little is wrong
// already, what is scripted whatever else is, unless it is wrong there.
func (f *fleet) injectFault(kind string, target int, durationMs float64, scripted bool) {
	s := f.world
	switch kind {
	case "broker":
		b := s.brokers[target]
		if !b.isUp() || !scripted && (len(s.brokers) < 2 ||
			slices.ContainsFunc(s.brokers, func(x broker) bool { return !x.isUp() })) {
			return
		}
		b.kill()
		old := f.versionAt(s.now - 4000) // it comes back with a map that it kept
		s.schedule(s.now+min(durationMs, 2000), func() { b.start(old) })
		return
	case "silent":
		// What an agent got a moment before would count as told and could be read by nobody.
		if s.e.Pushed && s.now < f.agentUpdatedAt[target]+agentReadMs {
			s.schedule(f.agentUpdatedAt[target]+agentReadMs, func() { f.injectFault(kind, target, durationMs, scripted) })
		} else if s.e.Pushed {
			f.agentSilentUntil[target] = max(f.agentSilentUntil[target], s.now+durationMs)
		}
		return
	case "link_cut":
		f.linksCutUntil[target] = max(f.linksCutUntil[target], s.now+durationMs)
		s.brokers[target].linksChanged(true)
		s.schedule(s.now+durationMs, func() {
			if s.now >= f.linksCutUntil[target] {
				s.brokers[target].linksChanged(false)
			}
		})
		return
	case "zone_cut":
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
		return
	}
	n, faulty := f.backends[target], 0
	for _, x := range f.backends {
		if x.hasFault {
			faulty++
		}
	}
	if n.hasFault || n.Fallen || !scripted && (n.Cold(s.now) || faulty > max(1, len(f.backends)/6)) {
		return
	}
	n.hasFault = true
	repair := func() {
		n.hasFault = false
		if n.Trouble != model.Down {
			n.Trouble = model.Sound
		}
	}
	switch kind {
	case "stand":
		until := s.now + durationMs
		var stallAgain func()
		stallAgain = func() {
			if s.now >= until {
				n.hasFault = false
				return
			}
			n.stalledUntil = max(n.stalledUntil, s.now+200+300*s.faultRand.Float64())
			s.schedule(s.now+1000+2000*s.faultRand.Float64(), stallAgain)
		}
		stallAgain()
	case "vanish":
		n.Trouble = model.Hang // it says nothing, and nobody knows
		s.schedule(s.now+durationMs, func() { f.stopBackend(n); f.restartBackend(n); n.hasFault = false })
	case "down":
		f.stopBackend(n)
		s.schedule(s.now+durationMs, func() { f.restartBackend(n); n.hasFault = false })
	case "drain":
		f.publish(n, scheduler.Draining)
		wait := s.e.News.List[1] + 1200
		s.schedule(s.now+wait, func() { n.Trouble = model.Drain })
		s.schedule(s.now+wait+1500, func() { f.stopBackend(n) })
		s.schedule(s.now+wait+1500+durationMs, func() { f.restartBackend(n); n.hasFault = false })
	default:
		n.Trouble = map[string]model.Trouble{"hang": model.Hang, "slow": model.Slow, "fail": model.Fail}[kind]
		s.schedule(s.now+durationMs, repair)
	}
}
