package core

import (
	"cmp"
	"slices"

	"ternstage/internal/decision/scheduler"
)

// finish gives the final answer of an open request; it does nothing if the request has ended.
func (c *Core) finish(queryID uint64, answer Answer) {
	request := c.requests[queryID]
	if request == nil {
		return
	}
	if request.version != nil {
		answer.Epoch = request.version.Epoch
	}
	if answer.Kind == Answered {
		answer.Values = c.values(request)
	}
	answer.TimedOut = answer.Kind == Failed && request.outOfTime()
	c.forget(request)
	c.deliver(request, answer)
}

// deliver counts and logs a final answer and gives it to the client.
func (c *Core) deliver(request *Request, answer Answer) {
	c.counts.add(answer.Kind)
	c.log.RequestEnded(request, answer)
	if !request.disconnected {
		request.Client.Deliver(answer)
	}
}

// values are the values that have arrived for a request.
func (c *Core) values(request *Request) []Value {
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

// completeValues are the values of the client's parts of which all buckets have arrived, in the order of the client's
// parts and of the buckets. A part of which some have not arrived counts for nothing.
func (r *Request) completeValues() []Value {
	parts := slices.Clone(r.parts)
	slices.SortFunc(parts, func(x, y *partState) int {
		return cmp.Or(cmp.Compare(x.segment.asked.number, y.segment.asked.number),
			cmp.Compare(x.segment.Start, y.segment.Start))
	})
	var values []Value
	for _, p := range parts {
		if p.segment.asked.coverage.Complete() {
			values = append(values, Value{Shard: p.segment.asked.Shard, Buckets: p.segment.Range, Doc: p.value})
		}
	}
	return values
}

// forget drops an open request: nothing of it begins any more, and its version of the shard map is released.
func (c *Core) forget(request *Request) {
	delete(c.requests, request.queryID)
	delete(c.requestIDs, request.ID)
	c.withdrawParts(request)
	if request.version != nil {
		c.shardMap.Release(request.version)
		request.version = nil // a front may hold the request for longer, and must not hold the map with it
	}
	c.openCount -= 1 + len(request.parts)
}

// withdrawParts keeps all parts of a request from beginning: attempts that the transport has not begun are taken back,
// whether or not the settings allow to cancel those that have begun.
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
