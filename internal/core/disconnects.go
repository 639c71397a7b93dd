package core

// ClientDisconnected notes that the client of a request has disconnected: from the next round on nothing of the request
// begins. It does nothing if the request has ended.
func (c *Core) ClientDisconnected(request *Request) {
	if c.openRequests[request.queryID] != request || request.disconnected {
		return
	}
	request.disconnected = true
	c.disconnectedRequests = append(c.disconnectedRequests, request)
}

// handleDisconnect ends a request whose client has disconnected. A non-idempotent one of which something is in flight
// stays open until that has ended, so that its outcome is learnt and logged: a cancel could
// cross an answer on its way.
func (c *Core) handleDisconnect(now float64, request *Request) {
	c.scheduler.ClientDisconnected(now, request.queryID)
	c.withdrawParts(request)
	if request.nonIdempotent && request.hasAttemptInFlight() {
		return
	}
	c.endDisconnectedRequest(request)
}

// endDisconnectedRequest ends a request whose client has disconnected and of which nothing is waited for.
func (c *Core) endDisconnectedRequest(request *Request) {
	answer := Answer{Kind: Failed}
	if request.hasAllParts() {
		answer.Kind = Answered
	}
	c.removeRequest(request)
	c.deliverAnswer(request, answer)
}
