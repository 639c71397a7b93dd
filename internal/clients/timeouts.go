package clients

import (
	"ternstage/internal/logs"
)

const (
	requestTimeoutMs       = 2000.0 // ms for a request to come whole, from its first byte, the first from the connect on
	idleTimeoutMs          = 5000.0 // ms between requests; the client opens a new connection when it needs one
	writeTimeoutMs         = 2000.0 // ms that a client may leave its answer unread
	lingerTimeoutMs        = 500.0  // ms in which what a client still sends is thrown away behind our end
	timeoutCheckIntervalMs = 200.0
)

// enforceTimeouts ends what takes too long: guards descriptors and memory against clients that say nothing, send half a
// request or leave their answer unread. An error or a close is owed to those within 3 s.
func (s *Server) enforceTimeouts() {
	now := s.loop.Now()
	for c := range s.connections {
		age := now - c.activeAtMs
		switch {
		case c.ending.lingering():
			if age > lingerTimeoutMs {
				c.close(c.ending.lingerCode, nil)
			}
		case c.open != nil:
		case len(c.stream.Out) > 0:
			if age > writeTimeoutMs {
				c.close(logs.ClientRequestTimeout, nil)
			}
		case len(c.stream.In) > 0:
			if now-c.incoming.beganAtMs > requestTimeoutMs {
				c.ending.timedOut = true
				c.reject(errRequestTimeout)
				c.flush()
			}
		case c.answered == 0 && age > requestTimeoutMs:
			c.linger(logs.ClientNoRequest)
		case age > idleTimeoutMs:
			c.linger(logs.ClientEvicted)
		}
	}
	s.timeoutTimer.Set(now + timeoutCheckIntervalMs)
}
