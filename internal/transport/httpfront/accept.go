package httpfront

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

const (
	// acceptPauseMs is how long, in milliseconds, the server stops accepting when no descriptor is free. The listener
	// stays readable meanwhile, so that waiting for it would make the event loop spin.
	acceptPauseMs = 50.0
	// maxAcceptsPerWakeUp is the maximum number of connections accepted for one event of the listener, so that
	// established connections are not kept waiting.
	maxAcceptsPerWakeUp = 64
)

// Ready implements loop.Handler: it accepts the queued connections.
func (s *Server) Ready(uint32) { s.acceptPending() }

// acceptPending accepts the connections that the kernel has queued. At the connection limit, or without a free
// descriptor, it evicts other connections. If none can be evicted, it pauses accepting.
func (s *Server) acceptPending() {
	if s.listenerFD < 0 {
		return
	}
	if s.listenerInherited {
		// Any process that shares the socket can clear the non-blocking flag. A blocking accept on a queue that
		// another process has emptied would then block the event loop.
		_ = unix.SetNonblock(s.listenerFD, true)
	}
	for range maxAcceptsPerWakeUp {
		if len(s.connections) >= s.maxConnections && !s.FreeDescriptor() {
			s.pauseAccept()
			return
		}
		fd, err := loop.Accept(s.listenerFD)
		switch {
		case err == nil:
			s.addConnection(fd)
		case errors.Is(err, unix.EAGAIN):
			s.loop.SetEvents(s.listenerFD, unix.EPOLLIN)
			return
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		default: // out of descriptors (EMFILE, ENFILE) or out of memory
			if !s.FreeDescriptor() {
				s.pauseAccept()
				return
			}
		}
	}
	s.loop.SetEvents(s.listenerFD, unix.EPOLLIN)
}

// pauseAccept stops accepting for acceptPauseMs. The kernel queues new connections meanwhile.
func (s *Server) pauseAccept() {
	s.loop.SetEvents(s.listenerFD, 0)
	s.acceptTimer.Set(s.loop.Now() + acceptPauseMs)
}

// addConnection starts serving the accepted connection fd.
func (s *Server) addConnection(fd int) {
	nowMs := s.loop.Now()
	c := &connection{
		server:     s,
		peer:       peerAddress(fd),
		incoming:   incomingRequest{beganAtMs: nowMs},
		activeAtMs: nowMs,
	}
	stream, err := loop.NewStream(s.loop, fd, unix.EPOLLIN|unix.EPOLLRDHUP, c)
	if err != nil { // NewStream has closed fd
		s.log.ConnectionEnded(logs.ClientNoDescriptor, c.peer, 0, err)
		return
	}
	c.stream = stream
	s.connections[c] = struct{}{}
}

// peerAddress returns the client's address, or "" if it cannot be read because the connection is gone.
func peerAddress(fd int) string {
	address, err := unix.Getpeername(fd)
	if err != nil {
		return ""
	}
	return formatAddress(address)
}

// formatAddress returns an IP address and port as text, or "" for any other kind of address.
func formatAddress(address unix.Sockaddr) string {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)).String()
	}
	return ""
}
