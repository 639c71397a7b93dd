package scheduler

import "math"

const (
	// idleConnectionMinMs is how long a connection must have been unused to count as idle. An immediate failure on an
	// idle connection is attributed to the connection and not to the replica.
	idleConnectionMinMs = 250.0
	// idleLossGain is the weight of the newest attempt on an idle connection. Two losses in a row exceed
	// idleLossThreshold.
	idleLossGain = 0.3
	// idleLossFullWeightReplicas is the number of replicas up to which one loss has its full weight. A broker with more
	// replicas uses most connections only after they have been idle, so a loss says less there. The weight falls with
	// the square of the number of replicas.
	idleLossFullWeightReplicas = 20.0
	// idleLossThreshold is the loss rate above which idle connections are closed before an attempt.
	idleLossThreshold = 0.35
	// idleLossHalfLifeMs is the half-life of the loss rate. As it decays, idle connections are used again.
	idleLossHalfLifeMs = 30000
	// slowDialFactor lowers the loss rate after a slow dial, as each idle connection that is closed costs a dial.
	slowDialFactor = 0.5
)

// idleConnections estimates how often idle connections to the replicas have been dropped on the network without
// either end noticing. If the rate is high, idle connections are closed before an attempt: this costs a dial but
// protects non-idempotent parts from being lost. The connection pool makes a similar estimate by idle time for its
// own connections (idle_risk.go in package backendpool). This estimate also keeps replicas from being blamed for
// losses.
type idleConnections struct {
	lossRate decayingAverage
}

// shouldClose reports whether idle connections should be closed before an attempt.
func (c *idleConnections) shouldClose(now float64) bool {
	return c.lossRate.valueAt(now, idleLossHalfLifeMs) > idleLossThreshold
}

// recordSlowDial lowers the loss rate after a slow dial: closing idle connections is expensive now.
func (c *idleConnections) recordSlowDial() { c.lossRate.value *= slowDialFactor }

// lossWeight returns the weight of one loss for a broker with the given number of replicas.
func lossWeight(replicas int) float64 {
	return min(1, math.Pow(idleLossFullWeightReplicas/float64(replicas+1), 2))
}

// observe updates the loss rate with the end of an attempt. It reports whether the attempt was lost because of its
// idle connection and not because of its replica. hasReset is set if the connection was reset before the replica can
// have done any work, hasStalled if the attempt was given up without an answer when it was late.
func (c *idleConnections) observe(now float64, a *attempt, outcome Outcome, hasReset, hasStalled bool,
	replicas int) bool {
	rate := c.lossRate.valueAt(now, idleLossHalfLifeMs)
	isIdle := a.idleMs >= idleConnectionMinMs
	// A success on an idle connection lowers the rate. So does a stall on a connection in use, which must have another
	// cause.
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

// idleTimeMs returns how long the connection that the next attempt would use has been unused, in ms; 0 if it is in
// use or new. An attempt joins the connection of the attempts in flight and may be lost with it, so it gets their
// idle time.
func (r *replica) idleTimeMs(now float64) float64 {
	if n := len(r.inFlight); n > 0 {
		return r.inFlight[n-1].idleMs
	}
	if r.lastUsedAt > 0 {
		return now - r.lastUsedAt
	}
	return 0
}
