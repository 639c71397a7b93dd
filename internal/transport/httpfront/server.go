package httpfront

import (
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/contract"
	"ternstage/internal/core"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// Core answers queries. *core.Core implements it.
type Core interface {
	// Submit takes a request, and calls its Client.Deliver with the final answer, from within Submit or later. On an
	// error it has not taken it.
	Submit(*core.Request) error
	// ClientDisconnected reports whether the client of a request that Submit took has disconnected. Client.Deliver is not
	// called for it any more.
	ClientDisconnected(*core.Request)
}

// Options are the limits of a server, and what it serves beside queries.
type Options struct {
	// MaxConnections is the maximum number of connections at once; less than 1, as by default, stands for 1. The
	// connection that reaches it evicts another (see Server.FreeDescriptor).
	MaxConnections int
	// MaxBufferedBytes is the maximum size in bytes of the requests and answers that all connections buffer; by default
	// 0. Beyond it a request that has not arrived is answered 503.
	MaxBufferedBytes int
	// Pages are further paths, and what writes the JSON document that each of them shows; by default none.
	Pages map[string]func() []byte
	// InheritedFD is a listening TCP socket that the process was given, used in place of one on the address; 0 or less,
	// as by default, for none. It is left open for the process that takes over.
	InheritedFD int
}

// Server is the listener for clients. Its methods are called on the event loop.
type Server struct {
	loop      *loop.Loop
	core      Core
	contracts *contract.Contracts
	log       *logs.Log
	ready     func() bool
	pages     map[string]func() []byte

	listenerFD        int  // -1 once closed
	listenerInherited bool // another process takes over what waits in it
	acceptTimer       *loop.Timer
	timeoutTimer      *loop.Timer

	connections      map[*connection]struct{}
	maxConnections   int
	bufferedBytes    int // sum over connections
	maxBufferedBytes int

	shuttingDown       bool    // set by BeginShutdown
	draining           bool    // set by SetDraining
	closeAfterResponse bool    // set by CloseAfterResponse
	listenerClosedAtMs float64 // set by StopListening; 0 before
}

// NewServer serves clients at address, "HOST:PORT" with a numeric host, or on an inherited listener. ready tells
// whether the program knows what it needs for serving; until then health checks fail. Errors are those of opening the
// listener or of registering it with the loop.
func NewServer(eventLoop *loop.Loop, queries Core, contracts *contract.Contracts, log *logs.Log, address string,
	options Options, ready func() bool) (*Server, error) {
	fd, err := listen(log, address, options.InheritedFD)
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:              eventLoop,
		core:              queries,
		contracts:         contracts,
		log:               log,
		ready:             ready,
		pages:             options.Pages,
		listenerFD:        fd,
		listenerInherited: options.InheritedFD > 0,
		connections:       map[*connection]struct{}{},
		maxConnections:    max(options.MaxConnections, 1),
		maxBufferedBytes:  options.MaxBufferedBytes,
	}
	s.timeoutTimer = eventLoop.NewTimer(s.enforceTimeouts)
	s.acceptTimer = eventLoop.NewTimer(s.acceptPending)
	if err := eventLoop.Add(fd, unix.EPOLLIN, s); err != nil {
		return nil, err
	}
	s.timeoutTimer.Set(eventLoop.Now() + timeoutCheckIntervalMs)
	return s, nil
}

// listen returns the inherited listener, or one of its own if there is none. The address of an inherited one is only
// compared: who starts the process decides.
func listen(log *logs.Log, address string, inheritedFD int) (int, error) {
	if inheritedFD <= 0 {
		return loop.Listen(address)
	}
	inheritedAddress, err := loop.Inherit(inheritedFD)
	if err != nil {
		return -1, err
	}
	if inheritedAddress != address {
		log.Info("the inherited listener is not on the address", zap.String("listen", address),
			zap.String("inherited", inheritedAddress), zap.Int("fd", inheritedFD))
	}
	return inheritedFD, nil
}

// CanServe reports whether the program knows what it needs for serving and has not begun its shutdown.
func (s *Server) CanServe() bool { return s.ready() && !s.shuttingDown }

// Healthy reports whether health checks succeed: the program can serve, and operators do not drain it.
func (s *Server) Healthy() bool { return s.CanServe() && !s.draining }

// ConnectionCounts returns the number of connections, and of those whose side of ours is not shut down.
func (s *Server) ConnectionCounts() (all, serving int) {
	for c := range s.connections {
		if !c.ending.lingering() {
			serving++
		}
	}
	return len(s.connections), serving
}

// Close closes all connections. The listener is closed by StopListening.
func (s *Server) Close() {
	for c := range s.connections {
		c.close(logs.Shutdown, nil)
	}
}
