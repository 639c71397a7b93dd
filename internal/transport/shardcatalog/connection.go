package shardcatalog

import (
	"fmt"

	"golang.org/x/sys/unix"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// path is the resource of the catalogue.
const path = "/catalog/slices"

// connectTimeoutMs is how long a connection may take to be established.
const connectTimeoutMs = 1000.0

// maxHeaderBytes is the largest size of what precedes the body of an answer, plus its framing, in bytes.
const maxHeaderBytes = 16 << 10

const (
	readEvents  = unix.EPOLLIN | unix.EPOLLRDHUP
	closeEvents = unix.EPOLLHUP | unix.EPOLLERR
)

// call sends a request, over a new connection if there is none.
func (s *Source) call(request shardmap.PollRequest) {
	now := s.loop.Now()
	s.callTimeoutMs = request.TimeoutMs
	s.deadlineMs = now + request.TimeoutMs
	if s.stream == nil {
		if err := s.connect(); err != nil {
			s.fail(logs.ShardMapConnectFailed, err)
			return
		}
		s.deadlineMs = now + connectTimeoutMs
	}
	target := path
	if !request.FullSnapshot {
		target = fmt.Sprintf("%s?index=%d&wait=%d", path, request.SinceEpoch, int(request.WaitMs))
	}
	s.inFlight = true
	s.sequence++
	s.stream.Out = append(s.stream.Out, "GET "+target+" HTTP/1.1\r\nHost: "+s.options.Address+"\r\n\r\n"...)
	s.write()
}

// connect begins to establish a connection.
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

// disconnect closes the connection, if there is one. err is what ended it; nil if that was no error.
func (s *Source) disconnect(code logs.Code, err error) {
	if s.stream == nil {
		return
	}
	s.stream.Close()
	s.stream = nil
	s.connected = false
	s.inFlight = false
	s.log.ConnectionEnded(code, s.options.Address, s.answers, err)
	s.answers = 0
}

// Ready implements loop.Handler.
func (s *Source) Ready(events uint32) {
	defer s.schedule()
	if !s.connected && !s.finishConnect(events) {
		return
	}
	if events&(readEvents|closeEvents) != 0 && !s.read() {
		return
	}
	s.write()
}

// finishConnect reports whether the connection is established, from when the call's own timeout runs.
func (s *Source) finishConnect(events uint32) bool {
	if err := loop.SocketError(s.stream.FD); err != nil {
		s.fail(logs.ShardMapConnectFailed, err)
		return false
	}
	if events&unix.EPOLLOUT == 0 {
		return false
	}
	s.connected = true
	s.deadlineMs = s.loop.Now() + s.callTimeoutMs
	return true
}

// read takes what has arrived, and the answer in it, and reports whether the connection is still the same and open.
func (s *Source) read() bool {
	stream := s.stream
	eof, err := stream.Read(s.options.MaxAnswerBytes + maxHeaderBytes)
	s.handleInput(eof)
	if s.stream != stream {
		return false
	}
	switch {
	case err != nil:
		s.fail(logs.ShardMapReset, err)
	case eof && s.inFlight:
		s.fail(logs.ShardMapClosed, nil)
	case eof:
		s.disconnect(logs.ShardMapClosed, nil)
	default:
		return true
	}
	return false
}

// write sends what is buffered, as far as the connection takes it.
func (s *Source) write() {
	if !s.connected {
		return
	}
	if err := s.stream.Flush(); err != nil {
		s.fail(logs.ShardMapReset, err)
		return
	}
	events := uint32(readEvents)
	if len(s.stream.Out) > 0 {
		events |= unix.EPOLLOUT
	}
	s.stream.SetEvents(events)
}
