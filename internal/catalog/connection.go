package catalog

import (
	"fmt"
	"math"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/loop"
	"ternstage/internal/slicemap"
)

func (s *Source) call(c slicemap.PollRequest) {
	now := s.loop.Now()
	s.by, s.most = now+c.TimeoutMs, c.TimeoutMs
	if s.s == nil {
		fd, err := loop.Connect(s.o.Address)
		if err == nil {
			s.s, err = loop.NewStream(s.loop, fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP, s)
		}
		if err != nil {
			s.fail(logs.ShardMapConnectFailed, err)
			return
		}
		s.up = false
		s.by = now + dialMost
	}
	target := path
	if !c.FullSnapshot {
		target = fmt.Sprintf("%s?index=%d&wait=%d", path, c.SinceEpoch, int(c.WaitMs))
	}
	s.out = true
	s.calls++ // what is still being read of an older one counts for nothing
	s.s.Out = append(s.s.Out, "GET "+target+" HTTP/1.1\r\nHost: "+s.o.Address+"\r\n\r\n"...)
	s.write()
}

func (s *Source) write() {
	if !s.up {
		return
	}
	if err := s.s.Flush(); err != nil {
		s.fail(logs.ShardMapReset, err)
		return
	}
	want := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(s.s.Out) > 0 {
		want |= unix.EPOLLOUT
	}
	s.s.SetEvents(want)
}

// Ready implements loop.Handler.
func (s *Source) Ready(events uint32) {
	defer s.plan()
	if !s.up {
		if err := loop.SocketError(s.s.FD); err != nil {
			s.fail(logs.ShardMapConnectFailed, err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		s.up = true
		s.by = s.loop.Now() + s.most
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		eof, err := s.s.Read(s.o.MaxAnswerBytes + 16<<10)
		at := s.s
		if s.answer(eof); s.s != at {
			return
		}
		switch {
		case err != nil:
			s.fail(logs.ShardMapReset, err)
			return
		case eof && s.out:
			s.fail(logs.ShardMapClosed, nil)
			return
		case eof:
			s.drop(logs.ShardMapClosed, nil)
			return
		}
	}
	s.write()
}

// drop closes the connection.
func (s *Source) drop(code logs.Code, err error) {
	if s.s != nil {
		s.s.Close()
		s.s, s.up, s.out = nil, false, false
		s.log.ConnectionEnded(code, s.o.Address, s.served, err)
		s.served = 0
	}
}

// fail ends a call that came to nothing.
func (s *Source) fail(code logs.Code, err error) {
	if s.s == nil {
		s.log.ConnectionEnded(code, s.o.Address, 0, err)
	}
	s.drop(code, err)
	s.by = math.Inf(1)
	s.follow.Failed(s.loop.Now())
	s.plan()
}
