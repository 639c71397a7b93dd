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
	// Submit accepts a request. The final answer is passed to the request's Client.Deliver, before Submit returns or
	// later. If Submit returns an error, it has not accepted the request.
	Submit(*core.Request) error
	// ClientDisconnected informs core that the client of an accepted request has disconnected. Client.Deliver is not
	// called for the request any more.
	ClientDisconnected(*core.Request)
}

// Options are the limits of a server, its additional pages and its inherited listener.
type Options struct {
	// MaxConnections is the maximum number of open connections. Values below 1, such as the default 0, stand for 1. At
	// the maximum, a new connection evicts another (see Server.FreeDescriptor).
	MaxConnections int
	// MaxBufferedBytes is the maximum size in bytes of the requests and answers that all connections together buffer;
	// by default 0. Beyond it a request that has not arrived in full is answered 503.
	MaxBufferedBytes int
	// Pages maps additional paths to functions that return the page's JSON document; by default there are none.
	Pages map[string]func() []byte
	// InheritedFD is the descriptor of a listening TCP socket that the process inherited. The server uses it instead of
	// listening on the address. Values of 0 (the default) or less stand for none. The socket stays open for the process
	// that takes over.
	InheritedFD int
}

// Server accepts and serves the connections of clients. Its methods must be called on the event loop.
type Server struct {
	loop      *loop.Loop
	core      Core
	contracts *contract.Contracts
	log       *logs.Log
	ready     func() bool
	pages     map[string]func() []byte

	listenerFD        int  // -1 once closed
	listenerInherited bool // another process can accept the connections queued in it
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

// NewServer returns a server that listens on address, "HOST:PORT" with a numeric host, or on an inherited listener.
// ready reports whether the program has the data that it needs for serving; until then health checks fail. It returns
// an error if the listener cannot be opened or registered with the loop.
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

// listen returns the inherited listener, or opens one if there is none. An inherited listener is used even if it is
// not on the address, which is only logged: whoever starts the process chooses its listener.
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

// CanServe reports whether the program has the data that it needs for serving and has not begun its shutdown.
func (s *Server) CanServe() bool { return s.ready() && !s.shuttingDown }

// Healthy reports whether health checks succeed: the program can serve and is not draining.
func (s *Server) Healthy() bool { return s.CanServe() && !s.draining }

// ConnectionCounts returns the number of open connections, and the number of those that do not linger.
func (s *Server) ConnectionCounts() (all, serving int) {
	for c := range s.connections {
		if !c.ending.isLingering() {
			serving++
		}
	}
	return len(s.connections), serving
}

// Close closes all connections. It does not close the listener; StopListening does.
func (s *Server) Close() {
	for c := range s.connections {
		c.close(logs.Shutdown, nil)
	}
}
