package flight

import (
	"context"
	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"time"
)

// Outcomes takes what became of attempts, on the loop.
type Outcomes interface {
	AttemptEnded(a *core.Attempt, o scheduler.Outcome, value []byte)
	AttemptEndedLater(a *core.Attempt, o scheduler.Outcome)
}

// BackendOptions are the limits of the back end, from the settings.
type BackendOptions struct {
	StreamsPerConnection int
	DialTimeout          float64 // ms
	KeepAlive            float64 // ms
	MaxConnections       int
}

const (
	maxAnswerBytes = 256 << 10
	idleCloseRatio = 0.9
)

// BackendClient asks rate nodes over Flight. It implements core.Backend. A part is a DoGet of its own: Flight has no
// call that carries several tickets.
type BackendClient struct {
	loop            Loop
	core            Outcomes
	log             *logs.Log
	options         BackendOptions
	address         func(node uint32) string
	connections     map[uint32][]*backendConnection // by node: its connections; the loop's alone
	connectionCount int
	unflushed       []*attempt
}

// NewBackendClient makes the back end; address looks a node's address up.
func NewBackendClient(l Loop, c Outcomes, log *logs.Log, o BackendOptions, address func(uint32) string) *BackendClient {
	return &BackendClient{loop: l, core: c, log: log, options: o, address: address, connections: map[uint32][]*backendConnection{}}
}

// Send implements core.Backend.
func (n *BackendClient) Send(a *core.Attempt) {
	x := &attempt{Attempt: a}
	a.Handle = x
	n.unflushed = append(n.unflushed, x)
}

// Flush implements core.Backend.
func (n *BackendClient) Flush() {
	turn := n.unflushed
	n.unflushed = nil
	for _, x := range turn {
		if x.ended {
			continue
		}
		if x.connection = n.selectConnection(x.Backend); x.connection == nil {
			x.ended = true
			n.core.AttemptEndedLater(x.Attempt, scheduler.ConnectFailed)
			continue
		}
		x.connection.inFlight++
		left := time.Duration(max(x.Deadline-n.loop.Now(), 1) * 1e6)
		hold := time.Duration(max(min(x.StartBy-n.loop.Now(), n.options.DialTimeout), 0) * 1e6)
		ctx, cancel := context.WithTimeout(context.Background(), left)
		x.cancel = cancel
		go n.runAttempt(ctx, x, left, hold)
	}
}

// Withdraw implements core.Backend.
func (n *BackendClient) Withdraw(a *core.Attempt) bool {
	x, _ := a.Handle.(*attempt)
	if x == nil || x.ended || !x.state.CompareAndSwap(stateWaiting, stateWithdrawn) {
		return false
	}
	n.endWait(x)
	return true
}

// Abandon implements core.Backend.
func (n *BackendClient) Abandon(a *core.Attempt) (neverRan bool) {
	if n.Withdraw(a) {
		return true
	}
	if x, _ := a.Handle.(*attempt); x != nil && !x.ended {
		n.endWait(x)
	}
	return false
}

// endWait ends the wait for an attempt.
func (n *BackendClient) endWait(x *attempt) {
	if x.ended = true; x.cancel != nil {
		x.cancel()
	}
}

// CloseIdleConnections implements core.Backend.
func (n *BackendClient) CloseIdleConnections(node uint32) {
	for _, ch := range n.connections[node] {
		if ch.inFlight == 0 {
			n.retire(ch)
		}
	}
}

// Close closes what is open, at the end of the program.
func (n *BackendClient) Close() {
	for _, list := range n.connections {
		for _, ch := range list {
			_ = ch.grpcConn.Close()
			n.log.ConnectionEnded(logs.Shutdown, ch.address, ch.served, nil)
		}
	}
	clear(n.connections)
}
