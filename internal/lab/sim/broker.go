package sim

import (
	"fmt"
	"math"
	"slices"

	"ternstage/balance"
	"ternstage/internal/core"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/model"
	"ternstage/internal/slicemap"
)

// broker is one broker: the real core and module, and this world in place of its wires. It implements
// core.Backend, core.List, core.Clock and core.Log.
type broker struct {
	sim    *Sim
	index  int
	name   string
	seed   uint64
	gen    int // of its process
	core   *core.Core
	m      *slicemap.Map
	follow *slicemap.Follow
	dirty  bool
	wake   float64
	turn   []*flight
	out    []*flight // in the order in which they went
	seen   int       // news of the list that it has
	asked  bool
	call   int     // the call to the catalogue that counts
	due    float64 // when follow is asked next
	listed map[uint32]bool

	moves core.Moves // of processes that are gone
	stats slicemap.Stats
	kept  int
}

// flight is an attempt on its way.
type flight struct {
	b     *broker
	gen   int
	a     *core.Attempt
	node  *node
	job   *model.Job
	comes float64
	there bool // it has reached the node and is out, as the checker sees it
	over  bool
}

func newBroker(s *Sim, i int, seed uint64) *broker {
	return &broker{sim: s, index: i, name: fmt.Sprintf("broker-%d", i), seed: seed + uint64(i)*7919,
		wake: math.Inf(1), due: math.Inf(1)}
}

// start starts its process, with a map that it kept if there is one.
func (b *broker) start(cached *slicemap.Version) {
	s := b.sim
	b.listed = map[uint32]bool{}
	b.m = slicemap.New(slicemap.Options{Number: func(name string) (uint32, bool) {
		n := s.fleet.byName[name]
		return n, n > 0 && b.listed[n]
	}})
	var err error
	b.core, err = core.New(s.e.Settings(b.index, b.m), b.seed+uint64(b.gen), core.Options{Clock: b, Log: b, Slices: b.m})
	if err != nil {
		panic(err) // an experiment that passed its checks
	}
	b.core.Attach(b, b)
	b.wake, b.seen, b.due = math.Inf(1), 0, math.Inf(1)
	b.follow = slicemap.NewFollow(slicemap.DefaultFollow, b.seed+uint64(b.gen))
	b.Watch()
	if cached != nil {
		_ = b.core.TakeMap(wholeOf(cached, nil))
	}
	if s.e.Arm == exp.Follow {
		b.core.OnHint(func(epoch uint64) {
			b.follow.Hint(s.now, epoch)
			b.plan()
		})
		b.step()
	} else {
		b.hangup(b.gen)
	}
	b.touch()
}

// hangup reads the map as a broker does that knows only SIGHUP.
func (b *broker) hangup(gen int) {
	if b.core == nil || gen != b.gen {
		return
	}
	if f := b.sim.fleet; !f.out() {
		_ = b.core.TakeMap(wholeOf(f.truth.Current(), f.truth.Retired(keptRetired)))
	}
	b.touch()
	b.sim.at(b.sim.now+b.sim.e.SighupMS, func() { b.hangup(gen) })
}

// kill ends its process: what it held is void.
func (b *broker) kill() {
	s := b.sim
	b.moves, b.stats, b.kept = add(b.moves, b.core.Moves()), addStats(b.stats, b.m.Stats()), max(b.kept, b.most())
	for _, q := range s.queries {
		if q.b == b && q.gen == b.gen && !q.over {
			s.check.Void(q.ask.ID)
		}
	}
	for _, f := range b.out {
		s.at(s.now+s.hop(), func() { f.gone() })
	}
	b.core, b.out, b.turn = nil, nil, nil
	b.gen++
}

func (b *broker) most() int {
	if b.m == nil {
		return 0
	}
	return b.m.Stats().KeptMost
}

func (b *broker) ready() bool { return b.core.Epoch() > 0 && len(b.listed) > 0 }

func (b *broker) touch() {
	if !b.dirty {
		b.dirty = true
		b.sim.dirty = append(b.sim.dirty, b)
	}
}

// Now implements core.Clock.
func (b *broker) Now() float64 { return b.sim.now }

// WakeAt implements core.Clock.
func (b *broker) WakeAt(at float64) {
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

// Module implements core.Log.
func (b *broker) Module(string) {}

// Ended implements core.Log.
func (b *broker) Ended(*core.Request, core.Answer) {}

// Watch implements core.List: the whole list comes, then changes as they are known.
func (b *broker) Watch() {
	s, gen := b.sim, b.gen
	if b.asked {
		return
	}
	b.asked = true
	s.at(s.now+s.hop()+5, func() {
		if b.asked = false; gen != b.gen || b.core == nil {
			return
		}
		var es []balance.Entry
		for _, n := range s.fleet.nodes {
			es = append(es, b.entry(n, n.state))
		}
		b.seen = len(s.fleet.news)
		b.core.ListChanged(balance.ListFull, es)
		b.touch()
	})
}

// entry is what the list says of a node, as it is told to this broker.
func (b *broker) entry(n *node, state balance.State) balance.Entry {
	s := b.sim
	if state == balance.Ready || s.Fault.IgnoreDrain {
		b.listed[n.number] = true
	} else if state == balance.Gone {
		delete(b.listed, n.number)
	}
	if state == balance.Ready {
		s.check.Untold(b.name, n.ID)
	} else {
		s.check.Told(s.now, b.name, n.ID)
		if s.Fault.IgnoreDrain {
			state = balance.Ready
		}
	}
	started := n.Started
	if s.Fault.HideStart {
		started = 0
	}
	return balance.Entry{Replica: n.number, Cell: n.index, ReadyAt: started, State: state}
}

// told takes news of the list up to a place in it.
func (b *broker) told(upTo int) {
	if b.core == nil || b.seen >= upTo || len(b.listed) == 0 {
		return
	}
	var es []balance.Entry
	for _, n := range b.sim.fleet.news[b.seen:upTo] {
		es = append(es, b.entry(n.node, n.state))
	}
	b.seen = upTo
	b.core.ListChanged(balance.ListDelta, es)
	b.touch()
}

// step makes the call to the catalogue that is due.
func (b *broker) step() {
	if b.core == nil {
		return
	}
	if c, due := b.follow.Next(b.sim.now); due {
		b.call++
		b.sim.fleet.asked(b, b.call, b.gen, c)
	}
	b.plan()
}

func (b *broker) plan() {
	at := b.follow.At()
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
func (b *broker) news(call, gen int, take func(*core.Core) error) {
	if b.core == nil || gen != b.gen || call != b.call {
		return
	}
	b.call++ // what comes for this call again is nobody's
	switch {
	case take == nil:
		b.follow.Failed(b.sim.now)
	case take(b.core) != nil:
		b.follow.Refused(b.sim.now)
	default:
		b.follow.Answered(b.sim.now, b.core.Epoch())
		b.touch()
	}
	b.step()
}

// Send implements core.Backend.
func (b *broker) Send(a *core.Attempt) {
	f := &flight{b: b, gen: b.gen, a: a, node: b.sim.fleet.nodes[a.Node-1]}
	a.Handle = f
	b.turn = append(b.turn, f)
}

// Flush implements core.Backend.
func (b *broker) Flush() {
	turn := b.turn
	b.turn = nil
	for _, f := range turn {
		f.launch()
		if b.sim.Fault.Twin && b.sim.byID%20 == 0 {
			(&flight{b: b, gen: b.gen, a: f.a, node: f.node}).launch()
		}
	}
}

// DropIdle implements core.Backend: connections cost nothing here.
func (b *broker) DropIdle(uint32) {}

// Abandon implements core.Backend.
func (b *broker) Abandon(a *core.Attempt) (neverRan bool) {
	f := a.Handle.(*flight)
	if i := slices.Index(b.turn, f); i >= 0 {
		b.turn = slices.Delete(b.turn, i, i+1)
		return true
	}
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

// leave takes a flight off: nothing that comes of it counts.
func (f *flight) leave() {
	f.over = true
	if i := slices.Index(f.b.out, f); i >= 0 {
		f.b.out = slices.Delete(f.b.out, i, i+1)
	}
}

// gone tells the checker that it is out no more.
func (f *flight) gone() {
	if f.there {
		f.there = false
		f.b.sim.check.Gone(f.a.Request, f.a.Districts)
	}
}

// launch sends it.
func (f *flight) launch() {
	s := f.b.sim
	s.check.Sent(s.now, f.b.name, f.node.ID)
	f.b.out = append(f.b.out, f)
	f.comes = s.now + s.hop()
	s.at(f.comes, f.arrive)
}

func (f *flight) arrive() {
	s, n := f.b.sim, f.node
	q := s.queries[f.a.Request]
	if n.Trouble == model.Down || n.Fallen || q == nil {
		f.ends(balance.ConnectFailed, nil)
		return
	}
	f.job = &model.Job{Query: f.a.Request, Class: q.ask.Class, Once: q.ask.Once, Districts: f.a.Districts,
		Epoch: f.a.Epoch, Work: q.workOf(f.a.Districts), Context: f}
	f.job.Unfenced = s.Fault.Unfenced
	if s.e.Arm != exp.Follow {
		f.job.Epoch = 0
	}
	f.there = true
	s.check.Came(f.a.Request, f.a.Districts)
	fallen := n.Fallen
	end, done := n.Arrive(s.now, f.job)
	if n.Fallen && !fallen {
		s.check.Fell(n.ID, n.Cold(s.now))
		s.fleet.die(n)
		return
	}
	switch {
	case end == model.None && done > 0:
		n.begun(f.job, done)
	case end != model.None:
		f.answer(end)
	}
}

// answer is the node's.
func (f *flight) answer(end model.End) {
	f.gone()
	switch end {
	case model.OK:
		f.ends(balance.OK, []byte(model.Value(f.a.Request, f.a.Districts)))
	case model.Err:
		f.ends(balance.Failed, nil)
	case model.Busy:
		f.ends(balance.Full, nil)
	case model.Moved:
		f.a.NodeEpoch = f.node.Epoch()
		f.ends(balance.Moved, nil)
	}
}

// ends brings its outcome to the broker.
func (f *flight) ends(o balance.Outcome, value []byte) {
	s := f.b.sim
	s.at(s.now+s.hop(), func() {
		if f.over || f.gen != f.b.gen || f.b.core == nil {
			return
		}
		f.leave()
		f.b.core.Ended(f.a, o, value)
		f.b.touch()
	})
}

func add(a, b core.Moves) core.Moves {
	return core.Moves{Replaced: a.Replaced + b.Replaced, Split: a.Split + b.Split, Caught: a.Caught + b.Caught,
		Paused: a.Paused + b.Paused, Twice: a.Twice + b.Twice, Stale: a.Stale + b.Stale,
		Behind: a.Behind + b.Behind}
}

func addStats(a, b slicemap.Stats) slicemap.Stats {
	return slicemap.Stats{Moved: a.Moved + b.Moved, Disagree: a.Disagree + b.Disagree, Refused: a.Refused + b.Refused}
}
