package scheduler

import "math"

const (
	// idleConnectionMinMs is how long a connection must have been unused to count as idle: a failure at once on an
	// idle connection was lost with the connection.
	idleConnectionMinMs = 250.0
	// idleLossGain is the weight of the newest send on an idle connection; two losses in a row are a suspicion.
	idleLossGain = 0.3
	// idleLossFullWeightReplicas is the number of replicas up to which one loss has its full weight. Among more, each is met
	// on an idle connection anyway, and the weight falls with the square of their number.
	idleLossFullWeightReplicas = 20.0
	// idleLossThreshold is the loss rate from which idle connections are closed before a send.
	idleLossThreshold = 0.35
	// idleLossHalfLifeMs is the half-life of the loss rate; then idle connections are tried again.
	idleLossHalfLifeMs = 30000
	// slowDialFactor lowers the loss rate when a new connection is slow to come up, as closing idle ones costs dials.
	slowDialFactor = 0.5
)

// idleConnections learns whether idle connections to any replica are dropped unseen on the way. If they are, they are
// closed before a send. The pool of connections learns the same by idle time for its own connections (idle_risk.go in
// package backendpool); this estimate also keeps replicas from being blamed. Closing one costs a
// dial, and spares non-idempotent parts a loss.
type idleConnections struct {
	lossRate decayingAverage
}

// shouldClose reports whether idle connections are to be closed before a send.
func (c *idleConnections) shouldClose(now float64) bool {
	return c.lossRate.valueAt(now, idleLossHalfLifeMs) > idleLossThreshold
}

// recordSlowDial notes that a new connection was slow to come up: closing idle ones is expensive now.
func (c *idleConnections) recordSlowDial() { c.lossRate.value *= slowDialFactor }

// lossWeight is what one loss weighs among so many replicas.
func lossWeight(replicas int) float64 {
	return min(1, math.Pow(idleLossFullWeightReplicas/float64(replicas+1), 2))
}

// observe learns from the end of an attempt and reports whether its idle connection, and not its replica, is to
// blame. hasReset says that the connection was reset before the replica can have done work, hasStalled that the
// attempt was given up with nothing back long after it was due.
func (c *idleConnections) observe(now float64, a *attempt, outcome Outcome, hasReset, hasStalled bool,
	replicas int) bool {
	rate := c.lossRate.valueAt(now, idleLossHalfLifeMs)
	isIdle := a.idleMs >= idleConnectionMinMs
	// A success on an idle connection clears them, and a stall on one in use has another cause.
	if (isIdle && outcome == Succeeded) || (!isIdle && hasStalled) {
		c.lossRate = decayingAverage{at: now, value: rate * (1 - idleLossGain)}
	}
	outliers := &a.replica.outliers
	if outcome == Succeeded {
		outliers.hasStalledOnIdle = false
	}
	if !isIdle || (!hasReset && !hasStalled) {
		return false
	}
	weight := lossWeight(replicas)
	if !outliers.hasStalledOnIdle || weight == 1 || hasReset {
		c.lossRate = decayingAverage{at: now, value: rate + (1-rate)*idleLossGain*weight}
	}
	outliers.hasStalledOnIdle = true
	if hasReset {
		c.lossRate.value = max(c.lossRate.value, weight)
		a.replica.lastUsedAt = 0
	}
	return c.lossRate.value > idleLossThreshold
}

// idleTimeMs is for how long the connection that an attempt would use has been unused; 0 if it is in use or new. An
// attempt beside others shares their connection, and its fate.
func (r *replica) idleTimeMs(now float64) float64 {
	if n := len(r.inFlight); n > 0 {
		return r.inFlight[n-1].idleMs
	}
	if r.lastUsedAt > 0 {
		return now - r.lastUsedAt
	}
	return 0
}
