package maintenance

// Phase is where the aggregator stands in sending its clients away.
type Phase uint8

// The phases, in the order they come.
const (
	// Serving: health says yes.
	Serving Phase = iota
	// Leaving: health says no; the front still sends new connections for a while, and they are served.
	Draining
	// Closing: every answer is the last of its connection, so that a client that uses a kept connection
	// again learns from the answer that it ends, and none finds one closed under its request.
	ClosingConnections
	// Emptying: connections that stayed idle are closed as well, so that by EmptyBy none is held idle and
	// none carries a fresh request.
	ClosingIdle
)

func (p Phase) String() string { return [...]string{"serving", "leaving", "closing", "emptying"}[p] }

// Times of a drain, in ms after the call.
const (
	// CloseAfterMs is when connections begin to be closed: the front sends new ones for 0.2 s after the first
	// no of health, which it asks every 0.1 s; what is left is slack for its clock and ours.
	CloseAfterMs = 650.0
	// CloseIdleAfterMs is when connections that stayed idle are closed: kept connections that clients use are
	// ended by their answers before that.
	CloseIdleAfterMs = 1500.0
	// DrainedByMs is when no connection of a client may be left idle, nor carry a request of the last 2 s.
	DrainedByMs = 4000.0
)

// Drain is the state of sending clients away, from the call to drain to the call to activate.
type Drain struct {
	active  bool
	sinceMs float64 // ms, of the drain that holds
}

// Begin begins sending clients away, at now (ms). A repeated call changes nothing.
func (d *Drain) Begin(now float64) CallResult {
	if d.active {
		return resultAlready
	}
	d.active, d.sinceMs = true, now
	return CallResult{Status: resultDone.Status, Reason: resultDone.Reason, Changed: true}
}

// End takes clients again. A repeated call changes nothing.
func (d *Drain) End() CallResult {
	if !d.active {
		return resultAlready
	}
	d.active = false
	return CallResult{Status: resultDone.Status, Reason: resultDone.Reason, Changed: true}
}

// Phase is the phase at now (ms).
func (d *Drain) Phase(now float64) Phase {
	switch {
	case !d.active:
		return Serving
	case now-d.sinceMs < CloseAfterMs:
		return Draining
	case now-d.sinceMs < CloseIdleAfterMs:
		return ClosingConnections
	}
	return ClosingIdle
}

// Healthy tells whether health says yes, ready being whether the process could serve at all.
func (d *Drain) Healthy(ready bool) bool { return ready && !d.active }

// SinceMs is when the drain that holds began, in ms; 0 when none holds.
func (d *Drain) SinceMs() float64 {
	if !d.active {
		return 0
	}
	return d.sinceMs
}
