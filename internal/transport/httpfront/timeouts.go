package httpfront

import "ternstage/internal/logs"

const (
	// requestTimeoutMs is the time in milliseconds for a request to arrive, from its first byte; for the first request
	// of a connection, from the accept. After it the client is answered 408, or closed if it sent nothing.
	requestTimeoutMs = 2000.0
	// idleTimeoutMs is the time in milliseconds from an answer to the first byte of the next request. After it the
	// connection is closed.
	idleTimeoutMs = 5000.0
	// writeTimeoutMs is the time in milliseconds for a client to take an answer. After it the connection is closed.
	writeTimeoutMs = 2000.0
	// lingerTimeoutMs is the time in milliseconds for a client to end its side after we have ended ours. After it the
	// connection is closed.
	lingerTimeoutMs = 500.0

	// timeoutCheckIntervalMs bounds how much later than these a connection is ended.
	timeoutCheckIntervalMs = 200.0
)

// enforceTimeouts ends connections that take too long: guards descriptors and memory against clients that send nothing
// or half a request, or do not take their answers. A client is owed an answer or a close within 3 s. A request that
// core has is not timed here: it has its deadline.
func (s *Server) enforceTimeouts() {
	nowMs := s.loop.Now()
	for c := range s.connections {
		c.enforceTimeout(nowMs)
	}
	s.timeoutTimer.Set(nowMs + timeoutCheckIntervalMs)
}

func (c *connection) enforceTimeout(nowMs float64) {
	inactiveMs := nowMs - c.activeAtMs
	switch {
	case c.ending.lingering():
		if inactiveMs > lingerTimeoutMs {
			c.close(c.ending.lingerCode, nil)
		}
	case c.open != nil:
	case len(c.stream.Out) > 0:
		if inactiveMs > writeTimeoutMs {
			c.close(logs.ClientRequestTimeout, nil)
		}
	case len(c.stream.In) > 0:
		if nowMs-c.incoming.beganAtMs > requestTimeoutMs {
			c.ending.timedOut = true
			c.reject(errRequestTimeout)
			c.flush()
		}
	case c.answered == 0 && inactiveMs > requestTimeoutMs:
		c.linger(logs.ClientNoRequest)
	case inactiveMs > idleTimeoutMs:
		c.linger(logs.ClientEvicted)
	}
}
