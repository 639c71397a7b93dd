package adminapi

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

// Bounds of the API.
const (
	MaxConnections = 64      // connections at once; at the bound the oldest that has not called is answered no
	MaxHeaderBytes = 4 << 10 // bytes of a call's head
	MaxBodyBytes   = 4 << 10 // bytes of a body, which no call needs and which is thrown away
	AnswerWithinMs = 800.0   // ms after the connect by which a call that has not come whole is answered no
	LingerMs       = 1000.0  // ms after the answer in which what a caller still sends is thrown away
	pollIntervalMs = 50.0    // ms between looks at the connections
	maxReadBytes   = MaxHeaderBytes + MaxBodyBytes
)

// Server listens for operators.
type Server struct {
	loop         *loop.Loop
	operations   Operations
	log          *logs.Log
	listenerFD   int
	connections  map[*connection]struct{}
	pollTimer    *loop.Timer
	address      string
	acceptPaused bool // the listener is not watched, for want of descriptors
}

// Listen listens for operators on an address.
func Listen(l *loop.Loop, calls Operations, log *logs.Log, address string) (*Server, error) {
	fd, err := loop.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	d := &Server{loop: l, operations: calls, log: log, listenerFD: fd, connections: map[*connection]struct{}{}, address: address}
	d.pollTimer = l.NewTimer(d.poll)
	if err := l.Add(fd, unix.EPOLLIN, d); err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	return d, nil
}

// Ready implements loop.Handler: callers wait to be taken.
func (d *Server) Ready(uint32) {
	for range MaxConnections {
		fd, err := loop.Accept(d.listenerFD)
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
			return
		}
		if err != nil {
			// No descriptor: the caller waits in the kernel's queue, and the listener is left alone for a
			// while, as it stays ready and would have the loop spin.
			d.loop.SetEvents(d.listenerFD, 0)
			d.acceptPaused = true
			d.pollTimer.SetEarlier(d.loop.Now() + pollIntervalMs)
			return
		}
		if len(d.connections) >= MaxConnections {
			d.evictOne()
		}
		c := &connection{server: d, acceptedAtMs: d.loop.Now(), peer: peerOf(fd)}
		s, err := loop.NewStream(d.loop, fd, unix.EPOLLIN|unix.EPOLLRDHUP, c)
		if err != nil {
			continue
		}
		c.stream = s
		d.connections[c] = struct{}{}
		d.pollTimer.SetEarlier(d.loop.Now() + pollIntervalMs)
	}
}

// evictOne closes a connection that has had its answer, or else answers no to the one that came first.
func (d *Server) evictOne() {
	var o *connection
	for c := range d.connections {
		if c.answered {
			c.close(logs.OperatorDone, nil)
			return
		}
		if o == nil || c.acceptedAtMs < o.acceptedAtMs {
			o = c
		}
	}
	o.fail(503, errTooManyConnections, logs.OperatorLimit)
	o.close(logs.OperatorLimit, errTooManyConnections)
}

// poll answers calls that take too long and closes what lingers.
func (d *Server) poll() {
	now := d.loop.Now()
	if d.acceptPaused && d.listenerFD >= 0 {
		d.acceptPaused = false
		d.loop.SetEvents(d.listenerFD, unix.EPOLLIN)
	}
	for c := range d.connections {
		switch {
		case c.answered && now-c.answeredAtMs > LingerMs:
			c.close(logs.OperatorDone, nil)
		case !c.answered && now-c.acceptedAtMs > AnswerWithinMs:
			c.fail(408, errTimeout, logs.OperatorTimeout)
		}
	}
	if len(d.connections) > 0 {
		d.pollTimer.Set(now + pollIntervalMs)
	}
}

// Close closes the API and every connection at it.
func (d *Server) Close() {
	for c := range d.connections {
		c.close(logs.Shutdown, nil)
	}
	if d.listenerFD >= 0 {
		d.loop.Close(d.listenerFD)
		d.listenerFD = -1
	}
}
