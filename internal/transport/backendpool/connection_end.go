package backendpool

import (
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
)

// immediateLossMs is the time within which the end of a connection is attributed to the event before it. A connection
// that breaks within this time after a call was placed broke because it was used. A connection that the backend
// closes within this time after a rejection was closed together with the rejection.
const immediateLossMs = 5.0

// close closes the connection and ends every part in flight on it. A part whose frame was not completely written has
// never run; any other part may have run. Closing a closed connection does nothing.
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

// lossOutcome returns the outcome for the parts of a call whose connection was closed for the reason code.
func (c *connection) lossOutcome(call *call, code logs.Code) scheduler.Outcome {
	switch {
	case !c.isWritten(call):
		return scheduler.ConnectFailed
	case code == logs.BackendMalformedFrame || code == logs.BackendUnresponsive:
		return scheduler.Cancelled // closed by the broker
	}
	return scheduler.ConnectionReset
}

// endLostPart ends a part whose connection was closed, with the given outcome. If the part's rejection is pending,
// the part ends as Rejected instead; the rejection is attributed to the connection limit if the backend closed or
// reset the connection.
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

// attributeLoss reports whether only this connection broke while the backend is up. There are two such cases:
//
//   - The connection broke as soon as it was used after an idle time. If the backend's process had ended, the
//     connection would have been closed earlier. attributeLoss records this case in idleRisk.
//   - Another connection to the backend is open.
//
// Without this distinction the backend would count as lost, and as warming up when it serves again.
func (c *connection) attributeLoss(code logs.Code) (connectionOnly bool) {
	if code != logs.BackendReset && code != logs.BackendClosed && code != logs.BackendConnectFailed {
		return false
	}
	now := c.pool.loop.Now()
	if len(c.calls) == 1 && c.calls[0].isEncoded() {
		onlyCall := c.calls[0]
		if now-onlyCall.sentAt < immediateLossMs && onlyCall.idleBeforeMs > immediateLossMs {
			c.pool.idleRisk.record(now, onlyCall.idleBeforeMs, true)
			return true
		}
	}
	return slices.ContainsFunc(c.backend.connections, func(other *connection) bool {
		return other != c && other.established && other.stream.PeerOpen()
	})
}

// closeMalformed closes a connection that received a malformed frame, because the input after it cannot be trusted.
// The part that the frame belongs to ends as Failed; if that part is unknown, the oldest part in flight does. The
// other written parts may have run too; they end as Cancelled, which does not count against the backend.
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

// oldestPart returns the encoded part that has been in flight longest, or nil if there is none.
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
