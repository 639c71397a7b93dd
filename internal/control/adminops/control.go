package adminops

import (
	"time"

	"ternstage/internal/decision/maintenance"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// PollIntervalMs is the interval in milliseconds at which the shared files are checked for changes by other
// processes. A change made at one process must be in force at the others within 50 ms.
const PollIntervalMs = 20.0

// EndpointSink is the scheduler as the receiver of suspensions.
type EndpointSink interface {
	// EndpointsOverridden applies the endpoints of backends that were suspended or resumed.
	EndpointsOverridden(entries []scheduler.Endpoint)
}

// EndpointLookup looks up backends in the endpoint list.
type EndpointLookup interface {
	// Endpoint returns the endpoint of a listed backend with its suspension applied, and false for a backend that is
	// not listed.
	Endpoint(id string) (scheduler.Endpoint, bool)
}

// Front is the front for HTTP clients, as far as drains control it.
type Front interface {
	// Healthy reports whether the health check succeeds.
	Healthy() bool
	// CanServe reports whether the process could serve: it has an endpoint list and does not shut down.
	CanServe() bool
	// SetDraining makes the health check fail while on is true.
	SetDraining(on bool)
	// CloseAfterResponse makes each answer close its connection while on is true.
	CloseAfterResponse(on bool)
	// CloseIdle closes the connections that are idle now; later ones stay open.
	CloseIdle()
}

// Control carries out operators' calls. It implements adminapi.Operations.
type Control struct {
	loop        *loop.Loop
	log         *logs.Log
	front       Front
	suspensions *suspensionStore
	drain       *drainer
	handover    *handoverExchange // nil without EnableHandover
	pollTimer   *loop.Timer
	stopping    bool
}

// New returns a control that stores the suspended backends in the file at path and a drain in the file at
// DrainPath(path). It reads both files and applies them; a file that cannot be used is logged and is not an error.
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

// EnableHandover makes the control take over from a predecessor, and hand over to a successor at Stop.
func (c *Control) EnableHandover(config HandoverConfig) {
	c.handover = newHandoverExchange(c.log, config)
	c.handover.poll()
}

// Suspensions returns the suspended backends, which the endpoint list applies to its entries.
func (c *Control) Suspensions() *maintenance.Suspensions { return c.suspensions.table }

// Start starts to poll the shared files and to apply the phases of a drain.
func (c *Control) Start() { c.schedulePoll() }

// Stop is called when the process shuts down: the process is no longer ready, and hands over to its successor. A
// repeated call does nothing.
func (c *Control) Stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	if c.handover != nil {
		c.handover.handOver()
	}
}

// Ready implements adminapi.Operations. It reports whether the process serves or, if the broker was draining when the
// process started, could serve. A successor is thus ready to take over during a drain, although the health check
// fails at both processes.
func (c *Control) Ready() bool {
	if c.stopping {
		return false
	}
	return c.front.Healthy() || c.drain.isInherited() && c.front.CanServe()
}

// poll applies what other processes have stored, and the current phase of a drain.
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
