package backendpool

import (
	"slices"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// Options are the limits of a Pool. They have no defaults: they come from the platform's settings.
type Options struct {
	// MaxPartsPerCall is the maximum number of parts in one call. Less than 1 counts as 1.
	MaxPartsPerCall int
	// StreamsPerConnection is the maximum number of calls in flight on one connection. Less than 1 counts as 1.
	StreamsPerConnection int
	// DialTimeoutMs is the time in ms within which a connection is established.
	DialTimeoutMs float64
	// IdleTimeoutMs is the time in ms after which a backend closes an idle connection.
	IdleTimeoutMs float64
	// MaxConnections is the maximum number of connections to all backends together. Less than 1 counts as 1.
	MaxConnections int
	// Resharding reports whether shards move between backends, so that a backend may answer that it is not the holder.
	Resharding bool
	// FreeDescriptor closes something that can be spared when the process is out of file descriptors, and tells
	// whether it did. It may be nil: then only idle connections to backends are closed.
	FreeDescriptor func() bool
}

// Core takes the outcomes of attempts, on the loop.
type Core interface {
	// AttemptEnded reports an outcome; value is the answer of an attempt that succeeded and nil otherwise.
	AttemptEnded(attempt *core.Attempt, outcome scheduler.Outcome, value []byte)
	// AttemptEndedLater does the same from within a call by core, which is not called back: it only queues the outcome.
	AttemptEndedLater(attempt *core.Attempt, outcome scheduler.Outcome)
}

// Pool holds the connections to all backends. It implements core.Transport.
type Pool struct {
	loop    *loop.Loop
	core    Core
	log     *logs.Log
	options Options
	address func(replica uint32) string // "" for a backend that is not in the endpoint list

	backends        map[uint32]*backendState // by replica number
	unflushed       []*backendState          // those with unplaced attempts
	connectionCount int                      // to all backends
	idleRisk        idleRisk
	connectionLimit connectionLimit
	timer           *loop.Timer // for the earliest of all timeouts
}

// backendState is what the pool has of one backend.
type backendState struct {
	replica     uint32
	address     string // at the last Flush
	connections []*connection
	unplaced    []*core.Attempt // sent since the last Flush
}

// NewPool returns a Pool without connections. address returns the address of a backend by its replica number, and ""
// for one that is not in the endpoint list.
func NewPool(eventLoop *loop.Loop, outcomes Core, log *logs.Log, options Options,
	address func(replica uint32) string) *Pool {
	options.MaxPartsPerCall = max(options.MaxPartsPerCall, 1)
	options.StreamsPerConnection = max(options.StreamsPerConnection, 1)
	options.MaxConnections = max(options.MaxConnections, 1)
	p := &Pool{
		loop:     eventLoop,
		core:     outcomes,
		log:      log,
		options:  options,
		address:  address,
		backends: map[uint32]*backendState{},
	}
	p.timer = eventLoop.NewTimer(p.enforceTimeouts)
	return p
}

// Send implements core.Transport.
func (p *Pool) Send(attempt *core.Attempt) {
	backend := p.backends[attempt.Backend]
	if backend == nil {
		backend = &backendState{replica: attempt.Backend}
		p.backends[attempt.Backend] = backend
	}
	if len(backend.unplaced) == 0 {
		p.unflushed = append(p.unflushed, backend)
	}
	backend.unplaced = append(backend.unplaced, attempt)
}

// Flush implements core.Transport.
func (p *Pool) Flush() {
	unflushed := p.unflushed
	p.unflushed = nil
	for _, backend := range unflushed {
		p.flushBackend(backend)
	}
	p.armTimer()
}

// flushBackend places the unplaced attempts to one backend and writes what its connections take.
func (p *Pool) flushBackend(backend *backendState) {
	attempts := backend.unplaced
	backend.unplaced = nil
	p.updateAddress(backend)
	for attemptsOfCall := range slices.Chunk(attempts, p.options.MaxPartsPerCall) {
		p.placeCall(backend, attemptsOfCall)
	}
	// A connection that cannot be written to is closed, which changes the list.
	for _, c := range slices.Clone(backend.connections) {
		c.write()
	}
}

// updateAddress takes over the address of the endpoint list. Connections to another one take no new calls.
func (p *Pool) updateAddress(backend *backendState) {
	address := p.address(backend.replica)
	if address == backend.address {
		return
	}
	for _, c := range backend.connections {
		c.retire(logs.BackendAddressChanged)
	}
	backend.address = address
}

// CloseIdleConnections implements core.Transport.
func (p *Pool) CloseIdleConnections(replica uint32) {
	backend := p.backends[replica]
	if backend == nil {
		return
	}
	for _, c := range slices.Clone(backend.connections) {
		if len(c.calls) == 0 {
			c.close(logs.BackendIdle, nil)
		}
	}
}

// OpenConnections returns the number of connections to all backends, including those not yet established.
func (p *Pool) OpenConnections() int { return p.connectionCount }

// Close closes all connections, at the end of the process. Attempts in flight end as on any closed connection.
func (p *Pool) Close() {
	for _, backend := range p.backends {
		for _, c := range slices.Clone(backend.connections) {
			c.close(logs.Shutdown, nil)
		}
	}
}
