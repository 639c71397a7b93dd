package core

import (
	"cmp"
	"slices"

	"ternstage/internal/decision/scheduler"
)

// endRequest ends an open request with its final answer. It does nothing if the request has ended.
func (c *Core) endRequest(queryID uint64, answer Answer) {
	request := c.openRequests[queryID]
	if request == nil {
		return
	}
	if request.mapVersion != nil {
		answer.Epoch = request.mapVersion.Epoch
	}
	if answer.Kind == Answered {
		answer.Values = c.arrivedValues(request)
	}
	answer.TimedOut = answer.Kind == Failed && request.hasTimedOut()
	c.removeRequest(request)
	c.deliverAnswer(request, answer)
}

// deliverAnswer counts and logs a final answer, and passes it to the client unless the client has disconnected.
func (c *Core) deliverAnswer(request *Request, answer Answer) {
	c.counts.add(answer.Kind)
	c.log.RequestEnded(request, answer)
	if !request.disconnected {
		request.Client.Deliver(answer)
	}
}

// arrivedValues returns the values that have arrived for a request and count in its answer.
func (c *Core) arrivedValues(request *Request) []Value {
	if c.shardMap != nil {
		return request.completeValues()
	}
	var values []Value
	for _, p := range request.parts {
		if p.arrived {
			values = append(values, Value{Shard: p.Shard, Doc: p.value})
		}
	}
	return values
}

// completeValues returns the values of the client's parts whose buckets have all arrived, in the order of the
// client's parts and of the buckets. A part with missing buckets does not count at all.
func (r *Request) completeValues() []Value {
	parts := slices.Clone(r.parts)
	slices.SortFunc(parts, func(x, y *partState) int {
		return cmp.Or(cmp.Compare(x.segment.clientPart.number, y.segment.clientPart.number),
			cmp.Compare(x.segment.Start, y.segment.Start))
	})
	var values []Value
	for _, p := range parts {
		if p.segment.clientPart.coverage.Complete() {
			values = append(values, Value{Shard: p.segment.clientPart.Shard, Buckets: p.segment.Range, Doc: p.value})
		}
	}
	return values
}

// removeRequest removes a request from the open requests, withdraws its parts, and releases its version of the shard
// map.
func (c *Core) removeRequest(request *Request) {
	delete(c.openRequests, request.queryID)
	delete(c.openRequestIDs, request.ID)
	c.withdrawParts(request)
	if request.mapVersion != nil {
		c.shardMap.Release(request.mapVersion)
		request.mapVersion = nil // a front may keep the request for longer, and must not keep the map in memory with it
	}
	c.openCount -= 1 + len(request.parts)
}

// withdrawParts prevents any further attempt of a request from beginning, and withdraws the attempts that the
// transport has not begun. It does so even if the settings forbid cancelling attempts that have begun.
func (c *Core) withdrawParts(request *Request) {
	for _, p := range request.parts {
		delete(c.parts, p.id)
		c.unlinkSegment(p)
		for _, attempt := range p.attempts {
			if attempt.ended {
				continue
			}
			withdrawn := c.transport.Withdraw(attempt)
			if withdrawn {
				c.AttemptEndedLater(attempt, scheduler.Cancelled)
			}
		}
	}
}
