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

// behindRetryAfterMs is in how many ms a client may come again whose map is newer than ours: a read of the map on a
// hint takes less.
const behindRetryAfterMs = 100.0

// clientPart is a part as its client named it.
type clientPart struct {
	Part
	*slicemap.Coverage
	number int
}

// segment is what a part is where slices move: districts of a unit that one slice holds.
type segment struct {
	slicemap.Segment
	clientPart      *clientPart
	notHolderStreak int    // answers in a row that the node does not hold it
	resumeEpoch     uint64 // the epoch that ends its pause
}

// ReshardingStats counts what became of parts that a change of the map caught.
type ReshardingStats struct {
	Replaced   uint64 `json:"parts_replaced"`  // went on as parts of other slices
	Split      uint64 `json:"parts_split"`     // of those: became more than one
	InFlight   uint64 `json:"parts_caught"`    // were out when their slice changed or was retired
	Paused     uint64 `json:"parts_paused"`    // a node did not hold them, and they waited
	Duplicates uint64 `json:"counted_twice"`   // answers thrown away as their districts were in already
	Stale      uint64 `json:"stale_requests"`  // named slices that cannot be understood
	Behind     uint64 `json:"behind_requests"` // named slices of a newer map than ours: refused
}

// ReshardingStats counts since the start.
func (c *Core) ReshardingStats() ReshardingStats { return c.resharding }

// OnNewerMap sets who is told that a newer map is known somewhere: of that epoch, or 0 if that is not known.
func (c *Core) OnNewerMap(f func(epoch uint64)) { c.onNewerMap = f }

// OnMapChanged sets who is told of each map that is taken into use.
func (c *Core) OnMapChanged(f func(*slicemap.Version)) { c.onMapChanged = f }

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
	epoch := c.shardMap.Current().Epoch
	if r.Epoch > epoch {
		c.onNewerMap(r.Epoch) // the client has seen a newer map than we have
	}
	if epoch == 0 {
		return 0, nil
	}
	ranges := make([]slicemap.Range, 0, len(r.Parts))
	r.clientParts = make([]*clientPart, 0, len(r.Parts))
	var buf [8]slicemap.Segment
	for i, p := range r.Parts {
		d, err := c.shardMap.Resolve(p.Shard)
		if err != nil && r.Epoch > epoch {
			c.resharding.Behind++
			return 0, nil
		}
		if err != nil {
			c.resharding.Stale++
			return 0, &StaleEpochError{epoch, err}
		}
		out := c.shardMap.Route(buf[:0], p.Shard, d)
		legs += len(out)
		r.clientParts = append(r.clientParts, &clientPart{Part: p, Coverage: slicemap.NewCoverage(d, out), number: i + 1})
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

// beginSegments binds a request to the map in use and hands its parts to the module.
func (c *Core) beginSegments(now float64, r *Request) {
	r.version = c.shardMap.Acquire()
	var buf [8]slicemap.Segment
	for _, u := range r.clientParts {
		for _, l := range c.shardMap.Route(buf[:0], u.Shard, u.Range) {
			x := c.addSegment(r, u, l)
			c.scheduler.PartArrived(now, x.schedulerPart(int(r.queryID)))
		}
	}
}

// addSegment makes the part of a request that asks one slice for districts of a unit. Weight and cost go by
// districts.
func (c *Core) addSegment(r *Request, u *clientPart, l slicemap.Segment) *part {
	c.nextID++
	share := float64(l.Size()) / float64(u.Size())
	x := &part{Part: u.Part, id: c.nextID, request: r, segment: &segment{Segment: l, clientPart: u}}
	x.Shard, x.Weight, x.CostHint = l.Shard, u.Weight*share, u.CostHint*share
	r.parts, c.parts[x.id] = append(r.parts, x), x
	c.partsByShard[l.Shard] = append(c.partsByShard[l.Shard], x)
	return x
}

// schedulerPart is the part as the module hears of it.
func (p *part) schedulerPart(group int) scheduler.Part {
	return scheduler.Part{ID: p.id, QueryGroup: group, Shard: p.Shard, Key: p.Key, Weight: p.Weight, CostHint: p.CostHint,
		HasCostHint: p.HasCostHint, AtomicGroup: p.clientPart.number}
}

// unlinkSegment forgets a part's place under its slice.
func (c *Core) unlinkSegment(p *part) {
	if p.segment == nil {
		return
	}
	list := c.partsByShard[p.Shard]
	if list = slices.DeleteFunc(list, func(x *part) bool { return x == p }); len(list) == 0 {
		delete(c.partsByShard, p.Shard)
	} else {
		c.partsByShard[p.Shard] = list
	}
	if p.resumeEpoch > 0 {
		p.resumeEpoch = 0
		c.paused = slices.DeleteFunc(c.paused, func(x *part) bool { return x == p })
	}
}

// segmentArrived counts a part that is in.
func (c *Core) segmentArrived(p *part) {
	if p.segment == nil {
		return
	}
	if _, err := p.clientPart.Arrived(p.Range); err != nil {
		c.resharding.Duplicates++
		c.log.SchedulerLine(err.Error())
	}
}

// collectValues are those of the units that are in whole: half a part counts for nothing.
func (c *Core) collectValues(r *Request, a *Answer) {
	if r.version != nil {
		a.Epoch = r.version.Epoch
	}
	if a.Kind != Answered {
		return
	}
	parts := slices.Clone(r.parts)
	slices.SortFunc(parts, func(x, y *part) int {
		return cmp.Or(cmp.Compare(x.clientPart.number, y.clientPart.number), cmp.Compare(x.Start, y.Start))
	})
	for _, p := range parts {
		if p.clientPart.Complete() {
			a.Values = append(a.Values, Value{p.clientPart.Shard, p.Range, p.value})
		}
	}
}

// retryDelay is for how long a part that a node does not hold is not tried again.
func (c *Core) retryDelay(a *Attempt, o scheduler.Outcome) float64 {
	p := a.part
	if p.segment == nil {
		return 0
	}
	if o != scheduler.NotHolder {
		p.notHolderStreak = 0
		return 0
	}
	p.notHolderStreak++
	w := c.shardMap.OnNotHolder(p.Segment, a.Epoch, a.BackendEpoch, p.notHolderStreak)
	if w.ReadEpoch > 0 {
		c.onNewerMap(w.ReadEpoch)
	}
	if w.UntilEpoch > 0 && p.resumeEpoch == 0 && c.parts[p.id] == p {
		p.resumeEpoch = w.UntilEpoch
		c.paused = append(c.paused, p)
	}
	if w.Delay > 0 {
		c.resharding.Paused++
	}
	return w.Delay
}

// reroute puts parts of other slices in the place of one whose slice is no more, if a further try of it is
// allowed and none is out.
func (c *Core) reroute(now float64, p *part) {
	if c.parts[p.id] != p || p.arrived || p.segment == nil {
		return
	}
	mayHaveRun := false
	for _, a := range p.attempts {
		if !a.ended {
			return // it is looked at when that ends
		}
		mayHaveRun = mayHaveRun || a.outcome < scheduler.Rejected
	}
	var buf [8]slicemap.Segment
	legs, verdict := c.shardMap.Reroute(buf[:0], p.Segment, p.request.nonIdempotent, mayHaveRun)
	if verdict != slicemap.ReplaceSegments {
		return
	}
	r, u := p.request, p.clientPart
	parts, told := make([]*part, 0, len(legs)), make([]scheduler.Part, 0, len(legs))
	for _, l := range legs {
		x := c.addSegment(r, u, l)
		x.attempts = slices.Clone(p.attempts)
		parts, told = append(parts, x), append(told, x.schedulerPart(int(r.queryID)))
	}
	drop := func(x *part) {
		delete(c.parts, x.id)
		c.unlinkSegment(x)
		r.parts = slices.DeleteFunc(r.parts, func(y *part) bool { return y == x })
	}
	if !c.scheduler.ReplacePart(now, p.id, told) {
		for _, x := range parts {
			drop(x)
		}
		return
	}
	if err := u.Replace(p.Range, legs); err != nil {
		panic(err) // the map's own route of the same districts
	}
	drop(p)
	c.openCount += len(legs) - 1
	if c.resharding.Replaced++; len(legs) > 1 {
		c.resharding.Split++
	}
}

// applyMapChange tells that the map has changed: retired are the slices that are in it no more.
func (c *Core) applyMapChange(retired []slicemap.ShardID) {
	now, epoch := c.clock.Now(), c.shardMap.Current().Epoch
	c.scheduler.PlacementChanged()
	for _, id := range retired {
		for _, p := range slices.Clone(c.partsByShard[id]) {
			if n := len(p.attempts); n > 0 && !p.attempts[n-1].ended {
				c.resharding.InFlight++
			}
			c.reroute(now, p)
		}
	}
	c.paused = slices.DeleteFunc(c.paused, func(p *part) bool {
		if p.resumeEpoch > epoch {
			return false
		}
		p.resumeEpoch = 0
		c.scheduler.ResumePart(p.id)
		return true
	})
	c.clock.WakeAt(0) // what waited is decided on now
}

// ApplySnapshot takes a whole map; an error tells that it was refused and the one in use stays.
func (c *Core) ApplySnapshot(w slicemap.Snapshot) error {
	retired, err := c.shardMap.Reset(w)
	return c.mapApplied(retired, err)
}

// ApplyChanges takes changes of the map, all or none. nodes are what may hold slices; none: any.
func (c *Core) ApplyChanges(cs []slicemap.Change, nodes []string) error {
	retired, err := c.shardMap.Apply(cs, nodes)
	return c.mapApplied(retired, err)
}

func (c *Core) mapApplied(retired []slicemap.ShardID, err error) error {
	if err == nil && c.Epoch() != c.notifiedEpoch {
		c.notifiedEpoch = c.Epoch()
		c.applyMapChange(retired)
		if n := c.shardMap.DroppedVersions(); n != c.droppedVersions {
			c.log.SchedulerLine(fmt.Sprintf("map versions at their bound: %d let go, %d in all", n-c.droppedVersions, n))
			c.droppedVersions = n
		}
		if c.onMapChanged != nil {
			c.onMapChanged(c.shardMap.Current())
		}
	}
	return err
}

// Epoch is that of the map in use.
func (c *Core) Epoch() uint64 { return c.shardMap.Current().Epoch }

// HandOver ends what this process sends to cold replicas and gives what it sent to them in the window of
// their allowance, for the process that takes over (see scheduler.Balancer.HandOver).
func (c *Core) HandOver() []scheduler.WarmupSend { return c.scheduler.HandOver(c.clock.Now()) }

// TakeOver counts what the process that handed over sent to cold replicas, and ends the wait of the first
// window after a start (see scheduler.Balancer.TakeOver).
func (c *Core) TakeOver(sent []scheduler.WarmupSend) { c.scheduler.TakeOver(c.clock.Now(), sent) }

// OtherProcessActive tells that another process of the aggregator serves beside this one (see scheduler.Balancer.Shares).
func (c *Core) OtherProcessActive() { c.scheduler.OtherProcessActive(c.clock.Now()) }
