package httpfront

import "slices"

// queuedQuery is a query that has arrived and waits in the loop's queue until it is parsed and submitted.
type queuedQuery struct {
	request       *httpRequest
	arrivedAtMs   float64 // from here on its client's time counts
	bufferedBytes int     // size of the buffer that holds its body
}

// queueQuery takes the query at the beginning of the input, of sizeBytes, out of the input and queues it. The queue
// keeps large queries from holding up small ones (see loop.Loop.Enqueue). A large query is answered 503 instead if the
// connections buffer too much.
func (c *connection) queueQuery(request *httpRequest, sizeBytes int) {
	if c.server.isOverBufferShare(sizeBytes) {
		c.reject(errQueueLimit)
		return
	}
	c.ending.closeAfterOutput = request.closeRequested
	c.queuedQuery = &queuedQuery{
		request:       request,
		arrivedAtMs:   c.server.loop.Now(),
		bufferedBytes: cap(c.stream.In),
	}
	c.stream.In = slices.Clone(c.stream.In[sizeBytes:]) // the body aliases the old buffer
	c.incoming.beganAtMs = c.server.loop.Now()
	c.server.loop.Enqueue(sizeBytes, c.serveQueued)
}

// isOverBufferShare reports whether a query of sizeBytes must not be queued: the connections buffer more than the
// maximum, and the query is larger than an equal share of it for each connection. Queries up to that share always fit.
func (s *Server) isOverBufferShare(sizeBytes int) bool {
	return s.bufferedBytes > s.maxBufferedBytes && sizeBytes > s.maxBufferedBytes/s.maxConnections
}

// serveQueued submits the queued query, unless its client has disconnected. It then serves the requests behind an
// answered one. It may close the connection.
func (c *connection) serveQueued() {
	query := c.queuedQuery
	if query == nil {
		return
	}
	c.queuedQuery = nil
	c.submit(query)
	c.flush()
}
