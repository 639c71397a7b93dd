package clients

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

const (
	acceptPauseMs = 50.0 // ms without accepting after EMFILE: guards against a spin
	maxAcceptsPerWakeUp = 256  // connections taken in one wake-up
)

// Ready implements loop.Handler: connections wait to be taken.
func (s *Server) Ready(uint32) { s.accept() }

func (s *Server) accept() {
	if s.fd < 0 {
		return
	}
	if s.kept {
		// Whether a shared socket blocks is a flag that every process holding it may set back, and a blocking
		// accept on a queue that another process emptied would hold the loop: it is set again each time.
		_ = unix.SetNonblock(s.fd, true)
	}
	for range maxAcceptsPerWakeUp {
		if len(s.conns) >= s.most && !s.FreeDescriptor() {
			s.rest()
			return
		}
		fd, err := loop.Accept(s.fd)
		switch {
		case err == nil:
			s.take(fd)
		case errors.Is(err, unix.EAGAIN):
			s.loop.SetEvents(s.fd, unix.EPOLLIN)
			return
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		default: // EMFILE and its like
			if !s.FreeDescriptor() {
				s.rest()
				return
			}
		}
	}
	s.loop.SetEvents(s.fd, unix.EPOLLIN)
}

// rest stops accepting for a while; waiting connections stay in the kernel's queue.
func (s *Server) rest() {
	s.loop.SetEvents(s.fd, 0)
	s.again.Set(s.loop.Now() + acceptPauseMs)
}

func (s *Server) take(fd int) {
	c := &connection{server: s, peer: peerAddress(fd), since: s.loop.Now(), began: s.loop.Now()}
	stream, err := loop.NewStream(s.loop, fd, unix.EPOLLIN|unix.EPOLLRDHUP, c)
	if err != nil {
		s.log.ConnectionEnded(logs.ClientNoDescriptor, c.peer, 0, err)
		return
	}
	c.s = stream
	s.conns[c] = struct{}{}
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
