package httpfront

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

// shutdownRequestTimeoutMs is the time in milliseconds for the rest of a request to arrive after the listener was
// closed or, if that is later, after its first byte. After it the client is answered 503.
const shutdownRequestTimeoutMs = 300.0

// BeginShutdown makes health checks fail: the program ends. Requests on open and on new connections are served on.
func (s *Server) BeginShutdown() { s.shuttingDown = true }

// SetDraining makes health checks fail, or succeed again, while the program serves on. Requests on open and on new
// connections are served.
func (s *Server) SetDraining(on bool) { s.draining = on }

// CloseAfterResponse makes every answer from now on the last of its connection, or, with false, ends that. The listener
// stays open.
func (s *Server) CloseAfterResponse(on bool) { s.closeAfterResponse = on }

// StopListening closes the listener, and makes every answer from now on the last of its connection. Connections that
// wait in the kernel are accepted first, as the close would reset them; those of an inherited listener are left to the
// process that takes over. A repeated call does nothing.
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

// CloseIdle closes idle connections after a last read. Once the listener is closed it also answers 503 to a request of
// which the rest does not arrive within 300 ms. It is to be called until ConnectionCounts has none that serve.
//
// A request that its client sends at the moment of the close is not read, and the client has to send it again on a new
// connection. Hence it is for connections on which no answer can carry Connection: close.
func (s *Server) CloseIdle() {
	nowMs := s.loop.Now()
	for c := range s.connections {
		if c.idle() {
			c.Ready(unix.EPOLLIN)
		}
		switch {
		case c.ending.closed:
		case c.idle():
			c.linger(logs.Shutdown)
		case c.hasPartialRequest() && s.shutdownRequestTimedOut(c, nowMs):
			c.reject(errShutdown)
			c.flush()
		}
	}
}

func (s *Server) shutdownRequestTimedOut(c *connection, nowMs float64) bool {
	return s.listenerClosedAtMs > 0 && nowMs > max(c.incoming.beganAtMs, s.listenerClosedAtMs)+shutdownRequestTimeoutMs
}
