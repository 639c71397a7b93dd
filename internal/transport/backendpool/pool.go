package backendpool

import (
	"slices"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// Options are the limits of a Pool. They have no defaults, because they come from the platform's settings.
type Options struct {
	// MaxPartsPerCall is the maximum number of parts in one call. Less than 1 counts as 1.
	MaxPartsPerCall int
	// StreamsPerConnection is the maximum number of calls in flight on one connection. Less than 1 counts as 1.
	StreamsPerConnection int
	// DialTimeoutMs is the time in ms within which a connection must be established.
	DialTimeoutMs float64
	// IdleTimeoutMs is the time in ms after which a backend closes an idle connection.
	IdleTimeoutMs float64
	// MaxConnections is the maximum number of connections to all backends together. Less than 1 counts as 1.
	MaxConnections int
	// Resharding reports whether shards may move between backends, so that a backend may answer that it has no
	// replica of the part's shard.
	Resharding bool
	// FreeDescriptor is called when the process is out of file descriptors. It closes a descriptor that is not needed
	// and reports whether it did. If it is nil, or returns false, an idle connection to a backend is closed instead.
	FreeDescriptor func() bool
}

// Core receives the outcomes of attempts, on the loop's thread.
type Core interface {
	// AttemptEnded reports an outcome. value is the answer of an attempt that succeeded, and nil for other outcomes.
	AttemptEnded(attempt *core.Attempt, outcome scheduler.Outcome, value []byte)
	// AttemptEndedLater reports an outcome without a value. Unlike AttemptEnded it may be called while core is
	// calling the pool, because it only queues the outcome.
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
	unflushed       []*backendState          // backends with unplaced attempts
	connectionCount int                      // to all backends
	idleRisk        idleRisk
	connectionLimit connectionLimit
	timer           *loop.Timer // armed for the earliest timeout of all connections
}

// backendState is the pool's state of one backend.
type backendState struct {
	replica     uint32
	address     string // as of the last Flush
	connections []*connection
	unplaced    []*core.Attempt // passed to Send since the last Flush
}

// NewPool returns a Pool without connections. address returns the address of a backend by its replica number, or ""
// if the backend is not in the endpoint list.
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

// flushBackend places the unplaced attempts of one backend on connections and writes to them.
func (p *Pool) flushBackend(backend *backendState) {
	attempts := backend.unplaced
	backend.unplaced = nil
	p.updateAddress(backend)
	for attemptsOfCall := range slices.Chunk(attempts, p.options.MaxPartsPerCall) {
		p.placeCall(backend, attemptsOfCall)
	}
	// A clone, because a failed write closes the connection, which removes it from the list.
	for _, c := range slices.Clone(backend.connections) {
		c.write()
	}
}

// updateAddress updates the backend's address from the endpoint list. If it has changed, the connections to the old
// address are retired.
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

// Close closes all connections when the process shuts down. Attempts in flight end as on any closed connection.
func (p *Pool) Close() {
	for _, backend := range p.backends {
		for _, c := range slices.Clone(backend.connections) {
			c.close(logs.Shutdown, nil)
		}
	}
}
