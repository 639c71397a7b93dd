package scheduler

const (
	// maxParallelAttempts is the number of attempts of a part that may be in flight at once.
	maxParallelAttempts = 2
	// hedgeDelayFactor is how many times its expected latency an attempt may take before it is late.
	hedgeDelayFactor = 2.5
	// hedgeObjectiveShare is the share of the objective before which a late part is not hedged.
	hedgeObjectiveShare = 0.3

	// hedgeWindowMs is the window of the hedge budget: so many hedged requests without any traffic, and so many
	// more for each query or part taken. The platform asks for no such bound; it is this broker's own restraint.
	hedgeWindowMs    = 2000
	hedgeBudgetSpare = 4.0
	hedgeBudgetRatio = 0.05

	// recentOverloadMs is for how long after an overload a slow fleet gets neither.
	recentOverloadMs = 1000
	// After a rejection, a fleet whose median latency is above maxHedgingMedian gets no hedged requests, and one above
	// maxReassignmentMedian no reassignments, which throw away what was about to come.
	maxHedgingMedian      = 2.0
	maxReassignmentMedian = 1.4

	// reassignLatencyFactor is how many times the latency of another replica makes a late part leave its own.
	reassignLatencyFactor = 4.0
	// reassignmentFailureShare is the share of a failure that a reassignment counts for non-idempotent parts.
	reassignmentFailureShare = 0.5
)

// isLate reports whether an attempt has taken far longer than expected, as the fleet is now.
func (s *Scheduler) isLate(now float64, a *attempt) bool {
	return now-a.sentAt > hedgeDelayFactor*s.latency.fleetMedian*s.expectedLatencyMs(a)
}

// handleIfLate covers an attempt that is late: with a substitute part, a hedged request, or by
// reassigning it to another replica.
func (s *Scheduler) handleIfLate(now float64, p *part, a *attempt) {
	if !s.isLate(now, a) {
		return
	}
	if !a.late {
		// A lost or slow network path shows in what is late before anything comes back.
		a.late = true
		s.zones.observe(now, a.replica, (now-a.sentAt)/s.expectedLatencyMs(a))
	}
	q := p.query
	if now-q.arrivedAt <= hedgeObjectiveShare*q.class.LatencyObjective {
		return
	}
	a.covered = s.coverLateAttempt(now, p, a)
}

// coverLateAttempt asks for a substitute, a hedged request or a reassignment of a late attempt, in this order, and reports
// whether one was possible.
func (s *Scheduler) coverLateAttempt(now float64, p *part, a *attempt) bool {
	if s.queueSubstitute(now, p.query) {
		return true
	}
	if s.hedge(now, p) {
		return true
	}
	return s.reassign(now, p, a)
}

// hedge sends a hedged request of a late part to a healthy replica that it was not sent to before, and reports
// whether it did. It sends none while something is queued at the part's replicas or the fleet is congested.
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

// reassign cancels a late attempt at an idempotent part where no hedged request is allowed, and reports whether it
// did. The retry that follows goes to another replica. It saves parts from stalled replicas but throws away what may
// be about to come, so it does nothing while the part's replicas or the fleet are congested.
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
	// Once nothing is in flight there, the replica's latency fades before it is healthy.
	a.replica.observeNonIdempotent(now, p.query.class, reassignmentFailureShare)
	s.actions.Cancel(p.ID, a.number)
	return true
}

// isOverloaded reports whether calls wait at a part's replicas, or the fleet is slower than a level shortly after a
// rejection or shed load.
func (s *Scheduler) isOverloaded(now float64, p *part, level float64) bool {
	if s.oldestQueuedAtReplicasOf(p.Shard, now) < now {
		return true
	}
	return s.latency.overloadMedian > level && now < s.lastOverloadAt+recentOverloadMs
}

// hedgeBudgetAllows reports whether one more hedged request or reassignment stays within the budget.
func (s *Scheduler) hedgeBudgetAllows(now float64) bool {
	used := s.hedges.countSince(now - hedgeWindowMs)
	earned := s.arrivals.countSince(now - hedgeWindowMs)
	return used < hedgeBudgetSpare+hedgeBudgetRatio*earned
}
