package core

// ClientDisconnected notes that the client of a request has disconnected: from the next round on nothing of the request
// begins. It does nothing if the request has ended.
func (c *Core) ClientDisconnected(r *Request) {
	if c.requests[r.queryID] != r || r.disconnected {
		return
	}
	r.disconnected = true
	c.disconnected = append(c.disconnected, r)
}

// endDisconnected ends a request whose client has disconnected. A non-idempotent one of which something is in flight
// stays open until that has ended, so that its outcome is learnt and logged. Guards against a cancel that crosses an
// answer on its way.
func (c *Core) endDisconnected(now float64, r *Request) {
	c.scheduler.ClientDisconnected(now, r.queryID)
	c.withdrawParts(r)
	if r.nonIdempotent && r.inFlight() {
		return
	}
	c.concludeDisconnected(r)
}

// concludeDisconnected ends a request whose client has disconnected and of which nothing is waited for.
func (c *Core) concludeDisconnected(r *Request) {
	answer := Answer{Kind: Failed}
	if r.arrived() {
		answer.Kind = Answered
	}
	c.forget(r)
	c.deliver(r, answer)
}
