package core

import (
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

// segmentState is what a part is where slices move: districts of a unit that one slice holds.
type segmentState struct {
	slicemap.Segment
	clientPart      *clientPart
	notHolderStreak int    // answers in a row that the node does not hold it
	resumeEpoch     uint64 // the epoch that ends its pause
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
func (c *Core) addSegment(r *Request, u *clientPart, l slicemap.Segment) *partState {
	c.nextID++
	share := float64(l.Size()) / float64(u.Size())
	x := &partState{Part: u.Part, id: c.nextID, request: r, segmentState: &segmentState{Segment: l, clientPart: u}}
	x.Shard, x.Weight, x.CostHint = l.Shard, u.Weight*share, u.CostHint*share
	r.parts, c.parts[x.id] = append(r.parts, x), x
	c.partsByShard[l.Shard] = append(c.partsByShard[l.Shard], x)
	return x
}

// schedulerPart is the part as the module hears of it.
func (p *partState) schedulerPart(group int) scheduler.Part {
	return scheduler.Part{ID: p.id, QueryGroup: group, Shard: p.Shard, Key: p.Key, Weight: p.Weight, CostHint: p.CostHint,
		HasCostHint: p.HasCostHint, AtomicGroup: p.clientPart.number}
}

// unlinkSegment forgets a part's place under its slice.
func (c *Core) unlinkSegment(p *partState) {
	if p.segmentState == nil {
		return
	}
	list := c.partsByShard[p.Shard]
	if list = slices.DeleteFunc(list, func(x *partState) bool { return x == p }); len(list) == 0 {
		delete(c.partsByShard, p.Shard)
	} else {
		c.partsByShard[p.Shard] = list
	}
	if p.resumeEpoch > 0 {
		p.resumeEpoch = 0
		c.paused = slices.DeleteFunc(c.paused, func(x *partState) bool { return x == p })
	}
}

// segmentArrived counts a part that is in.
func (c *Core) segmentArrived(p *partState) {
	if p.segmentState == nil {
		return
	}
	if _, err := p.clientPart.Arrived(p.Range); err != nil {
		c.resharding.Duplicates++
		c.log.SchedulerLine(err.Error())
	}
}

// retryDelay is for how long a part that a node does not hold is not tried again.
func (c *Core) retryDelay(a *Attempt, o scheduler.Outcome) float64 {
	p := a.part
	if p.segmentState == nil {
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
func (c *Core) reroute(now float64, p *partState) {
	if c.parts[p.id] != p || p.arrived || p.segmentState == nil {
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
	parts, told := make([]*partState, 0, len(legs)), make([]scheduler.Part, 0, len(legs))
	for _, l := range legs {
		x := c.addSegment(r, u, l)
		x.attempts = slices.Clone(p.attempts)
		parts, told = append(parts, x), append(told, x.schedulerPart(int(r.queryID)))
	}
	drop := func(x *partState) {
		delete(c.parts, x.id)
		c.unlinkSegment(x)
		r.parts = slices.DeleteFunc(r.parts, func(y *partState) bool { return y == x })
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
