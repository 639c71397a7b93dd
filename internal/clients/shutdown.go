package clients

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

const (
	shutdownRequestTimeoutMs = 300.0 // ms for the rest of a request that has begun to come when the program ends
)

// BeginShutdown tells who asks that the program no longer serves; those who have connections are served on.
func (s *Server) BeginShutdown() { s.shuttingDown = true }

// SetDraining has health say no, or yes again, while the program serves on: the front stops sending new
// connections, and those that clients have are served.
func (s *Server) SetDraining(on bool) { s.draining = on }

// CloseAfterResponse makes every answer from now on the last of its connection, or ends that; the listener stays.
func (s *Server) CloseAfterResponse(on bool) { s.closeAfterResponse = on }

// StopListening takes what the kernel has accepted for us, closes the listener, and makes every answer from
// now on the last of its connection. A listener that the platform keeps is left with what waits in it, for
// the process that takes over.
func (s *Server) StopListening() {
	if s.listenerFD < 0 {
		return
	}
	if !s.listenerInherited {
		s.acceptPending()
	}
	s.loop.Close(s.listenerFD)
	s.listenerFD, s.listenerClosedAtMs = -1, s.loop.Now()
	s.acceptTimer.Stop()
}

// CloseIdle ends connections between requests, after a last look at what has come on them. A request that a
// client writes to one at that moment is not read, and the client asks again elsewhere: a connection that is
// used again is ended by the answer that says so, and only one that stays idle needs this. As the program
// ends, a request of which the rest does not come is refused.
func (s *Server) CloseIdle() {
	now := s.loop.Now()
	for c := range s.connections {
		if c.idle() {
			c.Ready(unix.EPOLLIN)
		}
		switch {
		case c.ending.closed:
		case c.idle():
			c.linger(logs.Shutdown)
		case c.hasPartialRequest() && s.listenerClosedAtMs > 0 && now > max(c.incoming.beganAtMs, s.listenerClosedAtMs)+shutdownRequestTimeoutMs:
			c.reject(errShutdown)
			c.flush()
		}
	}
}
