package httpfront

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

const (
	// acceptPauseMs is the time in milliseconds without accepting after no descriptor was left: the listener stays
	// readable, and the event loop would spin.
	acceptPauseMs = 50.0
	// maxAcceptsPerWakeUp is the maximum number of connections accepted at once, so that open ones are not kept waiting.
	maxAcceptsPerWakeUp = 256
)

// Ready implements loop.Handler: connections wait to be accepted.
func (s *Server) Ready(uint32) { s.acceptPending() }

// acceptPending accepts the connections that wait in the kernel. At the maximum of connections, and without
// descriptors, it evicts others; if none can be evicted it pauses.
func (s *Server) acceptPending() {
	if s.listenerFD < 0 {
		return
	}
	if s.listenerInherited {
		// Every process that holds a shared socket may set this flag back, and a blocking accept on a queue that
		// another process has emptied would stop the event loop.
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
		default: // no descriptor (EMFILE, ENFILE) or no memory
			if !s.FreeDescriptor() {
				s.pauseAccept()
				return
			}
		}
	}
	s.loop.SetEvents(s.listenerFD, unix.EPOLLIN)
}

// pauseAccept stops accepting for acceptPauseMs. Connections wait in the kernel.
func (s *Server) pauseAccept() {
	s.loop.SetEvents(s.listenerFD, 0)
	s.acceptTimer.Set(s.loop.Now() + acceptPauseMs)
}

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

// peerAddress returns the address of a client, and "" for one that is gone.
func peerAddress(fd int) string {
	address, err := unix.Getpeername(fd)
	if err != nil {
		return ""
	}
	return formatAddress(address)
}

func formatAddress(address unix.Sockaddr) string {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)).String()
	}
	return ""
}
