package scheduler

import "math"

const (
	failureGain         = 0.6 // weight of the newest outcome in a failure rate: one failure ejects, one success halves it
	ejectionFailureRate = 0.5 // failure rate from which a replica is ejected
	ejectionLatency     = 3.5 // times the fleet's level from which a replica is ejected

	// Non-idempotent parts are lost by one failure, so they avoid replicas sooner.
	nonIdempotentMaxFailureRate = 0.1  // failure rate from which they avoid a replica
	nonIdempotentMaxLatency     = 2.0  // times the fleet's level
	failureRateWeight           = 30.0 // normalized latency that a failure rate of 1 weighs between avoided replicas

	// trialBackoffParts sets how long a slow replica waits for its next trial request: after n slow ones in a row
	// trialBackoffParts*(2^(n-1)-1) mean parts' work, so nothing after the first.
	trialBackoffParts = 10.0
	// immediateFailureParts is the mean parts' work before which a reset or refused connection shows that no work
	// had been done.
	immediateFailureParts = 0.5
	// openCircuitParts is the mean parts' work for which a lost replica gets nothing.
	openCircuitParts = 3.0
	// rejectionCircuitParts is the same after a rejection.
	rejectionCircuitParts = 1.0
	// rejectionLatencyFactor is how many times the queueing level a rejection counts as latency.
	rejectionLatencyFactor = 2.0
)

// outlierState is what marks a replica as an outlier among its peers. Failure rates fade without news, so that an
// ejected replica is tried again.
type outlierState struct {
	failureRate decayingAverage
	// nonIdempotentFailureRate is the same for parts that must not run twice. Only their own success lowers it, as
	// a release may break one class alone.
	nonIdempotentFailureRate decayingAverage
	// isUnreachable says that it refused or lost a connection and has not served since.
	isUnreachable bool
	// consecutiveSlowTrials is how many trial requests in a row were slow; 0 unless it is slow.
	consecutiveSlowTrials int
	// lastSlowAt is when an attempt last ended so late that it made the replica an outlier.
	lastSlowAt float64
	// trialAllowedAt is the time from which one attempt may go to it although it is an outlier.
	trialAllowedAt float64
	// isCountedAsSlow says that it has been slow, and has not answered at its zone's level since.
	isCountedAsSlow bool
	// hasStalledOnIdle says that an attempt on an idle connection has stalled there, and nothing has come back since.
	hasStalledOnIdle bool
}

// resetForNewProcess drops what was learned of a process that has been replaced.
func (o *outlierState) resetForNewProcess() {
	o.failureRate = decayingAverage{}
	o.nonIdempotentFailureRate = decayingAverage{}
	o.isUnreachable = false
	o.consecutiveSlowTrials = 0
	o.lastSlowAt = 0
	o.isCountedAsSlow = false
}

// isHealthy reports whether a replica is ready and no outlier among its peers: it keeps parts away from draining,
// slow, stalled, failing and unreachable replicas. A sound replica that failed by chance is avoided until its failure
// rate has faded.
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

// canHaveTrial reports whether a slow replica may be sent one attempt to see whether it has recovered.
func (r *replica) canHaveTrial(now float64) bool {
	return len(r.inFlight) == 0 && r.outliers.consecutiveSlowTrials > 0 && now >= r.outliers.trialAllowedAt
}

// isAvoidedByNonIdempotent reports whether a replica of a latency level is too doubtful for non-idempotent parts, and its
// failure rate for them.
func (s *Scheduler) isAvoidedByNonIdempotent(now float64, r *replica, level float64) (avoids bool, failureRate float64) {
	failureRate = r.outliers.nonIdempotentFailureRate.valueAt(now, estimateHalfLifeMaxMs)
	avoids = failureRate > nonIdempotentMaxFailureRate || level > nonIdempotentMaxLatency*s.latency.fleetMedian
	return avoids, failureRate
}

// observeSlowness learns from an attempt that ended at a normalized latency whether its replica is stalled or slow.
// Attempts that a stalled replica held back come late all at once, or are cancelled; one that was sent after that is
// a trial request. A trial at normal latency ends the ejection at once. After each slow one the next waits twice as
// long, so that a short pause does not eject a replica for long and a slow one gets little.
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
	// An attempt that was sent before the last slow end and comes late out of a stall that is over counts no trial.
	if a.sentAt > outliers.lastSlowAt || outliers.consecutiveSlowTrials == 0 {
		outliers.consecutiveSlowTrials++
	}
	rest := trialBackoffParts * s.meanPartWorkMs() * (math.Exp2(float64(outliers.consecutiveSlowTrials-1)) - 1)
	outliers.lastSlowAt = now
	outliers.trialAllowedAt = now + min(rest, estimateHalfLifeMaxMs)
}

// observeOutcome takes a failure, 1, or a success, 0, into the failure rates of a replica.
func (s *Scheduler) observeOutcome(now float64, r *replica, class *Class, failure float64) {
	rate := s.decayedEstimate(r.outliers.failureRate, now)*(1-failureGain) + failureGain*failure
	r.outliers.failureRate = decayingAverage{at: now, value: rate}
	r.observeNonIdempotent(now, class, failure)
}

// observeNonIdempotent does the same for the failure rate that non-idempotent parts go by. Successes of other
// classes do not count.
func (r *replica) observeNonIdempotent(now float64, class *Class, failure float64) {
	if failure <= 0 && class.Idempotency != NonIdempotent {
		return
	}
	before := r.outliers.nonIdempotentFailureRate.valueAt(now, estimateHalfLifeMaxMs)
	after := before*(1-failureGain) + failureGain*failure
	r.outliers.nonIdempotentFailureRate = decayingAverage{at: now, value: after}
}

// openCircuit keeps new attempts from a replica for the time of so many mean parts.
func (s *Scheduler) openCircuit(now float64, r *replica, meanParts float64) {
	r.circuitOpenUntil = now + meanParts*s.meanPartWorkMs()
}
