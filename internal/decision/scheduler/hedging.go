package scheduler

const (
	// maxParallelAttempts is the number of attempts of a part that may be in flight at once.
	maxParallelAttempts = 2
	// hedgeDelayFactor is the multiple of its expected latency that an attempt may take before it is late. The
	// expected latency is scaled by the fleet's median normalized latency.
	hedgeDelayFactor = 2.5
	// hedgeObjectiveShare is the share of the objective that must have passed before late parts of a query are hedged
	// or reassigned.
	hedgeObjectiveShare = 0.3

	// The hedge budget limits the number of hedged requests and reassignments within a window of hedgeWindowMs. The
	// limit is hedgeBudgetSpare plus hedgeBudgetRatio for each query or part that arrives in the window. The platform
	// requires no such limit; the broker limits itself.
	hedgeWindowMs    = 2000
	hedgeBudgetSpare = 4.0
	hedgeBudgetRatio = 0.05

	// recentOverloadMs is the time after a sign of overload in which maxHedgingMedian and maxReassignmentMedian apply.
	recentOverloadMs = 1000
	// maxHedgingMedian and maxReassignmentMedian are the highest median normalized latencies of the fleet at which
	// parts are hedged or reassigned after a sign of overload. Reassignments have the lower limit, as they discard an
	// attempt that may be about to succeed.
	maxHedgingMedian      = 2.0
	maxReassignmentMedian = 1.4

	// reassignLatencyFactor is the factor by which the latency of a late part's replica must exceed that of another
	// replica for the part to be reassigned.
	reassignLatencyFactor = 4.0
	// reassignmentFailureShare is the fraction of a failure that a reassignment adds to the failure rate that
	// non-idempotent parts consider.
	reassignmentFailureShare = 0.5
)

// isLate reports whether an attempt in flight has taken far longer than expected at the fleet's present latency.
func (s *Scheduler) isLate(now float64, a *attempt) bool {
	return now-a.sentAt > hedgeDelayFactor*s.latency.fleetMedian*s.expectedLatencyMs(a)
}

// handleIfLate updates the latency of the replica's zone once when an attempt becomes late. It covers the late
// attempt (see coverLateAttempt) as soon as enough of the objective has passed.
func (s *Scheduler) handleIfLate(now float64, p *part, a *attempt) {
	if !s.isLate(now, a) {
		return
	}
	if !a.late {
		// This detects a lost or slow network path to the zone before any attempt returns.
		a.late = true
		s.zones.observe(now, a.replica, (now-a.sentAt)/s.expectedLatencyMs(a))
	}
	q := p.query
	if now-q.arrivedAt <= hedgeObjectiveShare*q.class.LatencyObjective {
		return
	}
	a.covered = s.coverLateAttempt(now, p, a)
}

// coverLateAttempt queues a substitute part, sends a hedged request or reassigns the late attempt. It does the first
// of these that is possible, and reports whether any was.
func (s *Scheduler) coverLateAttempt(now float64, p *part, a *attempt) bool {
	if s.queueSubstitute(now, p.query) {
		return true
	}
	if s.hedge(now, p) {
		return true
	}
	return s.reassign(now, p, a)
}

// hedge sends a hedged request of a late part to a healthy replica that the part was not sent to before, and reports
// whether it did. It sends none while calls wait at the part's replicas or the fleet is overloaded.
func (s *Scheduler) hedge(now float64, p *part) bool {
	if !s.canAttemptNow(now, p) || s.isOverloaded(now, p, maxHedgingMedian) || !s.hedgeBudgetAllows(now) {
		return false
	}
	r := s.selectForExtraAttempt(now, p)
	if r == nil || !s.isHealthy(now, r) || p.attemptedAt(r) {
		return false
	}
	if !s.dispatch(now, p, r) {
		return false
	}
	s.hedges.add(now, hedgeWindowMs)
	return true
}

// reassign cancels a late attempt of an idempotent part if the settings do not allow hedging, and reports whether it
// did. The retry that follows goes to another replica. This saves parts from stalled replicas but discards an attempt
// that may be about to succeed. So nothing is reassigned while calls wait at the part's replicas or the fleet is
// overloaded.
func (s *Scheduler) reassign(now float64, p *part, a *attempt) bool {
	settings := &s.settings
	if !settings.CanCancel || settings.AllowHedging || p.query.class.Idempotency != Idempotent {
		return false
	}
	if settings.MaxAttempts > 0 && len(p.attempts) >= settings.MaxAttempts {
		return false
	}
	if s.isOverloaded(now, p, maxReassignmentMedian) || !s.hedgeBudgetAllows(now) {
		return false
	}
	selected := s.selectReplica(now, p, p.cost, true)
	r := selected.replica
	if r == nil || !selected.tierHasCapacity || !s.isHealthy(now, r) || p.attemptedAt(r) {
		return false
	}
	if reassignLatencyFactor*s.normalizedLatency(now, r) > s.normalizedLatency(now, a.replica) {
		return false
	}
	s.hedges.add(now, hedgeWindowMs)
	// Once nothing is in flight at the replica, its latency estimate decays, although the replica may not have
	// recovered. The failure rate then still keeps non-idempotent parts away.
	a.replica.observeNonIdempotent(now, p.query.class, reassignmentFailureShare)
	s.actions.Cancel(p.ID, a.number)
	return true
}

// isOverloaded reports whether calls wait at a part's replicas, or the fleet's median latency exceeds maxMedian
// within recentOverloadMs of a sign of overload: a rejection by a replica, or by admission because of load.
func (s *Scheduler) isOverloaded(now float64, p *part, maxMedian float64) bool {
	if s.oldestQueuedAtReplicasOf(p.Shard, now) < now {
		return true
	}
	return s.latency.overloadMedian > maxMedian && now < s.lastOverloadAt+recentOverloadMs
}

// hedgeBudgetAllows reports whether the hedge budget allows one more hedged request or reassignment.
func (s *Scheduler) hedgeBudgetAllows(now float64) bool {
	used := s.hedges.countSince(now - hedgeWindowMs)
	earned := s.arrivals.countSince(now - hedgeWindowMs)
	return used < hedgeBudgetSpare+hedgeBudgetRatio*earned
}
