package core

import (
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// clientPart is a part as its client named it, under resharding. Its segments are the parts that are dispatched.
type clientPart struct {
	Part
	coverage *shardmap.Coverage // the buckets that it asks for, and which of them have arrived
	number   int                // in the order of Request.Parts, from 1; the scheduler's atomic group
}

// segmentState is what a dispatched part is under resharding: buckets of a client's part that one shard holds. Where
// they may go, and what of them has arrived, the shard map decides.
type segmentState struct {
	shardmap.Segment
	clientPart      *clientPart // the client's part that it belongs to
	notHolderStreak int         // consecutive attempts that ended as NotHolder
	resumeEpoch     uint64      // the epoch that ends its pause; 0 if it does not wait for one
}

// admitSegments binds a request to the map in use and hands its segments to the scheduler.
func (c *Core) admitSegments(now float64, request *Request) {
	request.mapVersion = c.shardMap.Acquire()
	var buffer [routeBufferSize]shardmap.Segment
	for _, clientPart := range request.clientParts {
		for _, segment := range c.shardMap.Route(buffer[:0], clientPart.Shard, clientPart.coverage.Range) {
			part := c.addSegment(request, clientPart, segment)
			c.scheduler.PartArrived(now, part.schedulerPart())
		}
	}
}

// addSegment adds a segment of a client's part to a request. Weight and cost are shared out by number of buckets.
func (c *Core) addSegment(request *Request, clientPart *clientPart, segment shardmap.Segment) *partState {
	c.lastID++
	ratio := float64(segment.Size()) / float64(clientPart.coverage.Size())
	part := &partState{
		Part:    clientPart.Part,
		id:      c.lastID,
		request: request,
		segment: &segmentState{Segment: segment, clientPart: clientPart},
	}
	part.Shard = segment.Shard
	part.Weight = clientPart.Weight * ratio
	part.CostHint = clientPart.CostHint * ratio
	request.parts = append(request.parts, part)
	c.parts[part.id] = part
	c.partsByShard[segment.Shard] = append(c.partsByShard[segment.Shard], part)
	return part
}

// unlinkSegment removes a part from what changes of the map look at. It does nothing where placement is fixed.
func (c *Core) unlinkSegment(part *partState) {
	if part.segment == nil {
		return
	}
	same := func(p *partState) bool { return p == part }
	remaining := slices.DeleteFunc(c.partsByShard[part.Shard], same)
	if len(remaining) == 0 {
		delete(c.partsByShard, part.Shard)
	} else {
		c.partsByShard[part.Shard] = remaining
	}
	if part.segment.resumeEpoch > 0 {
		part.segment.resumeEpoch = 0
		c.pausedParts = slices.DeleteFunc(c.pausedParts, same)
	}
}

// countArrival counts the buckets of a part that has arrived, each once. It does nothing where placement is fixed.
func (c *Core) countArrival(part *partState) {
	if part.segment == nil {
		return
	}
	if _, err := part.segment.clientPart.coverage.Arrived(part.segment.Range); err != nil {
		c.reshardingStats.Duplicates++
		c.log.SchedulerLine(err.Error())
	}
}

// handleNotHolder counts how often in a row a part's backends did not hold its shard. After such an outcome it has the
// shard map read if the backend knows a newer one, and pauses the part until then. It returns the time in ms for which
// the part is not retried, 0 after any other outcome.
func (c *Core) handleNotHolder(attempt *Attempt, outcome scheduler.Outcome) float64 {
	part := attempt.part
	segment := part.segment
	if segment == nil {
		return 0
	}
	if outcome != scheduler.NotHolder {
		segment.notHolderStreak = 0
		return 0
	}
	segment.notHolderStreak++
	wait := c.shardMap.OnNotHolder(segment.Segment, attempt.Epoch, attempt.BackendEpoch, segment.notHolderStreak)
	if wait.ReadEpoch > 0 {
		c.onNewerMap(wait.ReadEpoch)
	}
	if wait.UntilEpoch > 0 && segment.resumeEpoch == 0 && c.parts[part.id] == part {
		segment.resumeEpoch = wait.UntilEpoch
		c.pausedParts = append(c.pausedParts, part)
	}
	if wait.DelayMs > 0 {
		c.reshardingStats.Paused++
	}
	return wait.DelayMs
}

// reroutePart replaces a part whose shard no longer holds its buckets by parts of the shards that do, if a retry of it is
// allowed. A part of which an attempt is in flight is looked at when that ends. It does nothing where placement is
// fixed.
func (c *Core) reroutePart(now float64, part *partState) {
	if part.segment == nil || part.arrived || c.parts[part.id] != part || part.hasAttemptInFlight() {
		return
	}
	var buffer [routeBufferSize]shardmap.Segment
	segments, decision := c.shardMap.Reroute(buffer[:0], part.segment.Segment, part.request.nonIdempotent,
		part.mayHaveRun())
	if decision == shardmap.ReplaceSegments {
		c.replacePart(now, part, segments)
	}
}

// replacePart puts parts for these segments, which are the same buckets, in the place of a part. What was attempted of
// it counts for each of them. The part stays if the scheduler does not replace it.
func (c *Core) replacePart(now float64, part *partState, segments []shardmap.Segment) {
	clientPart := part.segment.clientPart
	replacements := make([]*partState, 0, len(segments))
	schedulerParts := make([]scheduler.Part, 0, len(segments))
	for _, segment := range segments {
		replacement := c.addSegment(part.request, clientPart, segment)
		replacement.attempts = slices.Clone(part.attempts)
		replacements = append(replacements, replacement)
		schedulerParts = append(schedulerParts, replacement.schedulerPart())
	}
	replaced := c.scheduler.ReplacePart(now, part.id, schedulerParts)
	if !replaced {
		for _, replacement := range replacements {
			c.dropPart(replacement)
		}
		return
	}
	if err := clientPart.coverage.Replace(part.segment.Range, segments); err != nil {
		panic(err) // the map has routed the same buckets
	}
	c.dropPart(part)
	c.openCount += len(segments) - 1
	c.reshardingStats.Replaced++
	if len(segments) > 1 {
		c.reshardingStats.Split++
	}
}

// dropPart removes a part from its request.
func (c *Core) dropPart(part *partState) {
	delete(c.parts, part.id)
	c.unlinkSegment(part)
	part.request.removePart(part)
}
