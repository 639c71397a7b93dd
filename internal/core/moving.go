package core

import (
	"cmp"
	"fmt"
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

// How core carries requests while slices move. What may go where, and what of it is in, the slice map
// decides.

// behindFor is in how many ms a client may come again whose map is newer than ours: a read of the map on a
// hint takes less.
const behindFor = 100.0

// unit is a part as its client named it.
type unit struct {
	Part
	*slicemap.Unit
	number int
}

// leg is what a part is where slices move: districts of a unit that one slice holds.
type leg struct {
	slicemap.Leg
	unit *unit
	row  int    // answers in a row that the node does not hold it
	wait uint64 // the epoch that ends its pause
}

// Moves counts what became of parts that a change of the map caught.
type Moves struct {
	Replaced uint64 `json:"parts_replaced"`  // went on as parts of other slices
	Split    uint64 `json:"parts_split"`     // of those: became more than one
	Caught   uint64 `json:"parts_caught"`    // were out when their slice changed or was retired
	Paused   uint64 `json:"parts_paused"`    // a node did not hold them, and they waited
	Twice    uint64 `json:"counted_twice"`   // answers thrown away as their districts were in already
	Stale    uint64 `json:"stale_requests"`  // named slices that cannot be understood
	Behind   uint64 `json:"behind_requests"` // named slices of a newer map than ours: refused
}

// Moves counts since the start.
func (c *Core) Moves() Moves { return c.moves }

// OnHint sets who is told that a newer map is known somewhere: of that epoch, or 0 if that is not known.
func (c *Core) OnHint(f func(epoch uint64)) { c.hint = f }

// OnMap sets who is told of each map that is taken into use.
func (c *Core) OnMap(f func(*slicemap.Version)) { c.onMap = f }

// StaleError is what Take says where a slice that the client named cannot be understood.
type StaleError struct {
	Epoch uint64 // of the map in use
	Err   error
}

// Error names the slice and the epoch in use.
func (e *StaleError) Error() string { return fmt.Sprintf("%v: %v", ErrContract, e.Err) }

// Unwrap gives ErrContract and the map's own error.
func (e *StaleError) Unwrap() []error { return []error{ErrContract, e.Err} }

// resolve finds the districts of a request's parts and how many calls they take by the map in use; 0 if there
// is no map yet, or none as new as the client's: then we are behind, and trying again is harmless.
func (c *Core) resolve(r *Request) (legs int, err error) {
	epoch := c.slices.Current().Epoch
	if r.Epoch > epoch {
		c.hint(r.Epoch) // the client has seen a newer map than we have
	}
	if epoch == 0 {
		return 0, nil
	}
	ranges := make([]slicemap.Range, 0, len(r.Parts))
	r.units = make([]*unit, 0, len(r.Parts))
	var buf [8]slicemap.Leg
	for i, p := range r.Parts {
		d, err := c.slices.Resolve(p.Shard)
		if err != nil && r.Epoch > epoch {
			c.moves.Behind++
			return 0, nil
		}
		if err != nil {
			c.moves.Stale++
			return 0, &StaleError{epoch, err}
		}
		out := c.slices.Route(buf[:0], p.Shard, d)
		legs += len(out)
		r.units = append(r.units, &unit{Part: p, Unit: slicemap.NewUnit(d, out), number: i + 1})
		ranges = append(ranges, d)
	}
	// Names of different epochs may mean the same districts: those would count twice.
	slices.SortFunc(ranges, func(a, b slicemap.Range) int { return cmp.Compare(a.Lo, b.Lo) })
	for i := 1; i < len(ranges); i++ {
		if ranges[i].Lo < ranges[i-1].Hi {
			return 0, fmt.Errorf("%w: districts %v and %v are asked twice", ErrContract, ranges[i-1], ranges[i])
		}
	}
	return legs, nil
}

// begin binds a request to the map in use and hands its parts to the module.
func (c *Core) begin(now float64, r *Request) {
	r.version = c.slices.Begin()
	var buf [8]slicemap.Leg
	for _, u := range r.units {
		for _, l := range c.slices.Route(buf[:0], u.Shard, u.Range) {
			x := c.makeLeg(r, u, l)
			c.module.PartArrived(now, x.told(int(r.id)))
		}
	}
}

// makeLeg makes the part of a request that asks one slice for districts of a unit. Weight and cost go by
// districts.
func (c *Core) makeLeg(r *Request, u *unit, l slicemap.Leg) *part {
	c.nextID++
	share := float64(l.Size()) / float64(u.Size())
	x := &part{Part: u.Part, id: c.nextID, req: r, leg: &leg{Leg: l, unit: u}}
	x.Shard, x.Weight, x.Cost = l.Slice, u.Weight*share, u.Cost*share
	r.parts, c.parts[x.id] = append(r.parts, x), x
	c.bySlice[l.Slice] = append(c.bySlice[l.Slice], x)
	return x
}

// told is the part as the module hears of it.
func (p *part) told(group int) scheduler.Part {
	return scheduler.Part{ID: p.id, QueryGroup: group, Shard: p.Shard, Key: p.Key, Weight: p.Weight, CostHint: p.Cost,
		HasCostHint: p.Hinted, AtomicGroup: p.unit.number}
}

// unlink forgets a part's place under its slice.
func (c *Core) unlink(p *part) {
	if p.leg == nil {
		return
	}
	list := c.bySlice[p.Slice]
	if list = slices.DeleteFunc(list, func(x *part) bool { return x == p }); len(list) == 0 {
		delete(c.bySlice, p.Slice)
	} else {
		c.bySlice[p.Slice] = list
	}
	if p.wait > 0 {
		p.wait = 0
		c.waiting = slices.DeleteFunc(c.waiting, func(x *part) bool { return x == p })
	}
}

// arrived counts a part that is in.
func (c *Core) arrived(p *part) {
	if p.leg == nil {
		return
	}
	if _, err := p.unit.In(p.Range); err != nil {
		c.moves.Twice++
		c.log.Module(err.Error())
	}
}

// values are those of the units that are in whole: half a part counts for nothing.
func (c *Core) values(r *Request, a *Answer) {
	if r.version != nil {
		a.Epoch = r.version.Epoch
	}
	if a.Kind != Answered {
		return
	}
	parts := slices.Clone(r.parts)
	slices.SortFunc(parts, func(x, y *part) int {
		return cmp.Or(cmp.Compare(x.unit.number, y.unit.number), cmp.Compare(x.Lo, y.Lo))
	})
	for _, p := range parts {
		if p.unit.Whole() {
			a.Values = append(a.Values, Value{p.unit.Shard, p.Range, p.value})
		}
	}
}

// pause is for how long a part that a node does not hold is not tried again.
func (c *Core) pause(a *Attempt, o scheduler.Outcome) float64 {
	p := a.part
	if p.leg == nil {
		return 0
	}
	if o != scheduler.NotHolder {
		p.row = 0
		return 0
	}
	p.row++
	w := c.slices.AfterMoved(p.Leg, a.Epoch, a.NodeEpoch, p.row)
	if w.Read > 0 {
		c.hint(w.Read)
	}
	if w.Until > 0 && p.wait == 0 && c.parts[p.id] == p {
		p.wait = w.Until
		c.waiting = append(c.waiting, p)
	}
	if w.Pause > 0 {
		c.moves.Paused++
	}
	return w.Pause
}

// reroute puts parts of other slices in the place of one whose slice is no more, if a further try of it is
// allowed and none is out.
func (c *Core) reroute(now float64, p *part) {
	if c.parts[p.id] != p || p.in || p.leg == nil {
		return
	}
	mayHaveRun := false
	for _, a := range p.attempts {
		if !a.ended {
			return // it is looked at when that ends
		}
		mayHaveRun = mayHaveRun || a.how < scheduler.Rejected
	}
	var buf [8]slicemap.Leg
	legs, verdict := c.slices.Again(buf[:0], p.Leg, p.req.unsafe, mayHaveRun)
	if verdict != slicemap.Replace {
		return
	}
	r, u := p.req, p.unit
	parts, told := make([]*part, 0, len(legs)), make([]scheduler.Part, 0, len(legs))
	for _, l := range legs {
		x := c.makeLeg(r, u, l)
		x.attempts = slices.Clone(p.attempts)
		parts, told = append(parts, x), append(told, x.told(int(r.id)))
	}
	drop := func(x *part) {
		delete(c.parts, x.id)
		c.unlink(x)
		r.parts = slices.DeleteFunc(r.parts, func(y *part) bool { return y == x })
	}
	if !c.module.ReplacePart(now, p.id, told) {
		for _, x := range parts {
			drop(x)
		}
		return
	}
	if err := u.Replace(p.Range, legs); err != nil {
		panic(err) // the map's own route of the same districts
	}
	drop(p)
	c.open += len(legs) - 1
	if c.moves.Replaced++; len(legs) > 1 {
		c.moves.Split++
	}
}

// MapChanged tells that the map has changed: retired are the slices that are in it no more.
func (c *Core) MapChanged(retired []slicemap.ID) {
	now, epoch := c.clock.Now(), c.slices.Current().Epoch
	c.module.PlacementChanged()
	for _, id := range retired {
		for _, p := range slices.Clone(c.bySlice[id]) {
			if n := len(p.attempts); n > 0 && !p.attempts[n-1].ended {
				c.moves.Caught++
			}
			c.reroute(now, p)
		}
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(p *part) bool {
		if p.wait > epoch {
			return false
		}
		p.wait = 0
		c.module.ResumePart(p.id)
		return true
	})
	c.clock.WakeAt(0) // what waited is decided on now
}

// TakeMap takes a whole map; an error tells that it was refused and the one in use stays.
func (c *Core) TakeMap(w slicemap.Whole) error {
	retired, err := c.slices.Reset(w)
	return c.took(retired, err)
}

// TakeChanges takes changes of the map, all or none. nodes are what may hold slices; none: any.
func (c *Core) TakeChanges(cs []slicemap.Change, nodes []string) error {
	retired, err := c.slices.Apply(cs, nodes)
	return c.took(retired, err)
}

func (c *Core) took(retired []slicemap.ID, err error) error {
	if err == nil && c.Epoch() != c.toldEpoch {
		c.toldEpoch = c.Epoch()
		c.MapChanged(retired)
		if n := c.slices.LetGo(); n != c.letGo {
			c.log.Module(fmt.Sprintf("map versions at their bound: %d let go, %d in all", n-c.letGo, n))
			c.letGo = n
		}
		if c.onMap != nil {
			c.onMap(c.slices.Current())
		}
	}
	return err
}

// Epoch is that of the map in use.
func (c *Core) Epoch() uint64 { return c.slices.Current().Epoch }

// HandOver ends what this process sends to cold replicas and gives what it sent to them in the window of
// their allowance, for the process that takes over (see scheduler.Balancer.HandOver).
func (c *Core) HandOver() []scheduler.WarmupSend { return c.module.HandOver(c.clock.Now()) }

// TakeOver counts what the process that handed over sent to cold replicas, and ends the wait of the first
// window after a start (see scheduler.Balancer.TakeOver).
func (c *Core) TakeOver(sent []scheduler.WarmupSend) { c.module.TakeOver(c.clock.Now(), sent) }

// Shares tells that another process of the aggregator serves beside this one (see scheduler.Balancer.Shares).
func (c *Core) Shares() { c.module.OtherProcessActive(c.clock.Now()) }
