package backendpool

import (
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
)

// immediateLossMs separates what happens at once from what happens later: a connection that breaks within it after a
// call was placed broke because it was used, and one that ends within it after a rejection ended with the rejection.
const immediateLossMs = 5.0

// close ends the connection and every part in flight on it. A part whose frame was not completely written never ran;
// any other may have. A repeated call does nothing.
func (c *connection) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.stream.Close()
	c.pool.connectionCount--
	connectionOnly := c.attributeLoss(code)
	c.backend.connections = slices.DeleteFunc(c.backend.connections, func(other *connection) bool { return other == c })
	c.pool.log.ConnectionEnded(code, c.backend.address, c.partsAnswered, err)
	for _, call := range c.calls {
		outcome := c.lossOutcome(call, code)
		for _, part := range call.parts {
			if !part.ended {
				c.endLostPart(part, outcome, code, connectionOnly)
			}
		}
	}
	c.calls = nil
	c.unencoded = nil
}

// lossOutcome is the outcome of the parts of a call whose connection was closed for the reason code.
func (c *connection) lossOutcome(call *call, code logs.Code) scheduler.Outcome {
	switch {
	case !c.isWritten(call):
		return scheduler.ConnectFailed
	case code == logs.BackendMalformedFrame || code == logs.BackendUnresponsive:
		return scheduler.Cancelled // closed by the broker
	}
	return scheduler.ConnectionReset
}

// endLostPart ends a part with its connection. A pending rejection is reported as such, and attributed to the
// connection limit if it was the backend that ended the connection.
func (c *connection) endLostPart(part *part, outcome scheduler.Outcome, code logs.Code, connectionOnly bool) {
	part.ended = true
	part.attempt.ConnectionOnly = connectionOnly
	if part == c.pendingRejection {
		outcome = scheduler.Rejected
		if code == logs.BackendClosed || code == logs.BackendReset {
			c.attributeToConnectionLimit(part)
		}
	}
	c.pool.core.AttemptEndedLater(part.attempt, outcome)
}

// attributeLoss reports whether only this connection broke while the backend is up: either it broke as soon as it was
// used after being idle, where the end of a process would have shown before, or another connection to the backend is
// open. The former is recorded for idleRisk. Without this a backend would count as lost, and as warming up once it
// serves again.
func (c *connection) attributeLoss(code logs.Code) (connectionOnly bool) {
	if code != logs.BackendReset && code != logs.BackendClosed && code != logs.BackendConnectFailed {
		return false
	}
	now := c.pool.loop.Now()
	if len(c.calls) == 1 && c.calls[0].isEncoded() {
		only := c.calls[0]
		if now-only.sentAt < immediateLossMs && only.idleBeforeMs > immediateLossMs {
			c.pool.idleRisk.record(now, only.idleBeforeMs, true)
			return true
		}
	}
	return slices.ContainsFunc(c.backend.connections, func(other *connection) bool {
		return other != c && other.established && other.stream.PeerOpen()
	})
}

// closeMalformed closes a connection on which a malformed frame came: what follows it cannot be trusted. The part that
// the frame was for, or else the oldest in flight, has failed and may have run. So may the others have, of which
// the backend is not blamed.
func (c *connection) closeMalformed(part *part, err error) {
	if part == nil {
		part = c.oldestPart()
	}
	if part != nil && !part.ended {
		part.ended = true
		c.pool.core.AttemptEnded(part.attempt, scheduler.Failed, nil)
	}
	c.close(logs.BackendMalformedFrame, err)
}

// oldestPart returns the part that has been in flight longest; nil without one.
func (c *connection) oldestPart() *part {
	for _, call := range c.calls {
		if !call.isEncoded() {
			continue
		}
		for _, part := range call.parts {
			if !part.ended {
				return part
			}
		}
	}
	return nil
}
