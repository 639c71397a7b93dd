package backends

import (
	"fmt"
	"slices"
	"ternstage/internal/decision/scheduler"
)

// handleAnswer takes one frame of the backend. Where it cannot be used it names the part that it was for, if it can.
func (c *connection) handleAnswer(letter byte, rest []byte) (*part, error) {
	if letter != frameAnswer {
		// No probe is sent, so nothing but answers can be good; an E says that we were not understood.
		return nil, fmt.Errorf("%w: letter %q: %.100q", errMalformedFrame, letter, rest)
	}
	a, err := parseAnswer(rest, c.pool.options.Resharding)
	o := c.partsByID[a.partID]
	switch {
	case err != nil:
		return o, err
	case o == nil && c.abandoned[a.partID]:
		delete(c.abandoned, a.partID)
		return nil, nil // given up before: a late answer is ignored
	case o == nil || o.call.endOffset == 0 || o == c.pendingRejection:
		// A second copy, or somebody else's: the part that it stands for will never be answered here.
		return nil, fmt.Errorf("%w: part %.100q is not out", errMalformedFrame, a.partID)
	}
	if c.pendingRejection != nil {
		c.reportPendingRejection() // it answers more: it is held
	}
	if a.status == statusRejected && c.served == 0 && !c.peerEnded {
		c.pendingRejection, c.rejectionDueAt = o, c.lastReceivedAt+immediateLossMs
		return o, nil
	}
	o.ended = true
	if k := o.call; k.idleBefore > 0 {
		c.pool.idleRisk.record(c.lastReceivedAt, k.idleBefore, false)
	}
	c.removePart(o)
	c.served++
	switch a.status {
	case statusOK:
		c.pool.core.AttemptEnded(o.attempt, scheduler.Succeeded, slices.Clone(a.value))
	case statusFailed:
		c.pool.core.AttemptEnded(o.attempt, scheduler.Failed, nil)
	case statusRejected:
		if c.served == 1 && c.peerEnded {
			c.rejectedByLimit(o)
		}
		c.pool.core.AttemptEnded(o.attempt, scheduler.Rejected, nil)
	case statusNotHolder:
		o.attempt.BackendEpoch = a.epoch
		c.pool.core.AttemptEnded(o.attempt, scheduler.NotHolder, nil)
	}
	return o, nil
}

// rejectedByLimit notes that the backend holds no more connections: it answered the first part on this one with busy
// and ended it. That says nothing of its queue.
func (c *connection) rejectedByLimit(o *part) {
	c.pool.connectionLimit.connectionRejected(c.pool.loop.Now(), c.openedAt)
	o.attempt.ConnectionOnly = true
}

// reportPendingRejection tells the first part's end as a full queue's: the connection has not ended with it.
func (c *connection) reportPendingRejection() {
	o := c.pendingRejection
	c.pendingRejection = nil
	if c.served++; !o.ended {
		o.ended = true
		c.removePart(o)
		c.pool.core.AttemptEnded(o.attempt, scheduler.Rejected, nil)
	}
}
