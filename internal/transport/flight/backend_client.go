package flight

import (
	"context"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
)

// Outcomes takes the outcomes of attempts, on the loop.
type Outcomes interface {
	// AttemptEnded reports an outcome; value is the answer of an attempt that succeeded and nil otherwise.
	AttemptEnded(attempt *core.Attempt, outcome scheduler.Outcome, value []byte)
	// AttemptEndedLater does the same from within a call by core, which is not called back: it only queues the outcome.
	AttemptEndedLater(attempt *core.Attempt, outcome scheduler.Outcome)
}

// BackendOptions are the limits of a BackendClient. They have no defaults: they come from the platform's settings.
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

// BackendClient asks backends over Flight. It implements core.Transport. Each part is a DoGet of its own, as no call of
// Flight carries several tickets. Its methods are called on the loop.
type BackendClient struct {
	loop    Loop
	core    Outcomes
	log     *logs.Log
	options BackendOptions
	address func(replica uint32) string // "" for a backend that is not in the endpoint list

	connections     map[uint32][]*backendConnection // by replica number
	connectionCount int                             // to all backends
	unflushed       []*attempt                      // sent since the last Flush
}

// NewBackendClient returns a BackendClient without connections. address returns the address of a backend by its replica
// number, and "" for one that is not in the endpoint list.
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

// Send implements core.Transport.
func (c *BackendClient) Send(coreAttempt *core.Attempt) {
	attempt := &attempt{Attempt: coreAttempt}
	coreAttempt.Handle = attempt
	c.unflushed = append(c.unflushed, attempt)
}

// Flush implements core.Transport.
func (c *BackendClient) Flush() {
	unflushed := c.unflushed
	c.unflushed = nil
	for _, attempt := range unflushed {
		if !attempt.ended {
			c.start(attempt)
		}
	}
}

// start starts the goroutine of an attempt. Without a connection the attempt ends as ConnectFailed.
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

// Withdraw implements core.Transport. An attempt can be withdrawn until its call begins.
func (c *BackendClient) Withdraw(coreAttempt *core.Attempt) bool {
	attempt, _ := coreAttempt.Handle.(*attempt)
	if attempt == nil || attempt.ended {
		return false
	}
	withdrawn := attempt.state.CompareAndSwap(stateWaiting, stateNeverBegins)
	if !withdrawn {
		return false
	}
	attempt.endWait()
	return true
}

// Abandon implements core.Transport. gRPC tells the backend that the call is cancelled.
func (c *BackendClient) Abandon(coreAttempt *core.Attempt) (neverRan bool) {
	withdrawn := c.Withdraw(coreAttempt)
	if withdrawn {
		return true
	}
	attempt, _ := coreAttempt.Handle.(*attempt)
	if attempt != nil && !attempt.ended {
		attempt.endWait()
	}
	return false
}

// CloseIdleConnections implements core.Transport.
func (c *BackendClient) CloseIdleConnections(replica uint32) {
	// retire replaces the list that is ranged over.
	for _, connection := range c.connections[replica] {
		if connection.inFlight == 0 {
			c.retire(connection)
		}
	}
}

// Close closes all connections, at the end of the process. The calls in flight end, and with them their goroutines.
func (c *BackendClient) Close() {
	for _, connections := range c.connections {
		for _, connection := range connections {
			_ = connection.grpcConn.Close()
			c.log.ConnectionEnded(logs.Shutdown, connection.address, connection.callsServed, nil)
		}
	}
	clear(c.connections)
}
