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
	*slicemap.Coverage
	number int
}

// leg is what a part is where slices move: districts of a unit that one slice holds.
type leg struct {
	slicemap.Segment
	unit *unit
	row  int    // answers in a row that the node does not hold it
	wait uint64 // the epoch that ends its pause
}

// ReshardingStats counts what became of parts that a change of the map caught.
type ReshardingStats struct {
	Replaced uint64 `json:"parts_replaced"`  // went on as parts of other slices
	Split    uint64 `json:"parts_split"`     // of those: became more than one
	Caught   uint64 `json:"parts_caught"`    // were out when their slice changed or was retired
	Paused   uint64 `json:"parts_paused"`    // a node did not hold them, and they waited
	Twice    uint64 `json:"counted_twice"`   // answers thrown away as their districts were in already
	Stale    uint64 `json:"stale_requests"`  // named slices that cannot be understood
	Behind   uint64 `json:"behind_requests"` // named slices of a newer map than ours: refused
}

// ReshardingStats counts since the start.
func (c *Core) ReshardingStats() ReshardingStats { return c.moves }

// OnNewerMap sets who is told that a newer map is known somewhere: of that epoch, or 0 if that is not known.
func (c *Core) OnNewerMap(f func(epoch uint64)) { c.hint = f }

// OnMapChanged sets who is told of each map that is taken into use.
func (c *Core) OnMapChanged(f func(*slicemap.Version)) { c.onMap = f }

// StaleEpochError is what Take says where a slice that the client named cannot be understood.
type StaleEpochError struct {
	Epoch uint64 // of the map in use
	Err   error
}

// Error names the slice and the epoch in use.
func (e *StaleEpochError) Error() string { return fmt.Sprintf("%v: %v", ErrInvalidRequest, e.Err) }

// Unwrap gives ErrContract and the map's own error.
func (e *StaleEpochError) Unwrap() []error { return []error{ErrInvalidRequest, e.Err} }

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
	var buf [8]slicemap.Segment
	for i, p := range r.Parts {
		d, err := c.slices.Resolve(p.Shard)
		if err != nil && r.Epoch > epoch {
			c.moves.Behind++
			return 0, nil
		}
		if err != nil {
			c.moves.Stale++
			return 0, &StaleEpochError{epoch, err}
		}
		out := c.slices.Route(buf[:0], p.Shard, d)
		legs += len(out)
		r.units = append(r.units, &unit{Part: p, Coverage: slicemap.NewCoverage(d, out), number: i + 1})
		ranges = append(ranges, d)
	}
	// Names of different epochs may mean the same districts: those would count twice.
	slices.SortFunc(ranges, func(a, b slicemap.Range) int { return cmp.Compare(a.Start, b.Start) })
	for i := 1; i < len(ranges); i++ {
		if ranges[i].Start < ranges[i-1].End {
			return 0, fmt.Errorf("%w: districts %v and %v are asked twice", ErrInvalidRequest, ranges[i-1], ranges[i])
		}
	}
	return legs, nil
}

// begin binds a request to the map in use and hands its parts to the module.
func (c *Core) begin(now float64, r *Request) {
	r.version = c.slices.Acquire()
	var buf [8]slicemap.Segment
	for _, u := range r.units {
		for _, l := range c.slices.Route(buf[:0], u.Shard, u.Range) {
			x := c.makeLeg(r, u, l)
			c.module.PartArrived(now, x.told(int(r.queryID)))
		}
	}
}

// makeLeg makes the part of a request that asks one slice for districts of a unit. Weight and cost go by
// districts.
func (c *Core) makeLeg(r *Request, u *unit, l slicemap.Segment) *part {
	c.nextID++
	share := float64(l.Size()) / float64(u.Size())
	x := &part{Part: u.Part, id: c.nextID, req: r, leg: &leg{Segment: l, unit: u}}
	x.Shard, x.Weight, x.CostHint = l.Shard, u.Weight*share, u.CostHint*share
	r.parts, c.parts[x.id] = append(r.parts, x), x
	c.bySlice[l.Shard] = append(c.bySlice[l.Shard], x)
	return x
}

// told is the part as the module hears of it.
func (p *part) told(group int) scheduler.Part {
	return scheduler.Part{ID: p.id, QueryGroup: group, Shard: p.Shard, Key: p.Key, Weight: p.Weight, CostHint: p.CostHint,
		HasCostHint: p.HasCostHint, AtomicGroup: p.unit.number}
}

// unlink forgets a part's place under its slice.
func (c *Core) unlink(p *part) {
	if p.leg == nil {
		return
	}
	list := c.bySlice[p.Shard]
	if list = slices.DeleteFunc(list, func(x *part) bool { return x == p }); len(list) == 0 {
		delete(c.bySlice, p.Shard)
	} else {
		c.bySlice[p.Shard] = list
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
	if _, err := p.unit.Arrived(p.Range); err != nil {
		c.moves.Twice++
		c.log.SchedulerLine(err.Error())
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
		return cmp.Or(cmp.Compare(x.unit.number, y.unit.number), cmp.Compare(x.Start, y.Start))
	})
	for _, p := range parts {
		if p.unit.Complete() {
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
	w := c.slices.OnNotHolder(p.Segment, a.Epoch, a.BackendEpoch, p.row)
	if w.ReadEpoch > 0 {
		c.hint(w.ReadEpoch)
	}
	if w.UntilEpoch > 0 && p.wait == 0 && c.parts[p.id] == p {
		p.wait = w.UntilEpoch
		c.waiting = append(c.waiting, p)
	}
	if w.DelayMs > 0 {
		c.moves.Paused++
	}
	return w.DelayMs
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
	var buf [8]slicemap.Segment
	legs, verdict := c.slices.Reroute(buf[:0], p.Segment, p.req.unsafe, mayHaveRun)
	if verdict != slicemap.ReplaceSegments {
		return
	}
	r, u := p.req, p.unit
	parts, told := make([]*part, 0, len(legs)), make([]scheduler.Part, 0, len(legs))
	for _, l := range legs {
		x := c.makeLeg(r, u, l)
		x.attempts = slices.Clone(p.attempts)
		parts, told = append(parts, x), append(told, x.told(int(r.queryID)))
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
func (c *Core) MapChanged(retired []slicemap.ShardID) {
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

// ApplySnapshot takes a whole map; an error tells that it was refused and the one in use stays.
func (c *Core) ApplySnapshot(w slicemap.Snapshot) error {
	retired, err := c.slices.Reset(w)
	return c.took(retired, err)
}

// ApplyChanges takes changes of the map, all or none. nodes are what may hold slices; none: any.
func (c *Core) ApplyChanges(cs []slicemap.Change, nodes []string) error {
	retired, err := c.slices.Apply(cs, nodes)
	return c.took(retired, err)
}

func (c *Core) took(retired []slicemap.ShardID, err error) error {
	if err == nil && c.Epoch() != c.toldEpoch {
		c.toldEpoch = c.Epoch()
		c.MapChanged(retired)
		if n := c.slices.DroppedVersions(); n != c.letGo {
			c.log.SchedulerLine(fmt.Sprintf("map versions at their bound: %d let go, %d in all", n-c.letGo, n))
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

// OtherProcessActive tells that another process of the aggregator serves beside this one (see scheduler.Balancer.Shares).
func (c *Core) OtherProcessActive() { c.module.OtherProcessActive(c.clock.Now()) }
