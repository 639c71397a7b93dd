package backendpool

import (
	"fmt"
	"slices"

	"ternstage/internal/decision/scheduler"
)

// handleFrame handles one frame from the backend. Errors wrap errMalformedFrame. The part is the one that the frame
// belongs to, or nil if that is unknown.
func (c *connection) handleFrame(frame frame) (*part, error) {
	if frame.letter != frameAnswer {
		// This broker requests only answers. An error frame means that the backend did not understand a frame.
		return nil, fmt.Errorf("%w: letter %q, want %q: %.100q", errMalformedFrame, frame.letter, frameAnswer, frame.body)
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
		// A duplicate, or an answer that was meant for another broker. The part that should have been answered may
		// never be answered on this connection.
		return nil, fmt.Errorf("%w: part %.100q is not in flight", errMalformedFrame, answer.partID)
	}
	c.handleAnswer(part, answer)
	return part, nil
}

// handleAnswer ends a part with the outcome in the answer. If the first answer on a connection is a rejection, the
// outcome is not reported yet but becomes the pending rejection.
func (c *connection) handleAnswer(part *part, answer answer) {
	if c.pendingRejection != nil {
		// A further answer after the rejection shows that the backend has not closed the connection.
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

// attributeToConnectionLimit records that the backend is at its connection limit: it rejected the first part on this
// connection and closed the connection. Such a rejection says nothing about the backend's load.
func (c *connection) attributeToConnectionLimit(part *part) {
	c.pool.connectionLimit.recordRejection(c.pool.loop.Now(), c.openedAt)
	part.attempt.ConnectionOnly = true
}

// reportPendingRejection reports the pending rejection as caused by a full queue, because the connection stayed open
// after it.
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
