package scheduler

// attemptKey names an attempt in flight.
type attemptKey struct {
	part   uint64
	number int
}

// minAttemptTimeoutMs is the shortest time that an attempt is given.
const minAttemptTimeoutMs = 1

// dispatch sends a part to a replica and reports whether the rules allow it. Every attempt passes here: the query
// has time left, the replica's drain and slow start allow it, and retries are allowed and within their budget.
func (s *Scheduler) dispatch(now float64, p *part, r *replica) bool {
	q := p.query
	remaining := q.Deadline - s.answerMarginMs - now
	if q.ended || p.arrived || remaining <= 0 || s.availableAt(now, r, p.cost) > now {
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
	s.actions.Send(p.ID, r.Replica, s.attemptTimeoutMs(now, q, remaining))
	return true
}

// prepareConnection returns for how long the connection of the next attempt has been unused, in ms. It closes idle
// ones first where they are likely to be lost.
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
		replicaCost: r.limit.inFlight + p.cost,
		limitCost:   p.cost,
		idleMs:      idleMs,
	}
	r.limit.inFlight = a.replicaCost
	r.inFlight = append(r.inFlight, a)
	s.fleetLimit.inFlight += p.cost
	p.queued = false
	p.attempts = append(p.attempts, a)
	p.attemptsInFlight++
	s.attempts[attemptKey{part: p.ID, number: a.number}] = a
}

// joinOrStartCall is the call to a replica that an attempt of this round joins: the one begun in this round while it
// takes more parts, else a new one.
func (s *Scheduler) joinOrStartCall(r *replica) *callInFlight {
	call := r.currentCall
	isFull := call == nil || call.parts >= s.settings.MaxPartsPerCall || call.partsInFlight == 0
	if r.currentRound == s.round && !isFull {
		return call
	}
	r.currentRound = s.round
	r.currentCall = &callInFlight{}
	r.callsInFlight++
	return r.currentCall
}

// attemptTimeoutMs is how long an attempt may take, given the time that its query has left. Where a late answer is
// worth little it ends at the objective, so that the replica need not begin what would come too late.
func (s *Scheduler) attemptTimeoutMs(now float64, q *query, remaining float64) float64 {
	if q.class.LateFactor < negligibleLateFactor {
		return min(remaining, max(q.objectiveAt-now, minAttemptTimeoutMs))
	}
	return remaining
}

// cancelAttempts stops waiting for the attempts of a part.
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
