package core

// ClientDisconnected records that the client of a request has disconnected. No attempt of the request begins after
// the next scheduling round has started. It does nothing if the request has ended.
func (c *Core) ClientDisconnected(request *Request) {
	if c.openRequests[request.queryID] != request || request.disconnected {
		return
	}
	request.disconnected = true
	c.disconnectedRequests = append(c.disconnectedRequests, request)
}

// handleDisconnect ends a request whose client has disconnected. A non-idempotent request with an attempt in flight
// stays open until the attempt has ended, so that its outcome is known and logged: a cancellation could cross an
// answer that is on its way.
func (c *Core) handleDisconnect(now float64, request *Request) {
	c.scheduler.ClientDisconnected(now, request.queryID)
	c.withdrawParts(request)
	if request.nonIdempotent && request.hasAttemptInFlight() {
		return
	}
	c.endDisconnectedRequest(request)
}

// endDisconnectedRequest ends a request whose client has disconnected and whose attempts need not be waited for.
func (c *Core) endDisconnectedRequest(request *Request) {
	answer := Answer{Kind: Failed}
	if request.hasAllParts() {
		answer.Kind = Answered
	}
	c.removeRequest(request)
	c.deliverAnswer(request, answer)
}
