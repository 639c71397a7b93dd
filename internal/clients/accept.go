package clients

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

const (
	acceptPauseMs       = 50.0 // ms without accepting after EMFILE: guards against a spin
	maxAcceptsPerWakeUp = 256  // connections taken in one wake-up
)

// Ready implements loop.Handler: connections wait to be taken.
func (s *Server) Ready(uint32) { s.acceptPending() }

func (s *Server) acceptPending() {
	if s.listenerFD < 0 {
		return
	}
	if s.listenerInherited {
		// Whether a shared socket blocks is a flag that every process holding it may set back, and a blocking
		// accept on a queue that another process emptied would hold the loop: it is set again each time.
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
		default: // EMFILE and its like
			if !s.FreeDescriptor() {
				s.pauseAccept()
				return
			}
		}
	}
	s.loop.SetEvents(s.listenerFD, unix.EPOLLIN)
}

// pauseAccept stops accepting for a while; waiting connections stay in the kernel's queue.
func (s *Server) pauseAccept() {
	s.loop.SetEvents(s.listenerFD, 0)
	s.acceptTimer.Set(s.loop.Now() + acceptPauseMs)
}

func (s *Server) addConnection(fd int) {
	c := &connection{server: s, peer: peerAddress(fd), activeAtMs: s.loop.Now(), incoming: incomingRequest{beganAtMs: s.loop.Now()}}
	stream, err := loop.NewStream(s.loop, fd, unix.EPOLLIN|unix.EPOLLRDHUP, c)
	if err != nil {
		s.log.ConnectionEnded(logs.ClientNoDescriptor, c.peer, 0, err)
		return
	}
	c.stream = stream
	s.connections[c] = struct{}{}
}

func peerAddress(fd int) string {
	sa, err := unix.Getpeername(fd)
	if err != nil {
		return ""
	}
	return formatAddress(sa)
}

func formatAddress(sa unix.Sockaddr) string {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)).String()
	}
	return ""
}
