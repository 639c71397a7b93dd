package backendpool

import (
	"fmt"
	"math"
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
)

const (
	// idleCloseRatio is the part of the backend's idle timeout after which the broker closes an idle connection. A
	// close by the backend that crosses a call would reset it.
	idleCloseRatio = 0.9
	// idleCloseMarginMs is how long before the backend's idle timeout the broker closes at the latest.
	idleCloseMarginMs = 1500.0
	// maxFrameDurationMs is the time from the first byte of a frame to its last, beyond which it is malformed.
	maxFrameDurationMs = 300.0
)

// enforceTimeouts ends what is out of time and forgets backends that have left the endpoint list.
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

// enforceTimeouts carries out the first timeout that is due. What else is due follows when the timer fires again.
func (c *connection) enforceTimeouts(now float64) {
	switch {
	case !c.established && now >= c.dialDeadline:
		c.close(logs.BackendDialTimeout, nil)
	case c.pendingRejection != nil && now >= c.rejectionDueAt:
		c.reportPendingRejection()
	case now >= c.frameDeadline:
		c.closeMalformed(nil, fmt.Errorf("%w: incomplete for too long", errMalformedFrame))
	case len(c.calls) == 0 && c.retireReason != "":
		c.close(c.retireReason, nil)
	case len(c.calls) == 0 && now >= c.idleCloseAt:
		c.close(logs.BackendIdle, nil)
	case now >= c.startDeadline():
		c.endStalledWrites(now)
	}
}

// nextTimeout returns when enforceTimeouts has something to do next; +Inf for nothing.
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

// scheduleIdleClose sets when the connection is closed as idle. An idle connection beyond the connection limit is
// retired instead.
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

// startDeadline returns when the first part that is not completely written has to be; +Inf if all are.
func (c *connection) startDeadline() float64 {
	deadline := math.Inf(1)
	if len(c.unencoded) == 0 && (len(c.calls) == 0 || len(c.stream.Out) == 0) {
		return deadline // the usual case, without a look at the calls
	}
	for _, call := range c.calls {
		if c.isWritten(call) {
			continue
		}
		for _, part := range call.parts {
			// A part that ended after it was encoded is still in the frame, so it counts.
			if !part.ended || call.isEncoded() {
				deadline = min(deadline, part.attempt.StartBy)
			}
		}
	}
	return deadline
}

// endStalledWrites ends the parts that may not begin any more, on a connection that does not take them. It takes no
// new calls. A partly written frame can only be taken back by closing the connection.
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

// expireUnencoded ends the parts of the unencoded calls that may not begin any more.
func (c *connection) expireUnencoded(now float64) {
	// removePart takes calls out of the list.
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
