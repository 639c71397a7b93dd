package core

import (
	"container/heap"

	"ternstage/internal/decision/scheduler"
)

// Send implements scheduler.Actions; so do the methods below.
func (c *Core) Send(id uint64, node uint32, timeout float64) {
	p, now := c.parts[id], c.clock.Now()
	if p == nil {
		return
	}
	deadline := p.request.Deadline
	if timeout != 0 {
		deadline = min(deadline, now+timeout)
	}
	a := &Attempt{Request: p.request.ID, Shard: p.Shard, Query: p.request.Query, IdempotencyKey: p.request.IdempotencyKey,
		Backend: node, Deadline: deadline,
		StartBy: c.startBy(now, p), NonIdempotent: p.request.nonIdempotent, part: p, number: len(p.attempts), sentAt: now, heapIndex: -1}
	if c.shardMap != nil {
		a.Buckets, a.Epoch = p.Range, c.shardMap.RoutingEpoch(p.Segment)
	}
	p.attempts = append(p.attempts, a)
	c.inFlight[attemptKey{id, a.number}] = a
	if c.maxAttempts > 0 && a.number >= c.maxAttempts || deadline <= now {
		c.AttemptEndedLater(a, scheduler.NotSent)
		return
	}
	heap.Push(&c.deadlines, a)
	c.backend.Send(a)
}

// startBy is until when an attempt that is decided now may begin: while the node may still be draining, and,
// for a repeat that is dropped only within the window of the first attempt, within that.
func (c *Core) startBy(now float64, p *partState) float64 {
	by, class := now+c.startWindow, &c.classes[p.request.Class]
	if class.Idempotency != scheduler.IdempotentWithKey {
		return by
	}
	for _, a := range p.attempts {
		if !a.ended || a.outcome < scheduler.Rejected {
			by = min(by, a.sentAt+class.DedupWindow)
		}
	}
	return by
}

// Cancel stops waiting for an attempt. One of a client that has gone and that must not run twice is left to
// end by itself, if it has begun (see leave).
func (c *Core) Cancel(id uint64, attempt int) {
	a := c.inFlight[attemptKey{id, attempt}]
	if a == nil || a.ended {
		return
	}
	if a.NonIdempotent && a.part.request.disconnected && !c.backend.Withdraw(a) {
		return
	}
	c.backend.Abandon(a)
	c.AttemptEndedLater(a, scheduler.Cancelled)
}

// CloseIdleConnections closes idle connections.
func (c *Core) CloseIdleConnections(node uint32) { c.backend.CloseIdleConnections(node) }

// Reject refuses a request.
func (c *Core) Reject(id uint64, after float64) {
	c.finish(id, Answer{Kind: Rejected, RetryAfter: after})
}

// SetTimer asks for a turn.
func (c *Core) SetTimer(after float64) { c.wakeAt = min(c.wakeAt, c.clock.Now()+after) }

// WatchEndpoints subscribes to the list.
func (c *Core) WatchEndpoints() { c.endpoints.Watch() }

// Log writes the module's line.
func (c *Core) Log(text string) { c.log.SchedulerLine(text) }

// Answer answers a request from the parts that are in.
func (c *Core) Answer(id uint64, whole bool) { c.finish(id, Answer{Kind: Answered, Complete: whole}) }

// Fail fails a request.
func (c *Core) Fail(id uint64) { c.finish(id, Answer{Kind: Failed}) }
