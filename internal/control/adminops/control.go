package adminops

import (
	"time"

	"ternstage/internal/decision/maintenance"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// PollIntervalMs is how often the shared files are checked for changes by other processes, in milliseconds. It is
// well within the 50 ms of tolerance for a change made at one process to be in force at the others.
const PollIntervalMs = 20.0

// EndpointSink is the scheduler as it hears of changes to the endpoint list.
type EndpointSink interface {
	EndpointsChanged(kind scheduler.UpdateKind, entries []scheduler.Endpoint)
}

// EndpointLookup returns the endpoint of a listed backend with its suspension applied, and false for a backend that
// is not listed.
type EndpointLookup interface {
	Endpoint(id string) (scheduler.Endpoint, bool)
}

// Front is the clients' front, as far as drains need it.
type Front interface {
	// Healthy reports whether the health check succeeds.
	Healthy() bool
	// CanServe reports whether the process could serve: it has an endpoint list and does not shut down.
	CanServe() bool
	// SetDraining has the health check fail while on.
	SetDraining(on bool)
	// CloseAfterResponse has each answer close its connection while on.
	CloseAfterResponse(on bool)
	// CloseIdle closes the connections that are idle now.
	CloseIdle()
}

// Control carries out operators' calls. It implements adminapi.Operations.
type Control struct {
	loop        *loop.Loop
	log         *logs.Log
	front       Front
	suspensions *suspensionStore
	drain       *drainer
	handover    *handoverExchange // nil when no other process takes over
	pollTimer   *loop.Timer
	stopping    bool
}

// New returns a control that stores suspended backends in the file at path and a drain beside it, at DrainPath(path).
// Both are read at once and applied to front; a file that cannot be used is logged and does not stop the start.
func New(
	eventLoop *loop.Loop, log *logs.Log, path string, endpoints EndpointLookup, sink EndpointSink, front Front,
) *Control {
	c := &Control{
		loop:        eventLoop,
		log:         log,
		front:       front,
		suspensions: newSuspensionStore(log, path, endpoints, sink),
		drain:       newDrainer(eventLoop, log, DrainPath(path), front),
	}
	c.pollTimer = eventLoop.NewTimer(c.poll)
	c.suspensions.refresh()
	c.drain.start()
	return c
}

// EnableHandover has the control hand over to a successor at Stop, and take over from a predecessor.
func (c *Control) EnableHandover(config HandoverConfig) {
	c.handover = newHandoverExchange(c.log, config)
	c.handover.poll()
}

// Suspensions returns the suspended backends, for the endpoint list to apply.
func (c *Control) Suspensions() *maintenance.Suspensions { return c.suspensions.table }

// Start begins to poll the shared files and to follow the phases of a drain.
func (c *Control) Start() { c.schedulePoll() }

// Stop notes that the process shuts down: it is no longer ready, and hands over to its successor. A repeated call
// does nothing.
func (c *Control) Stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	if c.handover != nil {
		c.handover.handOver()
	}
}

// Ready implements adminapi.Operations: whether the process serves or, if the broker was drained before it started,
// could serve. A drain thus does not keep a successor from taking over, while the health check fails at both.
func (c *Control) Ready() bool {
	if c.stopping {
		return false
	}
	return c.front.Healthy() || c.drain.inheritedInForce() && c.front.CanServe()
}

func (c *Control) poll() {
	c.suspensions.refresh()
	if c.handover != nil && !c.stopping {
		c.handover.poll()
	}
	c.drain.refresh()
	c.drain.applyPhase()
	c.schedulePoll()
}

func (c *Control) schedulePoll() { c.pollTimer.Set(c.loop.Now() + PollIntervalMs) }

func unixNowMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }
