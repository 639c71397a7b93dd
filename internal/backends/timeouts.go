package backends

import (
	"fmt"
	"math"
	"slices"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
)

const (
	idleCloseRatio    = 0.9    // of the backend's idle time, after which we close: a close that crosses a part resets it
	idleCloseMarginMs = 1500.0 // ms: at least so long before the backend does
	maxUnparsedBytes  = 2 * maxFrameBytes

	maxFrameDurationMs     = 300.0 // ms from a frame's first byte to its last
	maxAbandonedParts      = 64    // parts given up on a connection that may still be answered
	immediateLossMs        = 5.0   // ms after which a connection that breaks did so under the part, not before it
	maxNonIdempotentIdleMs = 250.0 // ms since a connection was last used, within which it may carry a part that must not
	// run twice: one that has gone dead unseen would lose it
)

// enforceTimeouts closes what is idle, gives up dials that take too long and parts that wait unwritten.
func (p *Pool) enforceTimeouts() {
	now := p.loop.Now()
	for _, l := range p.backends {
		for _, c := range slices.Clone(l.connections) {
			switch {
			case !c.established && now >= c.dialDeadline:
				c.close(logs.BackendDialTimeout, nil)
			case c.pendingRejection != nil && now >= c.rejectionDueAt:
				c.reportPendingRejection()
			case now >= c.frameDeadline:
				c.closeMalformed(nil, fmt.Errorf("%w: it does not come whole", errMalformedFrame))
			case len(c.calls) == 0 && c.retiredFor != "":
				c.close(c.retiredFor, nil)
			case len(c.calls) == 0 && now >= c.idleCloseAt:
				c.close(logs.BackendIdle, nil)
			case now >= c.startDeadline():
				c.endStalled(now)
			}
		}
		if len(l.connections) == 0 && len(l.unplaced) == 0 && p.address(l.replica) == "" {
			delete(p.backends, l.replica)
		}
	}
	p.armTimer()
}

// armTimer sets the pool's one timer.
func (p *Pool) armTimer() {
	next := math.Inf(1)
	for _, l := range p.backends {
		for _, c := range l.connections {
			if !c.established {
				next = min(next, c.dialDeadline)
			} else {
				next = min(next, c.idleCloseAt, c.frameDeadline)
			}
			if c.pendingRejection != nil {
				next = min(next, c.rejectionDueAt)
			}
			if c.retiredFor != "" && len(c.calls) == 0 {
				next = min(next, p.loop.Now())
			}
			next = min(next, c.startDeadline())
		}
	}
	p.timer.Set(next)
}

// startDeadline is when the first part that is not wholly written has to be, if any is.
func (c *connection) startDeadline() float64 {
	by := math.Inf(1)
	if len(c.unencoded) == 0 && (len(c.calls) == 0 || len(c.stream.Out) == 0) {
		return by // all is written, as nearly always
	}
	for _, k := range c.calls {
		if k.endOffset > 0 && k.endOffset <= c.stream.BytesWritten {
			continue
		}
		for _, o := range k.parts {
			if !o.ended || k.endOffset > 0 {
				by = min(by, o.attempt.StartBy)
			}
		}
	}
	return by
}

// endStalled gives up parts whose time to begin is over; the connection gets no new ones. A frame that is written
// in part can only be taken back by closing the connection.
func (c *connection) endStalled(now float64) {
	for _, k := range c.calls {
		if k.endOffset > c.stream.BytesWritten && slices.ContainsFunc(k.parts, func(o *part) bool { return now >= o.attempt.StartBy }) {
			c.close(logs.BackendWriteStalled, nil)
			return
		}
	}
	c.retire(logs.BackendWriteStalled)
	c.expireUnencoded(now)
}

// expireUnencoded takes out of the waiting calls what may not begin any more.
func (c *connection) expireUnencoded(now float64) {
	for _, k := range slices.Clone(c.unencoded) {
		for _, o := range k.parts {
			if !o.ended && now >= o.attempt.StartBy {
				o.ended = true
				c.removePart(o)
				c.pool.core.AttemptEndedLater(o.attempt, scheduler.ConnectFailed)
			}
		}
	}
}
