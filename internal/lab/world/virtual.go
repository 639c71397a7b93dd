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

// virtual is a broker in virtual time: the real core and module, and this world in place of its wires. It
// implements core.Transport, core.List, core.Clock and core.Log.
type virtual struct {
	sim    *World
	index  int
	name   string
	seed   uint64
	gen    int // of its process
	core   *core.Core
	m      *shardmap.Map
	follow *shardmap.Poller
	dirty  bool
	wake   float64
	turn   []*sending
	out    []*sending // in the order in which they went
	seen   int        // news of the list that it has
	asked  bool
	call   int     // the call to the catalogue that counts
	due    float64 // when follow is asked next
	listed map[uint32]bool
	zone   int

	reader *endpointpoll.Poller // of the list, where it is pushed to an agent
	agent  int                  // news that the agent has

	moves core.ReshardingStats // of processes that are gone
	stats shardmap.Stats
	kept  int
}

// sending is an attempt on its way.
type sending struct {
	b     *virtual
	gen   int
	a     *core.Attempt
	node  *node
	job   *model.Job
	comes float64
	there bool // it has reached the node and is out, as the checker sees it
	over  bool
}

func newVirtual(s *World, i int) *virtual {
	return &virtual{sim: s, index: i, zone: s.e.ZoneOf(i), name: fmt.Sprintf("broker-%d", i),
		seed: s.seed + uint64(i)*7919, wake: math.Inf(1), due: math.Inf(1)}
}

// cut does nothing: what is on its way asks the fleet.
func (b *virtual) cut(bool) {}

// start starts its process, with a map that it kept if there is one.
func (b *virtual) start(cached *shardmap.Version) {
	s := b.sim
	s.check.Restarted(s.now, b.name)
	b.listed = map[uint32]bool{}
	b.m = shardmap.New(shardmap.Options{MaxRetired: s.e.History, ReplicaNumber: func(name string) (uint32, bool) {
		n := s.fleet.byName[name]
		return n, n > 0 && b.listed[n]
	}})
	var err error
	b.core, err = core.New(s.e.Settings(b.index, b.m), b.seed+uint64(b.gen), core.Options{Clock: b, Log: b,
		ShardMap: b.m})
	if err != nil {
		panic(err) // an experiment that passed its checks
	}
	b.core.Attach(b, b)
	b.wake, b.seen, b.due = math.Inf(1), 0, math.Inf(1)
	b.follow = shardmap.NewPoller(shardmap.DefaultPollerOptions, b.seed+uint64(b.gen))
	if s.e.Pushed {
		b.reader = endpointpoll.NewPoller(endpointpoll.Options{Pushed: true, DrainGrace: drainGrace})
		b.read(b.gen)
	} else {
		b.Watch()
	}
	if cached != nil {
		_ = b.core.ApplySnapshot(wholeOf(cached, s.fleet.retiredBefore(cached)))
	}
	if s.e.Arm == exp.Follow {
		b.core.OnNewerMap(func(epoch uint64) {
			b.follow.NewerEpochSeen(s.now, epoch)
			b.plan()
		})
		b.step()
	} else {
		b.hangup(b.gen)
	}
	b.touch()
}

// hangup reads the map as a broker does that knows only SIGHUP.
func (b *virtual) hangup(gen int) {
	if b.core == nil || gen != b.gen {
		return
	}
	if f := b.sim.fleet; !f.out() {
		_ = b.core.ApplySnapshot(wholeOf(f.truth.Current(), f.truth.Retired(keptRetired)))
	}
	b.touch()
	b.sim.at(b.sim.now+b.sim.e.SighupMS, func() { b.hangup(gen) })
}

// kill ends its process: what it held is void.
func (b *virtual) kill() {
	s := b.sim
	b.moves, b.stats, b.kept = add(b.moves, b.core.ReshardingStats()), addStats(b.stats, b.m.Stats()), max(b.kept,
		b.most())
	for _, q := range s.queries {
		if q.b == broker(b) && q.gen == b.gen && !q.over {
			s.check.Void(q.ask.ID)
		}
	}
	for _, f := range b.out {
		s.at(s.now+s.hop(), func() { f.gone() })
	}
	b.core, b.out, b.turn = nil, nil, nil
	b.gen++
}

func (b *virtual) id() string   { return b.name }
func (b *virtual) process() int { return b.gen }
func (b *virtual) up() bool     { return b.core != nil && b.core.Epoch() > 0 && len(b.listed) > 0 }

func (b *virtual) take(_ *query, r *core.Request) error {
	err := b.core.Submit(r)
	if err == nil {
		b.touch()
	}
	return err
}

// reset ends what is out at a node whose process has ended.
func (b *virtual) reset(n *node) {
	for _, x := range slices.Clone(b.out) {
		if x.node == n && x.there {
			x.gone()
			x.ends(scheduler.ConnectionReset, nil)
		}
	}
}

func (b *virtual) sum(r *result.Summary) {
	r.KeptMax = max(r.KeptMax, b.most(), b.kept)
	r.Add(b.moves, b.stats)
	if b.core != nil {
		r.Add(b.core.ReshardingStats(), b.m.Stats())
		r.Reads += b.follow.HintedPolls()
		r.OpenEnd += b.core.OpenRequests()
	}
}

func (b *virtual) most() int {
	if b.m == nil {
		return 0
	}
	return b.m.Stats().MaxRetainedVersions
}

func (b *virtual) touch() {
	if !b.dirty {
		b.dirty = true
		b.sim.dirty = append(b.sim.dirty, b)
	}
}

// Now implements core.Clock.
func (b *virtual) Now() float64 { return b.sim.now }

// WakeAt implements core.Clock.
func (b *virtual) WakeAt(at float64) {
	s := b.sim
	if at = max(at, s.now+0.05); at >= b.wake {
		return
	}
	b.wake = at
	gen := b.gen
	s.at(at, func() {
		if gen == b.gen && b.core != nil && b.wake == at {
			b.wake = math.Inf(1)
			b.touch()
		}
	})
}

// SchedulerLine implements core.Log.
func (b *virtual) SchedulerLine(string) {}

// RequestEnded implements core.Log.
func (b *virtual) RequestEnded(*core.Request, core.Answer) {}

// Watch implements core.List: the whole list comes, then changes as they are known.
func (b *virtual) Watch() {
	s, gen := b.sim, b.gen
	if b.asked {
		return
	}
	b.asked = true
	s.at(s.now+s.hop()+5, func() {
		if b.asked = false; gen != b.gen || b.core == nil {
			return
		}
		var es []scheduler.Endpoint
		for _, n := range s.fleet.nodes {
			es = append(es, b.entry(n, n.state))
		}
		b.seen = len(s.fleet.news)
		b.core.EndpointsChanged(scheduler.UpdateFull, es)
		b.touch()
	})
}

// entry is what the list says of a node, as it is told to this broker.
func (b *virtual) entry(n *node, state scheduler.ReplicaState) scheduler.Endpoint {
	s := b.sim
	if state == scheduler.Ready || s.Fault.IgnoreDrain {
		b.listed[n.number] = true
	} else if state == scheduler.Removed {
		delete(b.listed, n.number)
	}
	if state == scheduler.Ready {
		s.check.Untold(b.name, n.ID)
	} else {
		s.check.Told(s.now, b.name, n.ID)
		if s.Fault.IgnoreDrain {
			state = scheduler.Ready
		}
	}
	started := n.Started
	if started > 0 {
		started += s.e.ClockOf(b.index) // by which it takes the list's time for its own
	}
	if s.Fault.HideStart {
		started = 0
	}
	return scheduler.Endpoint{Replica: n.number, Cell: n.index, StartedAt: started, State: state}
}

// drainGrace is the rule's, in ms, as Settings state it.
const drainGrace = 1000.0

// read makes the next call to the agent: it answers at once with what it has, or is silent.
func (b *virtual) read(gen int) {
	s := b.sim
	if b.core == nil || gen != b.gen {
		return
	}
	c := b.reader.BeginCall(s.now)
	if s.fleet.silent[b.index] > s.now {
		s.at(s.now+c.Timeout, func() {
			if b.core != nil && gen == b.gen {
				s.at(b.reader.HandleFailure(s.now, true).At, func() { b.read(gen) })
			}
		})
		return
	}
	s.at(s.now+2*netLeast, func() {
		if b.core == nil || gen != b.gen {
			return
		}
		n := b.reader.HandleResponse(s.now, endpointpoll.Response{Complete: c.FullList,
			Revision: uint64(firstRevision + b.agent), EndpointCount: len(s.fleet.nodes)})
		if n.Apply {
			b.bring(c.FullList)
		}
		s.at(n.At, func() { b.read(gen) })
	})
}

// bring gives the module what the agent has: the whole list, or what is new.
func (b *virtual) bring(whole bool) {
	s, kind := b.sim, scheduler.UpdateDelta
	var es []scheduler.Endpoint
	if whole {
		kind = scheduler.UpdateFull
		for _, n := range s.fleet.nodes {
			x := listNews{node: n, state: scheduler.Ready}
			for _, news := range s.fleet.news[:b.agent] {
				if news.node == n {
					x = news
				}
			}
			es = append(es, b.entry(n, x.state))
		}
	} else {
		for _, n := range s.fleet.news[b.seen:b.agent] {
			es = append(es, b.entry(n.node, n.state))
		}
	}
	if b.seen = b.agent; whole || len(es) > 0 {
		b.core.EndpointsChanged(kind, es)
		b.touch()
	}
}

// told takes news of the list up to a place in it.
func (b *virtual) told(upTo int) {
	if s := b.sim; s.e.Pushed && b.agent < upTo {
		if until := s.fleet.silent[b.index]; until > s.now { // nothing reaches an agent while discovery is down
			s.at(until, func() { b.told(upTo) })
			return
		}
		s.fleet.heard[b.index] = s.now
		for _, n := range s.fleet.news[b.agent:upTo] { // what the agent has counts as told
			if n.state != scheduler.Ready {
				s.check.Told(s.now, b.name, n.node.ID)
			}
		}
		b.agent = upTo
	}
	if b.sim.e.Pushed {
		return
	}
	if b.core == nil || b.seen >= upTo || len(b.listed) == 0 {
		return
	}
	var es []scheduler.Endpoint
	for _, n := range b.sim.fleet.news[b.seen:upTo] {
		es = append(es, b.entry(n.node, n.state))
	}
	b.seen = upTo
	b.core.EndpointsChanged(scheduler.UpdateDelta, es)
	b.touch()
}

// step makes the call to the catalogue that is due.
func (b *virtual) step() {
	if b.core == nil {
		return
	}
	if c, due := b.follow.Next(b.sim.now); due {
		b.call++
		call, gen := b.call, b.gen
		b.sim.fleet.asked(c, func() { b.news(call, gen, nil) }, func(t told) {
			b.news(call, gen, func(k *core.Core) error {
				if t.v != nil {
					return k.ApplySnapshot(t.whole())
				}
				return k.ApplyChanges(t.changes, nil)
			})
		})
	}
	b.plan()
}

func (b *virtual) plan() {
	at := b.follow.NextAt()
	if math.IsInf(at, 1) || at >= b.due {
		return
	}
	s, gen := b.sim, b.gen
	b.due = at
	s.at(at, func() {
		if gen == b.gen && b.due == at {
			b.due = math.Inf(1)
			b.step()
		}
	})
}

// news takes an answer of the catalogue; nil is a call that came to nothing.
func (b *virtual) news(call, gen int, take func(*core.Core) error) {
	if b.core == nil || gen != b.gen || call != b.call {
		return
	}
	b.call++ // what comes for this call again is nobody's
	switch {
	case take == nil:
		b.follow.Failed(b.sim.now)
	case take(b.core) != nil:
		b.follow.Rejected(b.sim.now)
	default:
		b.follow.Succeeded(b.sim.now, b.core.Epoch())
		b.touch()
	}
	b.step()
}

// Send implements core.Transport.
func (b *virtual) Send(a *core.Attempt) {
	f := &sending{b: b, gen: b.gen, a: a, node: b.sim.fleet.nodes[a.Backend-1]}
	a.Handle = f
	b.turn = append(b.turn, f)
}

// Flush implements core.Transport.
func (b *virtual) Flush() {
	turn := b.turn
	b.turn = nil
	for _, f := range turn {
		f.launch()
		if b.sim.Fault.Twin && b.sim.byID%20 == 0 {
			(&sending{b: b, gen: b.gen, a: f.a, node: f.node}).launch()
		}
	}
}

// CloseIdleConnections implements core.Transport: connections cost nothing here.
func (b *virtual) CloseIdleConnections(uint32) {}

// Withdraw implements core.Transport.
func (b *virtual) Withdraw(a *core.Attempt) bool {
	i := slices.Index(b.turn, a.Handle.(*sending))
	if i >= 0 {
		b.turn = slices.Delete(b.turn, i, i+1)
	}
	return i >= 0
}

// Abandon implements core.Transport.
func (b *virtual) Abandon(a *core.Attempt) (neverRan bool) {
	if b.Withdraw(a) {
		return true
	}
	f := a.Handle.(*sending)
	f.leave()
	// The word that it is given up follows it on its connection.
	s := b.sim
	s.at(max(s.now+s.hop(), f.comes+0.01), func() {
		if f.gone(); f.job != nil {
			f.node.Drop(f.job)
		}
	})
	return false
}

// leave takes a sending off: nothing that comes of it counts.
func (f *sending) leave() {
	f.over = true
	if i := slices.Index(f.b.out, f); i >= 0 {
		f.b.out = slices.Delete(f.b.out, i, i+1)
	}
}

// gone tells the checker that it is out no more.
func (f *sending) gone() {
	if f.there {
		f.there = false
		f.b.sim.check.Gone(f.a.Request, f.a.Buckets)
	}
}

// launch sends it.
func (f *sending) launch() {
	s := f.b.sim
	s.check.Sent(s.now, f.b.name, f.node.ID)
	f.b.out = append(f.b.out, f)
	f.comes = s.now + s.way(f.b.zone, f.node.zone)
	s.at(f.comes, f.arrive)
}

func (f *sending) arrive() {
	s, n := f.b.sim, f.node
	q := s.queries[f.a.Request]
	if !s.fleet.reach(f.b.zone, n.zone) || s.fleet.apart[f.b.index] > s.now {
		return // it is lost, and nobody says so
	}
	if n.Trouble == model.Down || n.Fallen || q == nil {
		f.ends(scheduler.ConnectFailed, nil)
		return
	}
	f.job = &model.Job{Query: f.a.Request, Class: q.ask.Class, Once: q.ask.Once, Districts: f.a.Buckets,
		Epoch: f.a.Epoch, Work: q.workOf(f.a.Buckets), Context: f}
	f.job.Unfenced = s.Fault.Unfenced
	if s.e.Arm != exp.Follow {
		f.job.Epoch = 0
	}
	f.there = true
	n.arrive(f.job)
}

// answer is the node's.
func (f *sending) answer(end model.End) {
	f.gone()
	switch end {
	case model.OK:
		f.ends(scheduler.Succeeded, []byte(model.Value(f.a.Request, f.a.Buckets)))
	case model.Err:
		f.ends(scheduler.Failed, nil)
	case model.Busy:
		f.ends(scheduler.Rejected, nil)
	case model.Moved:
		f.a.BackendEpoch = f.node.Epoch()
		f.ends(scheduler.NotHolder, nil)
	}
}

// ends brings its outcome to the broker.
func (f *sending) ends(o scheduler.Outcome, value []byte) {
	s := f.b.sim
	s.at(s.now+s.way(f.node.zone, f.b.zone), func() {
		if !s.fleet.reach(f.b.zone, f.node.zone) || s.fleet.apart[f.b.index] > s.now {
			return
		}
		if f.over || f.gen != f.b.gen || f.b.core == nil {
			return
		}
		f.leave()
		f.b.core.AttemptEnded(f.a, o, value)
		f.b.touch()
	})
}

func add(a, b core.ReshardingStats) core.ReshardingStats {
	return core.ReshardingStats{Replaced: a.Replaced + b.Replaced, Split: a.Split + b.Split, InFlight: a.InFlight + b.InFlight,
		Paused: a.Paused + b.Paused, Duplicates: a.Duplicates + b.Duplicates, Stale: a.Stale + b.Stale,
		Behind: a.Behind + b.Behind}
}

func addStats(a, b shardmap.Stats) shardmap.Stats {
	return shardmap.Stats{NotHolder: a.NotHolder + b.NotHolder, SameEpoch: a.SameEpoch + b.SameEpoch,
		Rejected: a.Rejected + b.Rejected}
}

func (b *virtual) number() int { return b.index }
