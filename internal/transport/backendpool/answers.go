package backendpool

import (
	"fmt"
	"slices"

	"ternstage/internal/decision/scheduler"
)

// handleFrame handles one frame of the backend. Errors wrap errMalformedFrame; then it returns the part that the
// frame was for, nil if that is unknown.
func (c *connection) handleFrame(frame frame) (*part, error) {
	if frame.letter != frameAnswer {
		// Only answers are asked for; an error frame says that the backend did not understand this broker.
		return nil, fmt.Errorf("%w: letter %q: %.100q", errMalformedFrame, frame.letter, frame.body)
	}
	answer, err := parseAnswer(frame.body, c.pool.options.Resharding)
	part := c.partsByID[answer.partID]
	if err != nil {
		return part, err
	}
	if part == nil && c.abandoned[answer.partID] {
		delete(c.abandoned, answer.partID)
		return nil, nil
	}
	if part == nil || !part.call.isEncoded() || part == c.pendingRejection {
		// A duplicate, or an answer to another broker: the part that it was meant for will not be answered here.
		return nil, fmt.Errorf("%w: part %.100q is not in flight", errMalformedFrame, answer.partID)
	}
	c.handleAnswer(part, answer)
	return part, nil
}

// handleAnswer ends a part as it was answered. The rejection of the first part that a connection answers is kept back.
func (c *connection) handleAnswer(part *part, answer answer) {
	if c.pendingRejection != nil {
		// One more answer after the rejection: the backend keeps the connection.
		c.reportPendingRejection()
	}
	if answer.status == statusRejected && c.partsAnswered == 0 && !c.peerClosed {
		c.pendingRejection = part
		c.rejectionDueAt = c.lastReceivedAt + immediateLossMs
		return
	}
	part.ended = true
	if part.call.idleBeforeMs > 0 {
		c.pool.idleRisk.record(c.lastReceivedAt, part.call.idleBeforeMs, false)
	}
	c.removePart(part)
	c.partsAnswered++
	switch answer.status {
	case statusOK:
		c.pool.core.AttemptEnded(part.attempt, scheduler.Succeeded, slices.Clone(answer.value))
	case statusFailed:
		c.pool.core.AttemptEnded(part.attempt, scheduler.Failed, nil)
	case statusRejected:
		if c.partsAnswered == 1 && c.peerClosed {
			c.attributeToConnectionLimit(part)
		}
		c.pool.core.AttemptEnded(part.attempt, scheduler.Rejected, nil)
	case statusNotHolder:
		part.attempt.BackendEpoch = answer.epoch
		c.pool.core.AttemptEnded(part.attempt, scheduler.NotHolder, nil)
	}
}

// attributeToConnectionLimit notes that the backend is at its limit of connections: it rejected the first part on
// this one and ended it. That says nothing about its load.
func (c *connection) attributeToConnectionLimit(part *part) {
	c.pool.connectionLimit.recordRejection(c.pool.loop.Now(), c.openedAt)
	part.attempt.ConnectionOnly = true
}

// reportPendingRejection reports the pending rejection as that of a full queue: the connection did not end with it.
func (c *connection) reportPendingRejection() {
	part := c.pendingRejection
	c.pendingRejection = nil
	c.partsAnswered++
	if part.ended {
		return
	}
	part.ended = true
	c.removePart(part)
	c.pool.core.AttemptEnded(part.attempt, scheduler.Rejected, nil)
}
