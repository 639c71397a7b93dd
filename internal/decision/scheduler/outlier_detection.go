package scheduler

import "math"

const (
	failureGain         = 0.6 // weight of the newest outcome: one failure ejects, one success more than halves the rate
	ejectionFailureRate = 0.5 // failure rate from which a replica is ejected
	ejectionLatency     = 3.5 // multiple of the fleet's median latency from which a replica is ejected

	// Non-idempotent parts cannot be retried after a failure, so they avoid replicas sooner.
	nonIdempotentMaxFailureRate = 0.1  // failure rate above which they avoid a replica
	nonIdempotentMaxLatency     = 2.0  // multiple of the fleet's median latency above which they avoid a replica
	failureRateWeight           = 30.0 // normalized latency that a failure rate of 1 adds between avoided replicas

	// trialBackoffParts sets how long a slow replica waits for its next trial request. After n slow trials in a row
	// the backoff is trialBackoffParts*(2^(n-1)-1) times the work of a mean part, so there is none after the first.
	trialBackoffParts = 10.0
	// immediateFailureParts is the time, in units of a mean part's work, within which a reset or refused connection
	// shows that the replica had done no work.
	immediateFailureParts = 0.5
	// openCircuitParts is the time, in units of a mean part's work, for which a replica's circuit stays open after a
	// lost connection.
	openCircuitParts = 3.0
	// rejectionCircuitParts is the time, in units of a mean part's work, for which a replica's circuit stays open after
	// a rejection.
	rejectionCircuitParts = 1.0
	// rejectionLatencyFactor is the normalized latency that is recorded for a rejection, as a multiple of the queueing
	// threshold.
	rejectionLatencyFactor = 2.0
)

// outlierState holds the estimates that decide whether a replica is an outlier. Failure rates decay without new
// outcomes, so an ejected replica is eventually sent parts again.
type outlierState struct {
	failureRate decayingAverage
	// nonIdempotentFailureRate is the failure rate that non-idempotent parts consider. Only successes of such parts
	// lower it, as a faulty release may fail a single class.
	nonIdempotentFailureRate decayingAverage
	// isUnreachable is set once the replica has refused or lost a connection, until it next answers a part.
	isUnreachable bool
	// consecutiveSlowTrials is the number of slow trial requests in a row; 0 unless the replica is slow.
	consecutiveSlowTrials int
	// lastSlowAt is the time when an attempt last ended with a latency at which replicas are ejected.
	lastSlowAt float64
	// trialAllowedAt is the time from which the ejected replica may be sent one trial request.
	trialAllowedAt float64
	// isCountedAsSlow is set while a slow answer of the replica has raised its zone's latency and no answer at the
	// zone's latency has followed.
	isCountedAsSlow bool
	// hasStalledOnIdle is set while an attempt on an idle connection to the replica has stalled and none has
	// succeeded since.
	hasStalledOnIdle bool
}

// resetForNewProcess discards the estimates of a process that has been replaced.
func (o *outlierState) resetForNewProcess() {
	o.failureRate = decayingAverage{}
	o.nonIdempotentFailureRate = decayingAverage{}
	o.isUnreachable = false
	o.consecutiveSlowTrials = 0
	o.lastSlowAt = 0
	o.isCountedAsSlow = false
}

// isHealthy reports whether a replica is ready and not an outlier. Draining, slow, stalled, failing and unreachable
// replicas are not healthy, except that a slow one may be due for a trial request. A replica that failed only by
// chance is not healthy until its failure rate has decayed.
func (s *Scheduler) isHealthy(now float64, r *replica) bool {
	if r.State != Ready || s.decayedEstimate(r.outliers.failureRate, now) >= ejectionFailureRate {
		return false
	}
	if s.zones.latency(now, r.Zone) >= ejectionZoneLatency*s.zones.bestLatency {
		return false
	}
	if s.normalizedLatency(now, r) < ejectionLatency*s.latency.fleetMedian {
		return true
	}
	return r.canHaveTrial(now)
}

// canHaveTrial reports whether a slow replica may be sent one attempt that shows whether it has recovered.
func (r *replica) canHaveTrial(now float64) bool {
	return len(r.inFlight) == 0 && r.outliers.consecutiveSlowTrials > 0 && now >= r.outliers.trialAllowedAt
}

// isAvoidedByNonIdempotent reports whether non-idempotent parts avoid a replica with the given normalized latency. It
// also returns the replica's failure rate for such parts.
func (s *Scheduler) isAvoidedByNonIdempotent(now float64, r *replica, latency float64) (isAvoided bool,
	failureRate float64) {
	failureRate = r.outliers.nonIdempotentFailureRate.valueAt(now, estimateHalfLifeMaxMs)
	isAvoided = failureRate > nonIdempotentMaxFailureRate || latency > nonIdempotentMaxLatency*s.latency.fleetMedian
	return isAvoided, failureRate
}

// observeSlowness detects slow and stalled replicas by the normalized latency of an attempt that has ended. The
// attempts that were in flight during a stall end late together or are cancelled. An attempt sent after their end is
// a trial request. One trial at normal latency ends the ejection. After each slow trial the replica waits at least
// twice as long for the next one, up to estimateHalfLifeMaxMs. So a short pause ejects it only briefly, and a slow
// replica receives few parts.
func (s *Scheduler) observeSlowness(now float64, a *attempt, normalized float64) {
	r := a.replica
	outliers := &r.outliers
	if normalized < ejectionLatency*s.latency.fleetMedian {
		if a.sentAt > outliers.lastSlowAt && normalized <= s.latency.queueingLatency {
			outliers.consecutiveSlowTrials = 0
			r.excessNormalizedLatency.value = min(r.excessNormalizedLatency.value, max(0, normalized-1))
		}
		return
	}
	// An attempt that was sent before lastSlowAt was delayed by the same stall and does not count as a trial.
	if a.sentAt > outliers.lastSlowAt || outliers.consecutiveSlowTrials == 0 {
		outliers.consecutiveSlowTrials++
	}
	backoff := trialBackoffParts * s.meanPartWorkMs() * (math.Exp2(float64(outliers.consecutiveSlowTrials-1)) - 1)
	outliers.lastSlowAt = now
	outliers.trialAllowedAt = now + min(backoff, estimateHalfLifeMaxMs)
}

// observeOutcome updates the failure rates of a replica. failure is 1 for a failure and 0 for a success.
func (s *Scheduler) observeOutcome(now float64, r *replica, class *Class, failure float64) {
	rate := s.decayedEstimate(r.outliers.failureRate, now)*(1-failureGain) + failureGain*failure
	r.outliers.failureRate = decayingAverage{at: now, value: rate}
	r.observeNonIdempotent(now, class, failure)
}

// observeNonIdempotent updates the failure rate that non-idempotent parts consider. failure is 1 for a failure, 0 for
// a success, and reassignmentFailureShare for a reassignment. Successes of other classes do not count.
func (r *replica) observeNonIdempotent(now float64, class *Class, failure float64) {
	if failure <= 0 && class.Idempotency != NonIdempotent {
		return
	}
	before := r.outliers.nonIdempotentFailureRate.valueAt(now, estimateHalfLifeMaxMs)
	after := before*(1-failureGain) + failureGain*failure
	r.outliers.nonIdempotentFailureRate = decayingAverage{at: now, value: after}
}

// openCircuit keeps new attempts from a replica for the time that the given number of mean parts takes.
func (s *Scheduler) openCircuit(now float64, r *replica, meanParts float64) {
	r.circuitOpenUntil = now + meanParts*s.meanPartWorkMs()
}
