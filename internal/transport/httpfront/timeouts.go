package httpfront

import "ternstage/internal/logs"

const (
	// requestTimeoutMs is the time in milliseconds for a request to arrive, from its first byte. For the first request
	// of a connection it runs from the accept. After it the client is answered 408; if it has sent nothing, the
	// connection is closed without an answer.
	requestTimeoutMs = 2000.0
	// idleTimeoutMs is the time in milliseconds from an answer to the first byte of the next request. After it the
	// connection is closed.
	idleTimeoutMs = 5000.0
	// writeTimeoutMs is the time in milliseconds for a client to read an answer. After it the connection is closed.
	writeTimeoutMs = 2000.0
	// lingerTimeoutMs is the time in milliseconds for a client to end its side of a lingering connection. After it the
	// connection is closed.
	lingerTimeoutMs = 500.0

	// timeoutCheckIntervalMs is the time in milliseconds between two checks, and so how much later than its time limit
	// a connection may be ended.
	timeoutCheckIntervalMs = 200.0
)

// enforceTimeouts ends the connections that exceed a time limit. This protects descriptors and memory from clients
// that send nothing or half a request, or do not read their answers. Such a client must get an answer or a close
// within 3 s. Queries that were submitted to core have a deadline there; those that wait in the queue are answered when
// their clients' time is up.
func (s *Server) enforceTimeouts() {
	nowMs := s.loop.Now()
	for c := range s.connections {
		c.enforceTimeout(nowMs)
	}
	s.timeoutTimer.Set(nowMs + timeoutCheckIntervalMs)
}

// enforceTimeout ends the connection if it exceeds the time limit for its state.
func (c *connection) enforceTimeout(nowMs float64) {
	inactiveMs := nowMs - c.activeAtMs
	switch {
	case c.ending.isLingering():
		if inactiveMs > lingerTimeoutMs {
			c.close(c.ending.lingerCode, nil)
		}
	case c.queuedQuery != nil && c.queuedQuery.hasExpired(nowMs):
		c.rejectExpired()
	case c.isServing():
	case len(c.stream.Out) > 0:
		if inactiveMs > writeTimeoutMs {
			c.close(logs.ClientRequestTimeout, nil)
		}
	case c.turnQueued: // a request has arrived
	case len(c.stream.In) > 0:
		if nowMs-c.incoming.beganAtMs > requestTimeoutMs {
			c.ending.timedOut = true
			c.reject(errRequestTimeout)
			c.flush()
		}
	case c.answeredCount == 0 && inactiveMs > requestTimeoutMs:
		c.linger(logs.ClientNoRequest)
	case inactiveMs > idleTimeoutMs:
		c.linger(logs.ClientEvicted)
	}
}
