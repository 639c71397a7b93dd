package core

import (
	"container/heap"

	"ternstage/internal/decision/scheduler"
)

var _ scheduler.Actions = (*Core)(nil)

// Send starts the next attempt of a part. A timeoutMs of 0 stands for the request's deadline. An attempt that exceeds
// the limit of attempts, or whose deadline has passed, is not sent and ends as NotSent. Like the methods below, Send
// implements scheduler.Actions, and only the scheduler may call it.
func (c *Core) Send(partID uint64, replica uint32, timeoutMs float64) {
	part := c.parts[partID]
	if part == nil {
		return
	}
	now := c.clock.Now()
	deadline := part.request.Deadline
	if timeoutMs != 0 {
		deadline = min(deadline, now+timeoutMs)
	}
	attempt := c.newAttempt(now, part, replica, deadline)
	part.attempts = append(part.attempts, attempt)
	c.inFlight[attemptKey{partID, attempt.number}] = attempt
	exhausted := c.maxAttempts > 0 && attempt.number >= c.maxAttempts
	if exhausted || deadline <= now {
		c.AttemptEndedLater(attempt, scheduler.NotSent)
		return
	}
	heap.Push(&c.deadlines, attempt)
	c.transport.Send(attempt)
}

// Cancel stops waiting for an attempt. A non-idempotent attempt whose client has disconnected is left to end by
// itself if it has begun: see handleDisconnect.
func (c *Core) Cancel(partID uint64, number int) {
	attempt := c.inFlight[attemptKey{partID, number}]
	if attempt == nil || attempt.ended {
		return
	}
	if attempt.NonIdempotent && attempt.part.request.disconnected {
		withdrawn := c.transport.Withdraw(attempt)
		if !withdrawn {
			return
		}
	}
	c.transport.Abandon(attempt)
	c.AttemptEndedLater(attempt, scheduler.Cancelled)
}

// CloseIdleConnections closes the idle connections to a backend.
func (c *Core) CloseIdleConnections(replica uint32) { c.transport.CloseIdleConnections(replica) }

// Answer ends a request with the values that have arrived.
func (c *Core) Answer(queryID uint64, complete bool) {
	c.endRequest(queryID, Answer{Kind: Answered, Complete: complete})
}

// Reject ends a request. The client may retry after the given time.
func (c *Core) Reject(queryID uint64, retryAfterMs float64) {
	c.endRequest(queryID, Answer{Kind: Rejected, RetryAfter: retryAfterMs})
}

// Fail ends a request as failed: its parts may have run.
func (c *Core) Fail(queryID uint64) { c.endRequest(queryID, Answer{Kind: Failed}) }

// SetTimer requests TimerFired after the given time. A pending request for an earlier time stays in effect.
func (c *Core) SetTimer(afterMs float64) { c.timerAt = min(c.timerAt, c.clock.Now()+afterMs) }

// WatchEndpoints subscribes to changes of the endpoint list.
func (c *Core) WatchEndpoints() { c.endpoints.Watch() }

// Log writes a line of the scheduler to the log.
func (c *Core) Log(text string) { c.log.SchedulerLine(text) }
