package backends

import (
	"slices"
	"ternstage/internal/core"
	"ternstage/internal/logs"
)

// Withdraw implements core.Backend.
func (p *Pool) Withdraw(a *core.Attempt) bool {
	if l := p.backends[a.Backend]; l != nil {
		if i := slices.Index(l.unplaced, a); i >= 0 {
			l.unplaced = slices.Delete(l.unplaced, i, i+1)
			return true
		}
	}
	o, _ := a.Handle.(*part)
	if o == nil || o.ended || o.call.endOffset > 0 {
		return false
	}
	o.ended = true
	o.call.connection.removePart(o) // not encoded: it is left out of the frame
	return true
}

// Abandon implements core.Backend.
func (p *Pool) Abandon(a *core.Attempt) (neverRan bool) {
	if p.Withdraw(a) {
		return true
	}
	o, _ := a.Handle.(*part)
	if o == nil || o.ended {
		return false
	}
	k, c := o.call, o.call.connection
	o.ended = true
	if c.abandoned[o.id] = true; c.lastReceivedAt < k.sentAt {
		// Nothing has come since the part went out: the connection may have gone dead unseen. A new one tells
		// whether the backend can be reached.
		c.retire(logs.BackendUnresponsive)
	}
	if len(c.abandoned) > maxAbandonedParts {
		c.retire(logs.BackendUnresponsive)
	}
	at := len(c.stream.Out)
	c.stream.Out = finishFrame(append(beginFrame(c.stream.Out, frameAbandon), o.id...), at)
	c.queuedBytes += uint64(len(c.stream.Out) - at)
	c.removePart(o)
	c.write()
	return false
}
