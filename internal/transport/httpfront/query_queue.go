package httpfront

import (
	"slices"

	"ternstage/internal/contract"
	"ternstage/internal/logs"
)

// queuedQuery is a query that has arrived and waits in the loop's queue until it is parsed and submitted.
type queuedQuery struct {
	envelope      contract.Envelope
	body          []byte
	arrivedAtMs   float64 // from here on its client's time counts
	bufferedBytes int     // size of the buffer that holds its body
}

// hasExpired reports whether its client's time is up. A query with an invalid timeout does not expire: it is rejected
// when it is parsed.
func (q *queuedQuery) hasExpired(nowMs float64) bool {
	return q.envelope.ClientTimeout > 0 && nowMs >= q.arrivedAtMs+q.envelope.ClientTimeout
}

// queueQuery takes the query at the beginning of the input, of sizeBytes, out of the input and queues it. The queue
// keeps large queries from holding up small ones (see loop.Loop.Enqueue). A large query is answered 503 instead if the
// connections buffer too much. A query of a client that has ended its side is dropped.
func (c *connection) queueQuery(request *httpRequest, sizeBytes int) {
	if c.ending.peerClosed {
		c.close(logs.ClientDisconnectedInRequest, nil)
		return
	}
	envelope, err := parseEnvelope(request)
	if err == nil && c.server.isOverBufferShare(sizeBytes) {
		err = errQueueLimit
	}
	if err != nil {
		c.reject(err)
		return
	}
	c.ending.closeAfterOutput = request.closeRequested
	query := &queuedQuery{envelope: envelope, arrivedAtMs: c.incoming.receivedAtMs}
	c.takeBody(query, request, sizeBytes)
	c.queuedQuery = query
	c.incoming.beganAtMs = c.server.loop.Now()
	c.server.loop.Enqueue(sizeBytes, func() { c.serveQueued(query) })
}

// takeBody moves the body of the request at the beginning of the input to query, and the input behind the request to
// the beginning. The body may alias the input, so the smaller one of the two is copied.
func (c *connection) takeBody(query *queuedQuery, request *httpRequest, sizeBytes int) {
	rest := c.stream.In[sizeBytes:]
	if len(rest) > len(request.body) {
		query.body = slices.Clone(request.body)
		query.bufferedBytes = cap(query.body)
		c.stream.Consume(sizeBytes)
		return
	}
	query.body = request.body
	query.bufferedBytes = cap(c.stream.In)
	c.stream.In = slices.Clone(rest)
}

// drop releases the memory of a query that is not served. What is left of it stays in the loop's queue.
func (q *queuedQuery) drop() { *q = queuedQuery{} }

// isOverBufferShare reports whether a query of sizeBytes must not be queued: the connections buffer more than the
// maximum, and the query is larger than an equal share of it for each connection. Queries up to that share always fit.
func (s *Server) isOverBufferShare(sizeBytes int) bool {
	return s.bufferedBytes > s.maxBufferedBytes && sizeBytes > s.maxBufferedBytes/s.maxConnections
}

// serveQueued submits a queued query, unless its client has disconnected or its time was up. It then serves the
// requests behind an answered one. It may close the connection.
func (c *connection) serveQueued(query *queuedQuery) {
	if c.queuedQuery != query {
		return
	}
	c.queuedQuery = nil
	c.submit(query)
	c.flush()
}

// rejectExpired answers a queued query whose client's time is up. Nothing of it has run.
func (c *connection) rejectExpired() {
	c.queuedQuery.drop()
	c.queuedQuery = nil
	response := errorResponse(errRejected)
	response.retryAfterMs = overloadRetryAfterMs
	c.respond(response)
	c.flush()
}
