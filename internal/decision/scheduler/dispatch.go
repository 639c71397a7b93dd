package scheduler

// attemptKey identifies an attempt in flight.
type attemptKey struct {
	part   uint64
	number int
}

// minAttemptTimeoutMs is the shortest timeout of an attempt of a query that ends at its objective.
const minAttemptTimeoutMs = 1

// dispatch sends a part to a replica if the rules on sending allow it, and reports whether it did. Every attempt is
// started here. The rules are: the query is open and has time left, the part has not arrived, the replica's drain and
// slow start allow the attempt, and a further attempt of the part is allowed and within the retry budget.
func (s *Scheduler) dispatch(now float64, p *part, r *replica) bool {
	q := p.query
	remainingMs := q.Deadline - s.answerMarginMs - now
	if q.ended || p.arrived || remainingMs <= 0 || s.availableAt(now, r, p.cost) > now {
		return false
	}
	if len(p.attempts) > 0 {
		if !s.canAttempt(now, p) || !s.retryBudget.allows(now, s.arrivals) {
			return false
		}
		s.retryBudget.spend(now)
	}
	idleMs := s.prepareConnection(now, r)
	r.lastUsedAt = now
	r.warmup.record(now, s.slowStart.settings.Window, s.warmupWorkMs(p.cost))
	s.startAttempt(now, p, r, idleMs)
	s.actions.Send(p.ID, r.Replica, s.attemptTimeoutMs(now, q, remainingMs))
	return true
}

// prepareConnection returns how long the connection that the next attempt uses has been unused, in ms. It first
// closes the replica's idle connections if they are likely to be lost.
func (s *Scheduler) prepareConnection(now float64, r *replica) float64 {
	idleMs := r.idleTimeMs(now)
	if idleMs > idleConnectionMinMs && len(r.inFlight) == 0 && s.idle.shouldClose(now) {
		s.actions.CloseIdleConnections(r.Replica)
		return 0
	}
	return idleMs
}

// startAttempt records an attempt as in flight.
func (s *Scheduler) startAttempt(now float64, p *part, r *replica, idleMs float64) {
	call := s.joinOrStartCall(r)
	call.partsInFlight++
	call.parts++
	call.cost += p.cost
	a := &attempt{
		part:        p,
		number:      len(p.attempts),
		replica:     r,
		call:        call,
		sentAt:      now,
		replicaCost: r.limit.costInFlight + p.cost,
		limitCost:   p.cost,
		idleMs:      idleMs,
	}
	r.limit.costInFlight = a.replicaCost
	r.inFlight = append(r.inFlight, a)
	s.fleetLimit.costInFlight += p.cost
	p.queued = false
	p.attempts = append(p.attempts, a)
	p.attemptsInFlight++
	s.attempts[attemptKey{part: p.ID, number: a.number}] = a
}

// joinOrStartCall returns the call to a replica that an attempt of this round joins: the call begun in this round if
// it can carry another part, otherwise a new one.
func (s *Scheduler) joinOrStartCall(r *replica) *callInFlight {
	call := r.currentCall
	cannotBeJoined := call == nil || call.parts >= s.settings.MaxPartsPerCall || call.partsInFlight == 0
	if r.currentRound == s.round && !cannotBeJoined {
		return call
	}
	r.currentRound = s.round
	r.currentCall = &callInFlight{}
	r.callsInFlight++
	return r.currentCall
}

// attemptTimeoutMs returns the timeout of an attempt whose query has the given time left. If an answer after the
// objective is worth little, the attempt times out at the objective, so that the replica does not start work whose
// result would come too late.
func (s *Scheduler) attemptTimeoutMs(now float64, q *query, remainingMs float64) float64 {
	if q.class.LateFactor < negligibleLateFactor {
		return min(remainingMs, max(q.objectiveAt-now, minAttemptTimeoutMs))
	}
	return remainingMs
}

// cancelAttempts cancels the attempts of a part that are in flight, if the settings allow it.
func (s *Scheduler) cancelAttempts(p *part) {
	if !s.settings.CanCancel {
		return
	}
	for _, a := range p.attempts {
		if !a.ended {
			s.actions.Cancel(p.ID, a.number)
		}
	}
}
