package backendpool

import (
	"fmt"
	"math"
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
)

const (
	// idleCloseRatio is the fraction of the backend's idle timeout after which the broker closes an idle connection.
	// If the backend closed it while a call is on its way, the call would be lost with a reset.
	idleCloseRatio = 0.9
	// idleCloseMarginMs is the minimum time before the backend's idle timeout at which the broker closes an idle
	// connection.
	idleCloseMarginMs = 1500.0
	// maxFrameDurationMs is the maximum time from the first byte of a frame to its last. A slower frame is malformed.
	maxFrameDurationMs = 300.0
)

// enforceTimeouts enforces the due timeouts of all connections and removes the state of backends that are no longer
// in the endpoint list and have neither connections nor unplaced attempts.
func (p *Pool) enforceTimeouts() {
	now := p.loop.Now()
	for _, backend := range p.backends {
		for _, c := range slices.Clone(backend.connections) {
			c.enforceTimeouts(now)
		}
		if len(backend.connections) == 0 && len(backend.unplaced) == 0 && p.address(backend.replica) == "" {
			delete(p.backends, backend.replica)
		}
	}
	p.armTimer()
}

// armTimer sets the pool's only timer to the earliest timeout.
func (p *Pool) armTimer() {
	earliest := math.Inf(1)
	for _, backend := range p.backends {
		for _, c := range backend.connections {
			earliest = min(earliest, c.nextTimeout())
		}
	}
	p.timer.Set(earliest)
}

// enforceTimeouts enforces one due timeout. If others are due, the timer fires again for them.
func (c *connection) enforceTimeouts(now float64) {
	switch {
	case !c.established && now >= c.dialDeadline:
		c.close(logs.BackendDialTimeout, nil)
	case c.pendingRejection != nil && now >= c.rejectionDueAt:
		c.reportPendingRejection()
	case now >= c.frameDeadline:
		c.closeMalformed(nil, fmt.Errorf("%w: incomplete after %v ms", errMalformedFrame, maxFrameDurationMs))
	case len(c.calls) == 0 && c.retireReason != "":
		c.close(c.retireReason, nil)
	case len(c.calls) == 0 && now >= c.idleCloseAt:
		c.close(logs.BackendIdle, nil)
	case now >= c.startDeadline():
		c.endStalledWrites(now)
	}
}

// nextTimeout returns the time of the connection's earliest timeout, or +Inf if it has none.
func (c *connection) nextTimeout() float64 {
	next := c.startDeadline()
	if c.established {
		next = min(next, c.idleCloseAt, c.frameDeadline)
	} else {
		next = min(next, c.dialDeadline)
	}
	if c.pendingRejection != nil {
		next = min(next, c.rejectionDueAt)
	}
	if c.retireReason != "" && len(c.calls) == 0 {
		next = min(next, c.pool.loop.Now())
	}
	return next
}

// scheduleIdleClose sets the time at which the connection is closed as idle, or +Inf if it has calls. It also retires
// an idle connection that exceeds the connection limit.
func (c *connection) scheduleIdleClose() {
	c.idleCloseAt = math.Inf(1)
	if len(c.calls) > 0 {
		return
	}
	now := c.pool.loop.Now()
	if c.backend.usableConnections() > c.pool.connectionLimit.current(now) {
		c.retire(logs.BackendConnectionLimit)
	}
	idleTimeoutMs := c.pool.options.IdleTimeoutMs
	c.idleCloseAt = now + max(min(idleTimeoutMs*idleCloseRatio, idleTimeoutMs-idleCloseMarginMs), 0)
}

// startDeadline returns the earliest StartBy of the parts whose frames are not completely written, or +Inf if there
// are none.
func (c *connection) startDeadline() float64 {
	deadline := math.Inf(1)
	if len(c.unencoded) == 0 && (len(c.calls) == 0 || len(c.stream.Out) == 0) {
		return deadline // the common case, which need not iterate over the calls
	}
	for _, call := range c.calls {
		if c.isWritten(call) {
			continue
		}
		for _, part := range call.parts {
			// A part that ended after it was encoded is still in the frame, so its StartBy applies.
			if !part.ended || call.isEncoded() {
				deadline = min(deadline, part.attempt.StartBy)
			}
		}
	}
	return deadline
}

// endStalledWrites ends the parts that were not written by their StartBy and retires the connection. If the frame of
// such a part is already encoded, it closes the connection, because that is the only way to keep the backend from
// receiving the rest of the frame.
func (c *connection) endStalledWrites(now float64) {
	expired := func(part *part) bool { return now >= part.attempt.StartBy }
	for _, call := range c.calls {
		if call.endOffset > c.stream.BytesWritten && slices.ContainsFunc(call.parts, expired) {
			c.close(logs.BackendWriteStalled, nil)
			return
		}
	}
	c.retire(logs.BackendWriteStalled)
	c.expireUnencoded(now)
}

// expireUnencoded ends the parts of unencoded calls whose StartBy has passed, as ConnectFailed.
func (c *connection) expireUnencoded(now float64) {
	// A clone, because removePart removes calls from the list.
	for _, call := range slices.Clone(c.unencoded) {
		for _, part := range call.parts {
			if !part.ended && now >= part.attempt.StartBy {
				part.ended = true
				c.removePart(part)
				c.pool.core.AttemptEndedLater(part.attempt, scheduler.ConnectFailed)
			}
		}
	}
}
