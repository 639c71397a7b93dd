package shardcatalog

import (
	"fmt"

	"golang.org/x/sys/unix"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// cataloguePath is the path of the shard map at the catalogue.
const cataloguePath = "/catalog/slices"

// connectTimeoutMs is the limit for establishing a connection.
const connectTimeoutMs = 1000.0

// maxHeaderBytes is the maximum size of an answer's header and of the framing of its body.
const maxHeaderBytes = 16 << 10

const (
	readEvents  = unix.EPOLLIN | unix.EPOLLRDHUP
	closeEvents = unix.EPOLLHUP | unix.EPOLLERR
)

// beginCall sends a request. It opens a connection if there is none.
func (s *Source) beginCall(request shardmap.PollRequest) {
	now := s.loop.Now()
	s.callTimeoutMs = request.TimeoutMs
	s.deadlineMs = now + request.TimeoutMs
	if s.stream == nil {
		if err := s.connect(); err != nil {
			s.failCall(logs.ShardMapConnectFailed, err)
			return
		}
		s.deadlineMs = now + connectTimeoutMs
	}
	target := cataloguePath
	if !request.FullSnapshot {
		target = fmt.Sprintf("%s?index=%d&wait=%d", cataloguePath, request.SinceEpoch, int(request.WaitMs))
	}
	s.inFlight = true
	s.sequence++
	s.stream.Out = append(s.stream.Out, "GET "+target+" HTTP/1.1\r\nHost: "+s.options.Address+"\r\n\r\n"...)
	s.write()
}

// connect starts to open a connection; Ready handles the outcome.
func (s *Source) connect() error {
	descriptor, err := loop.Connect(s.options.Address)
	if err != nil {
		return err
	}
	stream, err := loop.NewStream(s.loop, descriptor, readEvents|unix.EPOLLOUT, s)
	if err != nil {
		return err
	}
	s.stream = stream
	s.connected = false
	return nil
}

// disconnect closes the connection, if there is one, and logs its end. err is nil unless an error ended it.
func (s *Source) disconnect(code logs.Code, err error) {
	if s.stream == nil {
		return
	}
	s.stream.Close()
	s.stream = nil
	s.connected = false
	s.inFlight = false
	s.log.ConnectionEnded(code, s.options.Address, s.answeredCalls, err)
	s.answeredCalls = 0
}

// Ready handles events of the connection. It implements loop.Handler.
func (s *Source) Ready(events uint32) {
	defer s.setTimer()
	if !s.connected && !s.finishConnect(events) {
		return
	}
	if events&(readEvents|closeEvents) != 0 && !s.read() {
		return
	}
	s.write()
}

// finishConnect reports whether the connection is established, and starts the timeout of the call when it is.
func (s *Source) finishConnect(events uint32) bool {
	if err := loop.SocketError(s.stream.FD); err != nil {
		s.failCall(logs.ShardMapConnectFailed, err)
		return false
	}
	if events&unix.EPOLLOUT == 0 {
		return false
	}
	s.connected = true
	s.deadlineMs = s.loop.Now() + s.callTimeoutMs
	return true
}

// read handles the input that has arrived, and reports whether the connection is still open.
func (s *Source) read() bool {
	stream := s.stream
	eof, err := stream.Read(s.options.MaxAnswerBytes + maxHeaderBytes)
	s.handleInput(eof)
	if s.stream != stream {
		return false
	}
	switch {
	case err != nil:
		s.failCall(logs.ShardMapReset, err)
	case eof && s.inFlight:
		s.failCall(logs.ShardMapClosed, nil)
	case eof:
		s.disconnect(logs.ShardMapClosed, nil)
	default:
		return true
	}
	return false
}

// write sends as much of the pending request as the kernel accepts. It does nothing before the connection is
// established.
func (s *Source) write() {
	if !s.connected {
		return
	}
	if err := s.stream.Flush(); err != nil {
		s.failCall(logs.ShardMapReset, err)
		return
	}
	events := uint32(readEvents)
	if len(s.stream.Out) > 0 {
		events |= unix.EPOLLOUT
	}
	s.stream.SetEvents(events)
}
