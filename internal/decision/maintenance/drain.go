package maintenance

// Phase is how far a drain of the broker has come.
type Phase uint8

// The phases, in the order in which a drain passes through them. Each includes what the ones before it do.
const (
	// Serving is the phase without a drain: the health check succeeds.
	Serving Phase = iota
	// Draining fails the health check. Clients still open connections until they notice, and these are served.
	Draining
	// ClosingConnections has each answer announce that its connection closes. A client thus never finds a connection
	// closed under a request that it has just sent.
	ClosingConnections
	// ClosingIdle closes idle connections as well.
	ClosingIdle
)

// String returns the phase's name in the log.
func (p Phase) String() string {
	return [...]string{"serving", "draining", "closing connections", "closing idle connections"}[p]
}

// When the phases begin, in milliseconds after the call to drain.
const (
	// CloseAfterMs begins ClosingConnections. The platform's front checks health every 100 ms and opens connections for
	// another 200 ms after the first failure; the rest is tolerance for differences between the clocks.
	CloseAfterMs = 650.0
	// CloseIdleAfterMs begins ClosingIdle. By then the connections in use have been closed by their answers.
	CloseIdleAfterMs = 1500.0
	// DrainedByMs is when no client connection may be idle or carry a request of the last 2 s. The platform demands it.
	DrainedByMs = 4000.0
)

// BrokerDrain is the state of the broker between an operator's call to drain and the call to activate. The zero value
// is a broker that serves.
type BrokerDrain struct {
	active  bool
	sinceMs float64
}

// Begin starts a drain at nowMs. A drain in progress keeps its beginning.
func (d *BrokerDrain) Begin(nowMs float64) CallResult {
	if d.active {
		return resultAlready
	}
	d.active = true
	d.sinceMs = nowMs
	return resultDone
}

// End stops the drain, and the broker serves again.
func (d *BrokerDrain) End() CallResult {
	if !d.active {
		return resultAlready
	}
	d.active = false
	return resultDone
}

// Phase returns the phase at nowMs.
func (d *BrokerDrain) Phase(nowMs float64) Phase {
	if !d.active {
		return Serving
	}
	elapsedMs := nowMs - d.sinceMs
	switch {
	case elapsedMs < CloseAfterMs:
		return Draining
	case elapsedMs < CloseIdleAfterMs:
		return ClosingConnections
	}
	return ClosingIdle
}

// Healthy reports whether the health check succeeds in a process that could serve if ready.
func (d *BrokerDrain) Healthy(ready bool) bool { return ready && !d.active }

// SinceMs returns when the drain began, in milliseconds of the caller's clock, and 0 without one.
func (d *BrokerDrain) SinceMs() float64 {
	if !d.active {
		return 0
	}
	return d.sinceMs
}
