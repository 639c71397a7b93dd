package core

import (
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// clientPart is a part as its client named it, under resharding. Core dispatches its segments as separate parts.
type clientPart struct {
	Part
	coverage *shardmap.Coverage // the part's buckets, and which of them have arrived
	number   int                // position in Request.Parts, from 1; also the scheduler's atomic group
}

// segmentState describes a dispatched part under resharding: the buckets of a client's part that one shard holds.
// Package shardmap decides where the segment may be sent, and tracks which buckets have arrived.
type segmentState struct {
	shardmap.Segment
	clientPart           *clientPart // the client's part that the segment belongs to
	consecutiveNotHolder int         // number of consecutive attempts that ended as NotHolder
	resumeEpoch          uint64      // epoch of the map that ends the pause; 0 if the segment does not wait for one
}

// admitSegments binds a request to the map in use and passes its segments to the scheduler as parts.
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

// addSegment adds a segment of a client's part to a request, as a part of its own. Weight and cost hint are divided
// in proportion to the number of buckets.
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

// unlinkSegment removes a part from the indexes that map changes use: partsByShard and pausedParts. It does nothing
// where placement is fixed.
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

// countArrival records the buckets of a part that has arrived. It counts a duplicate and logs a line if the buckets
// had arrived before. It does nothing where placement is fixed.
func (c *Core) countArrival(part *partState) {
	if part.segment == nil {
		return
	}
	if _, err := part.segment.clientPart.coverage.Arrived(part.segment.Range); err != nil {
		c.reshardingStats.Duplicates++
		c.log.SchedulerLine(err.Error())
	}
}

// handleNotHolder counts the consecutive attempts of a part that ended as NotHolder. After such an outcome the shard
// map decides whether a newer map is requested, and whether the part pauses until that map is in use. handleNotHolder
// returns the longest time, in ms, for which the part is not retried, and 0 after any other outcome.
func (c *Core) handleNotHolder(attempt *Attempt, outcome scheduler.Outcome) float64 {
	part := attempt.part
	segment := part.segment
	if segment == nil {
		return 0
	}
	if outcome != scheduler.NotHolder {
		segment.consecutiveNotHolder = 0
		return 0
	}
	segment.consecutiveNotHolder++
	wait := c.shardMap.OnNotHolder(segment.Segment, attempt.Epoch, attempt.BackendEpoch, segment.consecutiveNotHolder)
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

// reroutePart replaces a part whose shard no longer holds its buckets by parts of the shards that do, if a retry is
// allowed. A part with an attempt in flight is not replaced until the attempt has ended. reroutePart does nothing
// where placement is fixed.
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

// replacePart replaces a part by one part for each of the given segments, which make up the same buckets. Each
// replacement takes over the attempts of the part. The part remains if the scheduler does not replace it.
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
		panic(err) // cannot happen: the map routed the same buckets
	}
	c.dropPart(part)
	c.openCount += len(segments) - 1
	c.reshardingStats.Replaced++
	if len(segments) > 1 {
		c.reshardingStats.Split++
	}
}

// dropPart removes a part from its request and from the indexes of parts.
func (c *Core) dropPart(part *partState) {
	delete(c.parts, part.id)
	c.unlinkSegment(part)
	part.request.removePart(part)
}
