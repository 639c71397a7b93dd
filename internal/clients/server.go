package clients

import (
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/contract"
	"ternstage/internal/core"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

// Core is what the front asks of core.
type Core interface {
	Submit(*core.Request) error
	ClientDisconnected(*core.Request)
}

// Options are the limits of the front.
type Options struct {
	MaxConnections   int                      // connections
	MaxBufferedBytes int                      // of requests and answers on them, at any moment
	Pages            map[string]func() []byte // further paths that show something, as JSON, and who writes it

	// InheritedFD is a listening socket that the process was given, used in place of one on the address; 0 or
	// less for none (descriptor 0 is never one).
	InheritedFD int
}

// Server is the HTTP front.
type Server struct {
	loop               *loop.Loop
	core               Core
	contracts          *contract.Contracts
	log                *logs.Log
	ready              func() bool
	maxConnections     int
	maxBufferedBytes   int // bytes that all connections may hold
	bufferedBytes      int // bytes that they do
	listenerFD         int
	listenerInherited  bool // the listener is the platform's, which keeps it across processes
	connections        map[*connection]struct{}
	timeoutTimer       *loop.Timer // looks after slow clients
	acceptTimer        *loop.Timer // accepts again
	shuttingDown       bool        // health says no: the program ends
	draining           bool        // health says no: the operators have the clients sent away
	listenerClosedAtMs float64     // since when every answer is the last of its connection as the program ends; 0 before
	closeAfterResponse bool        // so, while clients are sent away
	onIdle             func()
	pages              map[string]func() []byte
}

// NewServer listens. ready tells whether the program serves.
func NewServer(l *loop.Loop, c Core, b *contract.Contracts, log *logs.Log, address string, o Options,
	ready func() bool) (*Server, error) {
	fd, err := o.InheritedFD, error(nil)
	if fd > 0 {
		var at string
		if at, err = loop.Inherit(fd); err == nil && at != address {
			log.Info("the inherited listener is not on the address", zap.String("listen", address),
				zap.String("inherited", at), zap.Int("fd", fd))
		}
	} else {
		fd, err = loop.Listen(address)
	}
	if err != nil {
		return nil, err
	}
	s := &Server{loop: l, core: c, contracts: b, log: log, ready: ready, maxConnections: max(o.MaxConnections, 1), maxBufferedBytes: o.MaxBufferedBytes,
		listenerFD: fd, listenerInherited: o.InheritedFD > 0, connections: map[*connection]struct{}{}, pages: o.Pages}
	s.timeoutTimer, s.acceptTimer = l.NewTimer(s.enforceTimeouts), l.NewTimer(s.acceptPending)
	if err := l.Add(fd, unix.EPOLLIN, s); err != nil {
		return nil, err
	}
	s.timeoutTimer.Set(l.Now() + timeoutCheckIntervalMs)
	return s, nil
}

// CanServe tells whether the program could serve: it knows what it has to, and does not end.
func (s *Server) CanServe() bool { return s.ready() && !s.shuttingDown }

// Healthy is what health says.
func (s *Server) Healthy() bool { return s.CanServe() && !s.draining }

// ConnectionCounts is how many connections there are, and how many of them we have not ended.
func (s *Server) ConnectionCounts() (all, serving int) {
	for c := range s.connections {
		if !c.ending.lingering() {
			serving++
		}
	}
	return len(s.connections), serving
}

// Close closes what is open, at the end of the program.
func (s *Server) Close() {
	for c := range s.connections {
		c.close(logs.Shutdown, nil)
	}
}
