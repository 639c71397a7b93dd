package flight

import (
	"context"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
)

// Outcomes receives the outcomes of attempts. Its methods are called on the loop.
type Outcomes interface {
	// AttemptEnded reports an outcome. value is the answer if the attempt succeeded, and nil otherwise.
	AttemptEnded(attempt *core.Attempt, outcome scheduler.Outcome, value []byte)
	// AttemptEndedLater queues an outcome without a value. It is for use while core calls the transport, since core
	// must not be called back from within its own call.
	AttemptEndedLater(attempt *core.Attempt, outcome scheduler.Outcome)
}

// BackendOptions are the limits of a BackendClient. They have no defaults, as they come from the platform's settings.
type BackendOptions struct {
	// StreamsPerConnection is the maximum number of calls in flight on one connection.
	StreamsPerConnection int
	// DialTimeoutMs is the time in ms for which an attempt waits for its connection.
	DialTimeoutMs float64
	// IdleTimeoutMs is the time in ms after which a backend closes an idle connection.
	IdleTimeoutMs float64
	// MaxConnections is the maximum number of connections to all backends together.
	MaxConnections int
}

// BackendClient sends attempts to backends over Flight. It implements core.Transport. Each attempt is a separate
// DoGet, since a Flight call carries only one ticket. The methods of BackendClient must be called on the loop.
type BackendClient struct {
	loop    Loop
	core    Outcomes
	log     *logs.Log
	options BackendOptions
	address func(replica uint32) string // "" for a backend that is not in the endpoint list

	connections     map[uint32][]*backendConnection // by replica number
	connectionCount int                             // connections to all backends together
	unflushed       []*attempt                      // sent since the last Flush
}

// NewBackendClient returns a BackendClient without connections. address returns the address of a backend by its
// replica number, and "" for one that is not in the endpoint list.
func NewBackendClient(loop Loop, outcomes Outcomes, log *logs.Log, options BackendOptions,
	address func(replica uint32) string) *BackendClient {
	return &BackendClient{
		loop:        loop,
		core:        outcomes,
		log:         log,
		options:     options,
		address:     address,
		connections: map[uint32][]*backendConnection{},
	}
}

// Send implements core.Transport. It queues the attempt for the next Flush.
func (c *BackendClient) Send(coreAttempt *core.Attempt) {
	attempt := &attempt{Attempt: coreAttempt, end: &callEnd{}}
	coreAttempt.Handle = attempt
	c.unflushed = append(c.unflushed, attempt)
}

// Flush implements core.Transport. It starts the queued attempts.
func (c *BackendClient) Flush() {
	unflushed := c.unflushed
	c.unflushed = nil
	for _, attempt := range unflushed {
		if !attempt.ended {
			c.start(attempt)
		}
	}
}

// start selects a connection for an attempt and starts its goroutine. If no connection is available, the attempt ends
// with ConnectFailed.
func (c *BackendClient) start(attempt *attempt) {
	attempt.connection = c.selectConnection(attempt.Backend)
	if attempt.connection == nil {
		attempt.ended = true
		c.core.AttemptEndedLater(attempt.Attempt, scheduler.ConnectFailed)
		return
	}
	attempt.connection.inFlight++
	now := c.loop.Now()
	attempt.remaining = fromMs(max(attempt.Deadline-now, minRemainingMs))
	attempt.startWindow = fromMs(max(min(attempt.StartBy-now, c.options.DialTimeoutMs), 0))
	ctx, cancel := context.WithTimeout(context.Background(), attempt.remaining)
	attempt.cancel = cancel
	go c.runAttempt(ctx, attempt)
}

// Withdraw implements core.Transport. An attempt can be withdrawn until its call starts.
func (c *BackendClient) Withdraw(coreAttempt *core.Attempt) bool {
	attempt, _ := coreAttempt.Handle.(*attempt)
	if attempt == nil || attempt.ended {
		return false
	}
	withdrawn := attempt.state.CompareAndSwap(stateWaiting, stateAborted)
	if !withdrawn {
		return false
	}
	attempt.discard()
	return true
}

// Abandon implements core.Transport. gRPC informs the backend that the call is cancelled.
func (c *BackendClient) Abandon(coreAttempt *core.Attempt) (neverRan bool) {
	withdrawn := c.Withdraw(coreAttempt)
	if withdrawn {
		return true
	}
	attempt, _ := coreAttempt.Handle.(*attempt)
	if attempt != nil && !attempt.ended {
		attempt.discard()
	}
	return false
}

// CloseIdleConnections implements core.Transport.
func (c *BackendClient) CloseIdleConnections(replica uint32) {
	// retire replaces the list and does not change the one that is ranged over.
	for _, connection := range c.connections[replica] {
		if connection.inFlight == 0 {
			c.retire(connection)
		}
	}
}

// Close closes all connections, at the end of the process. This ends the calls in flight and their goroutines.
func (c *BackendClient) Close() {
	for _, connections := range c.connections {
		for _, connection := range connections {
			_ = connection.grpcConn.Close()
			c.log.ConnectionEnded(logs.Shutdown, connection.address, connection.succeededAttempts, nil)
		}
	}
	clear(c.connections)
}
