package adminapi

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

const (
	// MaxConnections is the maximum number of connections at once. A further one evicts an answered connection or, if
	// there is none, the oldest, which is answered 503.
	MaxConnections = 64
	// CallTimeoutMs is the time in milliseconds after accepting a connection within which its call must arrive.
	// Otherwise the caller is answered 408.
	CallTimeoutMs = 800.0
	// LingerMs is the time in milliseconds after which an answered connection is closed if the caller has not closed
	// it.
	LingerMs = 1000.0

	// pollIntervalMs is the interval in milliseconds at which the time limits are checked. They are enforced late by
	// this much at most.
	pollIntervalMs = 50.0
)

var (
	errTimeout            = errors.New("the call did not come whole within 0.8 s")
	errTooManyConnections = errors.New("too many callers at once")
)

// Server is the listener of the admin API. Its methods are called on the event loop.
type Server struct {
	loop         *loop.Loop
	operations   Operations
	log          *logs.Log
	listenerFD   int // -1 once closed
	connections  map[*connection]struct{}
	pollTimer    *loop.Timer
	acceptPaused bool // until the next poll, as no descriptors were left
}

// Listen serves the admin API at address, "HOST:PORT" with a numeric host. Errors name the setting "mgmt".
func Listen(eventLoop *loop.Loop, operations Operations, log *logs.Log, address string) (*Server, error) {
	fd, err := loop.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	s := &Server{
		loop:        eventLoop,
		operations:  operations,
		log:         log,
		listenerFD:  fd,
		connections: map[*connection]struct{}{},
	}
	s.pollTimer = eventLoop.NewTimer(s.poll)
	if err := eventLoop.Add(fd, unix.EPOLLIN, s); err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	return s, nil
}

// Ready implements loop.Handler: it accepts the waiting connections.
func (s *Server) Ready(uint32) {
	for range MaxConnections {
		fd, err := loop.Accept(s.listenerFD)
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
			return
		}
		if err != nil {
			s.pauseAccept()
			return
		}
		s.accept(fd)
	}
}

// pauseAccept stops watching the listener until the next poll, as no descriptors are left: it would stay readable and
// the event loop would spin. Callers wait in the kernel's accept queue meanwhile.
func (s *Server) pauseAccept() {
	s.acceptPaused = true
	s.loop.SetEvents(s.listenerFD, 0)
	s.schedulePoll()
}

func (s *Server) accept(fd int) {
	if len(s.connections) >= MaxConnections {
		s.evictOne()
	}
	c := &connection{server: s, acceptedAtMs: s.loop.Now(), peer: peerAddress(fd)}
	stream, err := loop.NewStream(s.loop, fd, unix.EPOLLIN|unix.EPOLLRDHUP, c)
	if err != nil {
		return // NewStream has closed fd
	}
	c.stream = stream
	s.connections[c] = struct{}{}
	s.schedulePoll()
}

// evictOne closes an answered connection or, if there is none, answers the oldest 503 and closes it.
func (s *Server) evictOne() {
	var oldest *connection
	for c := range s.connections {
		if c.answered {
			c.close(logs.OperatorDone, nil)
			return
		}
		if oldest == nil || c.acceptedAtMs < oldest.acceptedAtMs {
			oldest = c
		}
	}
	oldest.reject(http.StatusServiceUnavailable, errTooManyConnections, logs.OperatorLimit)
	oldest.close(logs.OperatorLimit, errTooManyConnections)
}

func (s *Server) schedulePoll() { s.pollTimer.SetEarlier(s.loop.Now() + pollIntervalMs) }

// poll enforces the time limits and resumes accepting after a pause.
func (s *Server) poll() {
	nowMs := s.loop.Now()
	if s.acceptPaused && s.listenerFD >= 0 {
		s.acceptPaused = false
		s.loop.SetEvents(s.listenerFD, unix.EPOLLIN)
	}
	for c := range s.connections {
		switch {
		case c.answered && nowMs-c.answeredAtMs > LingerMs:
			c.close(logs.OperatorDone, nil)
		case !c.answered && nowMs-c.acceptedAtMs > CallTimeoutMs:
			c.reject(http.StatusRequestTimeout, errTimeout, logs.OperatorTimeout)
		}
	}
	if len(s.connections) > 0 {
		s.pollTimer.Set(nowMs + pollIntervalMs)
	}
}

// Close closes the listener and all connections. A repeated call does nothing.
func (s *Server) Close() {
	for c := range s.connections {
		c.close(logs.Shutdown, nil)
	}
	if s.listenerFD >= 0 {
		s.loop.Close(s.listenerFD)
		s.listenerFD = -1
	}
}
