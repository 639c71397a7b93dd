package scheduler

import "slices"

const (
	// lastAttemptObjectiveShare is the share of the objective before which the last allowed attempt is not spent,
	// so that a set of replicas that is down cannot use up all attempts in a moment.
	lastAttemptObjectiveShare = 0.3
	// cancelPropagationMs is how long after a cancel the next attempt may follow: the replica must know of the cancel
	// before that is in flight.
	cancelPropagationMs = 15.0
	// outlierRetryObjectiveShare is the share of the objective between retries where only outliers are left: a
	// healthy replica that is warming up or full may have capacity soon.
	outlierRetryObjectiveShare = 0.1
)

// canAttempt is the rule of idempotency and of the number of attempts: what an attempt at a part needs, the first or a
// further one. The retry budget is checked by dispatch.
func (s *Scheduler) canAttempt(now float64, p *part) bool {
	if p.abandoned || p.attemptsInFlight >= maxParallelAttempts {
		return false
	}
	if s.settings.MaxAttempts > 0 && len(p.attempts) >= s.settings.MaxAttempts {
		return false
	}
	class := p.query.class
	for _, a := range p.attempts {
		if !a.mayHaveRun() {
			continue
		}
		if (!a.ended && !s.settings.AllowHedging) || class.Idempotency == NonIdempotent {
			return false
		}
		if class.Idempotency == IdempotentWithKey && now > a.sentAt+class.DedupWindow {
			return false
		}
	}
	return true
}

// retry makes a further attempt at a failed part and reports whether it did. Retries skip the queues but go only to
// a replica that takes more work, so they cannot feed congestion.
func (s *Scheduler) retry(now float64, p *part) bool {
	if !s.canAttemptNow(now, p) {
		return false
	}
	r := s.selectForExtraAttempt(now, p)
	if r == nil {
		return false
	}
	q := p.query
	spacingMs := float64(len(p.attempts)) * outlierRetryObjectiveShare * q.class.LatencyObjective
	if !s.isHealthy(now, r) && now < q.arrivedAt+spacingMs {
		return false
	}
	return s.dispatch(now, p, r)
}

// canAttemptNow reports whether a retry or hedged request of a part is allowed and due.
func (s *Scheduler) canAttemptNow(now float64, p *part) bool {
	if now < p.retryNotBefore || !s.canAttempt(now, p) {
		return false
	}
	attempts := len(p.attempts)
	isLast := attempts >= 2 && attempts == s.settings.MaxAttempts-1
	if isLast && now < p.query.arrivedAt+lastAttemptObjectiveShare*p.query.class.LatencyObjective {
		return false
	}
	if attempts == 0 {
		return true
	}
	last := p.attempts[attempts-1]
	return last.outcome != Cancelled || now >= last.endedAt+cancelPropagationMs
}

// selectForExtraAttempt is the replica for a retry or hedged request, or nil if none takes more work.
func (s *Scheduler) selectForExtraAttempt(now float64, p *part) *replica {
	selected := s.selectReplica(now, p, p.cost, true)
	r := selected.replica
	if r == nil || !selected.tierHasCapacity || now < r.circuitOpenUntil {
		return nil
	}
	if len(r.inFlight) > 0 && s.normalizedLatency(now, r) > s.latency.queueingLatency {
		return nil
	}
	return r
}

// queueSubstitute asks a reserve part of a query in place of a late or failed one and reports whether it did.
func (s *Scheduler) queueSubstitute(now float64, q *query) bool {
	isSubstitute := func(p *part) bool { return p.reserve && s.canAttempt(now, p) }
	i := slices.IndexFunc(q.parts, isSubstitute)
	if i < 0 {
		return false
	}
	companions := q.parts[i].groupParts()
	for _, p := range companions {
		p.reserve = false
	}
	s.enqueue(now, companions)
	return true
}

// retryOrHedgeParts looks after the parts of a query that are in flight or failed: failed ones are retried, late ones
// hedged.
func (s *Scheduler) retryOrHedgeParts(now float64, q *query) {
	for _, p := range q.parts {
		if p.arrived || p.reserve || p.queued || len(p.attempts) == 0 {
			continue
		}
		last := p.attempts[len(p.attempts)-1]
		if p.attemptsInFlight == 0 {
			s.retry(now, p)
		} else if !last.ended && !last.covered {
			s.handleIfLate(now, p, last)
		}
	}
}
