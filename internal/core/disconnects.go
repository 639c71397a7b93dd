package core

import (
	"slices"
)

// ClientDisconnected tells that the client of a request has gone: nothing of it begins from now on.
func (c *Core) ClientDisconnected(r *Request) {
	if c.requests[r.queryID] == r && !r.disconnected {
		r.disconnected = true
		c.disconnected = append(c.disconnected, r)
	}
}

// endDisconnected ends a request whose client has gone. A part that must not run twice and may be running is waited for
// all the same: its outcome is learnt and logged. Guards against a cancel that crosses a good answer.
func (c *Core) endDisconnected(now float64, r *Request) {
	c.scheduler.ClientDisconnected(now, r.queryID)
	if c.withdrawParts(r); !r.nonIdempotent || !slices.ContainsFunc(r.parts, (*partState).inFlight) {
		c.concludeDisconnected(r)
	}
}

// concludeDisconnected ends a request whose client has gone and of which nothing is waited for any more.
func (c *Core) concludeDisconnected(r *Request) {
	a := Answer{Kind: Answered}
	if slices.ContainsFunc(r.parts, func(p *partState) bool { return !p.arrived }) {
		a.Kind = Failed
	}
	c.forget(r)
	c.deliver(r, a)
}
