package scheduler

import (
	"cmp"
	"slices"
)

// How queues, holders and parts follow a layout that moves, and how a turn's work stays with what is active.
// Nothing here decides: the layout says who holds a shard, balance.go what is sent.

// unit is parts that count together: what was one part for the client and is held by several shards.
type unit struct {
	number int
	parts  []*part
	weight float64
	left   int  // parts that are not in
	asked  bool // none of them is a reserve
}

// PlacementChanged tells that the layout has changed.
func (b *Scheduler) PlacementChanged() { clear(b.holders) }

// ReplacePart puts parts in the place of one of whose attempts none is out: its shard is others' now. What
// was tried of it counts for each of them. It tells whether it did; a part without a unit cannot be replaced.
func (b *Scheduler) ReplacePart(now float64, id uint64, by []Part) bool {
	p := b.parts[id]
	if p == nil || p.in || p.live > 0 || p.q.ended || p.unit == nil {
		return false
	}
	q, u := p.q, p.unit
	weight, queued := u.weight, p.queued
	p.queued, p.over = false, true
	delete(b.parts, id)
	var todo []*part
	for _, in := range by {
		in.AtomicGroup = u.number
		x := b.add(q, in)
		x.attempts, x.reserve, x.pause = slices.Clone(p.attempts), p.reserve, p.pause
		todo = append(todo, x)
	}
	// Its own place is given up only now, so that the others find the unit.
	is := func(x *part) bool { return x == p }
	q.parts, u.parts = slices.DeleteFunc(q.parts, is), slices.DeleteFunc(u.parts, is)
	u.weight, u.left = weight, u.left-1
	if queued {
		b.place(now, todo)
	}
	return true
}

// ResumePart ends the pause of a part: what it waited for has come.
func (b *Scheduler) ResumePart(id uint64) {
	if p := b.parts[id]; p != nil {
		p.pause = 0
	}
}

// nearShards bounds the ids of shards that keep the turn of their queues while nothing is queued at them.
const nearShards = 4096

// shard is the shard of an id if something was queued at it, else nil.
func (b *Scheduler) shard(id int) *shard {
	if id < len(b.near) {
		return b.near[id]
	}
	return b.far[id]
}

// queue is the shard's queues, to which something is about to be added.
func (b *Scheduler) queue(id int, now float64) *shard {
	s := b.shard(id)
	if s == nil {
		s = &shard{id: id}
		if id >= nearShards {
			b.far[id] = s
		} else {
			if id >= len(b.near) {
				b.near = append(b.near, make([]*shard, id+1-len(b.near))...)
			}
			b.near[id] = s
		}
	}
	if !s.active {
		s.active, s.oldest, b.active, b.sorted = true, now, append(b.active, s), false
	}
	return s
}

// noteHeld notes since when calls are held at each set of replicas: what waits at one of their shards says
// how long a part of another one would.
func (b *Scheduler) noteHeld(now float64) {
	clear(b.waits)
	for _, s := range b.active {
		if s.oldest < now {
			g := b.s.Placement.Group(s.id)
			b.waits[g] = min(s.oldest, cmp.Or(b.waits[g], s.oldest))
		}
	}
}

// held tells since when the oldest call of a shard's replicas is held, as of the turn's beginning.
func (b *Scheduler) held(id int, now float64) float64 {
	return cmp.Or(b.waits[b.s.Placement.Group(id)], now)
}

// waited is how long the oldest call is held at the replicas of a part's shard, or of one that counts with
// it, in ms.
func (b *Scheduler) waited(now float64, p *part) (ms float64) {
	for _, x := range p.legs() {
		ms = max(ms, now-b.held(x.Shard, now))
	}
	return ms
}

// opensBy tells that some replica of a part's shard opens for it by then.
func (b *Scheduler) opensBy(now float64, p *part, then float64) bool {
	return slices.ContainsFunc(b.holdersOf(p.Shard), func(r *replica) bool {
		return b.opens(now, r, p.cost) <= then
	})
}

// sortActive sorts the active shards, so that a turn does the same whatever came first.
func (b *Scheduler) sortActive() {
	if !b.sorted {
		slices.SortFunc(b.active, func(x, y *shard) int { return cmp.Compare(x.id, y.id) })
		b.sorted = true
	}
}

// rest takes the shards at which nothing is queued off the list of active ones.
func (b *Scheduler) rest() {
	b.active = slices.DeleteFunc(b.active, func(s *shard) bool {
		for i := range s.fifo {
			if len(s.fifo[i]) > 0 {
				return false
			}
		}
		s.active = false
		if s.id >= nearShards {
			delete(b.far, s.id)
		}
		return true
	})
}

// holdersOf are the replicas that hold a shard, by id.
func (b *Scheduler) holdersOf(shard int) []*replica {
	g := b.s.Placement.Group(shard)
	if g < 0 {
		return nil
	}
	if g < len(b.holders) && b.holders[g] != nil {
		return b.holders[g]
	}
	list := []*replica{}
	for _, cell := range b.s.Placement.Cells(g) {
		list = append(list, b.byCell[cell]...)
	}
	for _, id := range b.s.Placement.Replicas(g) {
		if r := b.replicas[id]; r != nil && r.State != Removed {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(x, y *replica) int { return cmp.Compare(x.Replica, y.Replica) })
	if g >= len(b.holders) {
		b.holders = append(b.holders, make([][]*replica, g+1-len(b.holders))...)
	}
	b.holders[g] = list
	return list
}

// legs are the parts that count with this one, itself included.
func (p *part) legs() []*part {
	if p.unit != nil {
		return p.unit.parts
	}
	return []*part{p}
}

// weighs is what a part adds to a sum over its query's parts if all that count with it pass: once for all.
func (p *part) weighs(pass func(*part) bool) float64 {
	switch {
	case p.unit == nil && pass(p):
		return p.Weight
	case p.unit != nil && p.unit.parts[0] == p && !slices.ContainsFunc(p.unit.parts,
		func(x *part) bool { return !pass(x) }):
		return p.unit.weight
	}
	return 0
}

// arrive notes that a part is in and gives the weight that is in with it.
func (p *part) arrive() float64 {
	p.in = true
	if p.unit == nil {
		return p.Weight
	}
	if p.unit.left--; p.unit.left > 0 {
		return 0
	}
	return p.unit.weight
}

// join puts a part of a query into its unit.
func (q *query) join(p *part) {
	i := slices.IndexFunc(q.parts, func(x *part) bool { return x.unit != nil && x.unit.number == p.AtomicGroup })
	if i < 0 {
		p.unit = &unit{number: p.AtomicGroup}
	} else {
		p.unit = q.parts[i].unit
	}
	p.unit.parts, p.unit.weight, p.unit.left = append(p.unit.parts, p), p.unit.weight+p.Weight, p.unit.left+1
}
