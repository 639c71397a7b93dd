package httpfront

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

// shutdownRequestTimeoutMs is the time in milliseconds for the rest of a request to arrive once the listener is
// closed. It counts from the closing of the listener or from the request's first byte, whichever is later. A request
// that exceeds it is answered with 503.
const shutdownRequestTimeoutMs = 300.0

// BeginShutdown makes health checks fail for the rest of the run, and CanServe return false. Requests on open and new
// connections are still served.
func (s *Server) BeginShutdown() { s.shuttingDown = true }

// SetDraining makes health checks fail, or succeed again if on is false. Requests on open and new connections are
// still served.
func (s *Server) SetDraining(on bool) { s.draining = on }

// CloseAfterResponse sets whether connections are closed after their next answer. The listener stays open.
func (s *Server) CloseAfterResponse(on bool) { s.closeAfterResponse = on }

// StopListening closes the listener. From then on connections are closed after their next answer. Connections in the
// listener's accept queue are accepted first, as closing the listener would reset them. Connections in the queue of
// an inherited listener are left to the process that takes over. A repeated call does nothing.
func (s *Server) StopListening() {
	if s.listenerFD < 0 {
		return
	}
	if !s.listenerInherited {
		s.acceptPending()
	}
	s.loop.Close(s.listenerFD)
	s.listenerFD = -1
	s.listenerClosedAtMs = s.loop.Now()
	s.acceptTimer.Stop()
}

// CloseIdle closes idle connections after a last read. Once the listener is closed, it also answers with 503 the
// requests that exceed shutdownRequestTimeoutMs. Call it repeatedly until ConnectionCounts returns no serving
// connection.
//
// A request that a client sends at the moment of the close is not read, and the client has to send it again on a new
// connection. CloseIdle is therefore only for connections on which no answer with Connection: close can be sent.
func (s *Server) CloseIdle() {
	nowMs := s.loop.Now()
	for c := range s.connections {
		if c.isIdle() {
			c.Ready(unix.EPOLLIN)
		}
		switch {
		case c.ending.closed:
		case c.isIdle():
			c.linger(logs.Shutdown)
		case c.hasPartialRequest() && s.shutdownRequestTimedOut(c, nowMs):
			c.reject(errShutdown)
			c.flush()
		}
	}
}

// shutdownRequestTimedOut reports whether the listener is closed and the incoming request of c has exceeded
// shutdownRequestTimeoutMs.
func (s *Server) shutdownRequestTimedOut(c *connection, nowMs float64) bool {
	return s.listenerClosedAtMs > 0 && nowMs > max(c.incoming.beganAtMs, s.listenerClosedAtMs)+shutdownRequestTimeoutMs
}
