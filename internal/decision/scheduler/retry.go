package scheduler

import "slices"

const (
	// lastAttemptObjectiveShare is the share of the objective that must have passed before the last allowed attempt.
	// Otherwise a short outage of all replicas of a shard would use up all attempts.
	lastAttemptObjectiveShare = 0.3
	// cancelPropagationMs is the delay between the end of a cancelled attempt and the next attempt. The cancelled
	// replica must have received the cancellation before the next attempt is in flight.
	cancelPropagationMs = 15.0
	// outlierRetryObjectiveShare is the share of the objective between retries while only outliers are available. A
	// healthy replica that is warming up or at its limit may have capacity soon.
	outlierRetryObjectiveShare = 0.1
)

// canAttempt reports whether a part may have one more attempt, be it the first: it is not abandoned, and neither the
// number of attempts nor the idempotency of its class forbids it. The retry budget is checked by dispatch.
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

// retry starts another attempt of a failed part and reports whether it did. Retries skip the queues but go only to a
// replica that has capacity, so they cannot increase congestion.
func (s *Scheduler) retry(now float64, p *part) bool {
	if !s.canAttemptNow(now, p) {
		return false
	}
	r := s.selectForExtraAttempt(now, p)
	if r == nil {
		return false
	}
	q := p.query
	minAgeMs := float64(len(p.attempts)) * outlierRetryObjectiveShare * q.class.LatencyObjective
	if !s.isHealthy(now, r) && now < q.arrivedAt+minAgeMs {
		return false
	}
	return s.dispatch(now, p, r)
}

// canAttemptNow reports whether a retry or hedged request of a part is allowed now. Besides canAttempt it checks the
// delays that apply to retries.
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

// selectForExtraAttempt returns the replica for a retry or hedged request, or nil if none has capacity.
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

// queueSubstitute queues a reserve part of a query, with its atomic group, as the substitute for a late or failed
// part. It reports whether there was one.
func (s *Scheduler) queueSubstitute(now float64, q *query) bool {
	isSubstitute := func(p *part) bool { return p.reserve && s.canAttempt(now, p) }
	i := slices.IndexFunc(q.parts, isSubstitute)
	if i < 0 {
		return false
	}
	substitutes := q.parts[i].groupParts()
	for _, p := range substitutes {
		p.reserve = false
	}
	s.enqueue(now, substitutes)
	return true
}

// retryOrHedgeParts retries the failed parts of a query and hedges, reassigns or substitutes the late ones.
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
