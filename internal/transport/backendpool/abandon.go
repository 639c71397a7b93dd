package backendpool

import (
	"slices"

	"ternstage/internal/core"
	"ternstage/internal/logs"
)

// maxAbandonedParts is the maximum number of abandoned, unanswered parts on a connection that takes new calls.
const maxAbandonedParts = 64

// Withdraw implements core.Transport. It succeeds until the part's call is encoded, and then leaves the part out of the
// frame.
func (p *Pool) Withdraw(attempt *core.Attempt) bool {
	if backend := p.backends[attempt.Backend]; backend != nil {
		if i := slices.Index(backend.unplaced, attempt); i >= 0 {
			backend.unplaced = slices.Delete(backend.unplaced, i, i+1)
			return true
		}
	}
	part, _ := attempt.Handle.(*part)
	if part == nil || part.ended || part.call.isEncoded() {
		return false
	}
	part.ended = true
	part.call.connection.removePart(part)
	return true
}

// Abandon implements core.Transport. It withdraws the part if its call is not encoded yet. Otherwise it sends an
// abandon frame to the backend and ignores an answer that still arrives.
func (p *Pool) Abandon(attempt *core.Attempt) (neverRan bool) {
	withdrawn := p.Withdraw(attempt)
	if withdrawn {
		return true
	}
	part, _ := attempt.Handle.(*part)
	if part == nil || part.ended {
		return false
	}
	part.ended = true
	c := part.call.connection
	c.abandoned[part.id] = true
	if c.lastReceivedAt < part.call.sentAt {
		// Nothing was received after the part was sent, so the connection may have been lost silently. A new
		// connection will show whether the backend can be reached.
		c.retire(logs.BackendUnresponsive)
	}
	if len(c.abandoned) > maxAbandonedParts {
		c.retire(logs.BackendUnresponsive)
	}
	start := len(c.stream.Out)
	c.stream.Out = beginFrame(c.stream.Out, frameAbandon)
	c.stream.Out = append(c.stream.Out, part.id...)
	c.endFrame(start)
	c.removePart(part)
	c.write()
	return false
}
