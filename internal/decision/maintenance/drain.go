package maintenance

// Phase says how far a drain of the broker has come.
type Phase uint8

// The phases, in the order of a drain. From Draining on, each phase also does what the phases before it do.
const (
	// Serving is the phase without a drain: the health check succeeds.
	Serving Phase = iota
	// Draining fails the health check. Clients still open connections until they notice, and the broker serves them.
	Draining
	// ClosingConnections makes each answer announce that the connection will be closed. Therefore no connection is
	// closed while a client sends a request on it.
	ClosingConnections
	// ClosingIdle closes idle connections as well.
	ClosingIdle
)

// String returns the name of the phase in log lines.
func (p Phase) String() string {
	return [...]string{"serving", "draining", "closing connections", "closing idle connections"}[p]
}

// The times at which phases begin, in milliseconds after the call to drain.
const (
	// CloseAfterMs is the beginning of ClosingConnections. The platform's front checks health every 100 ms and opens
	// connections for another 200 ms after the first failure. The rest allows for differences between clocks.
	CloseAfterMs = 650.0
	// CloseIdleAfterMs is the beginning of ClosingIdle. By then connections in use have been closed after an answer.
	CloseIdleAfterMs = 1500.0
	// DrainedByMs is the deadline of the drain, which the platform requires. From then on no client connection may be
	// idle or carry a request of the last 2 s.
	DrainedByMs = 4000.0
)

// BrokerDrain tracks a drain of the broker, which lasts from an operator's call to drain to the call to activate. The
// zero value is a broker that is not draining.
type BrokerDrain struct {
	active  bool
	sinceMs float64 // when the drain began, in milliseconds of the caller's clock
}

// Begin starts a drain at nowMs. A drain in progress keeps its start time.
func (d *BrokerDrain) Begin(nowMs float64) CallResult {
	if d.active {
		return resultAlready
	}
	d.active = true
	d.sinceMs = nowMs
	return resultDone
}

// End ends the drain. The broker serves again.
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

// Healthy reports whether the health check of a process succeeds. ready says whether the process can serve.
func (d *BrokerDrain) Healthy(ready bool) bool { return ready && !d.active }

// SinceMs returns when the drain began, in milliseconds of the caller's clock, or 0 if there is none.
func (d *BrokerDrain) SinceMs() float64 {
	if !d.active {
		return 0
	}
	return d.sinceMs
}
