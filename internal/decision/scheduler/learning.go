package scheduler

// AttemptEnded reports the end of an attempt. Unknown attempts are ignored.
func (s *Scheduler) AttemptEnded(now float64, result AttemptResult) {
	key := attemptKey{part: result.Part, number: result.Attempt}
	a := s.attempts[key]
	if a == nil {
		return
	}
	delete(s.attempts, key)
	s.endAttempt(now, a, result)
	a.replica.limit.costInFlight -= a.limitCost
	s.fleetLimit.costInFlight -= a.part.cost
}

// endAttempt updates the estimates with the result of an attempt. It then marks the part as arrived, queues a
// substitute or leaves the part to a retry, and ends the query if that decides it. The cost of the attempt still
// counts as in flight meanwhile.
func (s *Scheduler) endAttempt(now float64, a *attempt, result AttemptResult) {
	p := a.part
	a.ended = true
	a.endedAt = now
	a.outcome = result.Outcome
	a.replica.removeInFlight(a)
	a.call.partsInFlight--
	if a.call.partsInFlight == 0 {
		a.replica.callsInFlight--
	}
	p.attemptsInFlight--
	p.abandoned = p.abandoned || result.PartDone
	s.learn(now, a, result)
	if result.Outcome == NotHolder {
		p.retryNotBefore = now + result.RetryDelay
	}
	if p.query.ended || p.arrived {
		return
	}
	if result.Outcome == Succeeded {
		p.query.arrivedWeight += p.markArrived()
		s.cancelAttempts(p)
		s.endIfDecided(now, p.query)
		return
	}
	if p.attemptsInFlight > 0 {
		return
	}
	// If a substitute part was queued, the failed part becomes a reserve part. Otherwise it waits for its retry.
	hasSubstitute := s.queueSubstitute(now, p.query)
	p.reserve = hasSubstitute
	if !hasSubstitute {
		s.endIfDecided(now, p.query)
	}
}

// learn updates the estimates for the replica, the fleet and the network with the result of an attempt.
func (s *Scheduler) learn(now float64, a *attempt, result AttemptResult) {
	loadSample := a.part.cost
	if !result.reflectsLoad() {
		loadSample = 0
	}
	s.throttle.RecordResult(loadSample, result.Outcome != Rejected)
	if result.Outcome == NotHolder {
		a.replica.lastUsedAt = now // it answered; that it does not hold the shard is not its fault
		return
	}
	s.latency.recordResult(now)
	if result.ConnectionOnly {
		return
	}
	isImmediate := now-a.sentAt < immediateFailureParts*s.meanPartWorkMs()
	if s.learnIdleConnection(now, a, result.Outcome, isImmediate) {
		return
	}
	switch result.Outcome {
	case Succeeded:
		a.replica.lastUsedAt = now
		s.learnSuccess(now, a, result.Latency)
	case Failed:
		a.replica.lastUsedAt = now
		s.observeOutcome(now, a.replica, a.part.query.class, 1)
	case Rejected:
		a.replica.lastUsedAt = now
		s.learnRejection(now, a.replica)
	case TimedOut, Cancelled, NotSent:
		s.learnTimeout(now, a)
	case ConnectFailed, ConnectionReset:
		s.learnLostConnection(now, a, result.Outcome, isImmediate)
	}
}

// learnIdleConnection updates the loss rate of idle connections and reports whether the attempt was lost because its
// connection had been idle.
func (s *Scheduler) learnIdleConnection(now float64, a *attempt, outcome Outcome, isImmediate bool) bool {
	hasReset := outcome == ConnectionReset && isImmediate
	hasStalled := (outcome == TimedOut || outcome == Cancelled) && !a.overtaken && s.isLate(now, a)
	return s.idle.observe(now, a, outcome, hasReset, hasStalled, len(s.replicas.ordered))
}

// learnSuccess updates every estimate with the latency of a successful attempt.
func (s *Scheduler) learnSuccess(now float64, a *attempt, latencyMs float64) {
	r := a.replica
	attemptCost := s.latencyCost(a)
	perCost := latencyMs / attemptCost
	if s.slowStart.isWarm(now, r) {
		s.slowStart.quota.RecordServed(s.warmupWorkMs(a.part.cost))
	}
	s.latency.observeBaseline(perCost)
	s.latency.observeCall(attemptCost, a.call.cost+attemptCost-a.part.cost)
	normalized := perCost / s.latency.baseline
	s.observeReplicaLatency(now, r, normalized)
	s.zones.observe(now, r, normalized)
	s.observeSlowness(now, a, normalized)
	s.latency.observeFleet(perCost, len(a.part.query.parts))
	r.markOvertaken(a.sentAt)
	if r.outliers.isUnreachable {
		// The replica serves again. It may be a new process that is warming up and that no endpoint list update has
		// reported yet.
		r.outliers.isUnreachable = false
		r.warmup.startedAt = max(r.warmup.startedAt, r.outliers.failureRate.at)
	}
	isQueueing := perCost > s.latency.queueingLatency*s.latency.baseline
	r.limit.observe(now, a, isQueueing)
	s.adaptFleetLimit(now, a)
	if perCost < s.latency.baseline {
		s.slowStart.observeReplicaSpeed(a.replicaCost)
	}
	s.observeOutcome(now, r, a.part.query.class, 0)
}

// markOvertaken marks the attempts in flight that were sent before the given time and removes their cost from the
// replica's limit. A later attempt has succeeded, so the replica is not the reason why they are stuck. Otherwise one
// lost message could block a healthy replica.
func (r *replica) markOvertaken(sentAt float64) {
	for _, a := range r.inFlight {
		if a.sentAt < sentAt {
			a.overtaken = true
			r.limit.costInFlight -= a.limitCost
			a.limitCost = 0
		}
	}
}

// learnRejection handles a rejection, which is a sign of overload and not a fault. It opens the replica's circuit for
// a while; otherwise its fast rejections would attract all parts.
func (s *Scheduler) learnRejection(now float64, r *replica) {
	latency := max(rejectionLatencyFactor*s.latency.queueingLatency, s.normalizedLatency(now, r))
	s.observeReplicaLatency(now, r, latency)
	s.lastOverloadAt = now
	s.openCircuit(now, r, rejectionCircuitParts)
	r.limit.lowerToInFlight()
}

// learnTimeout handles an attempt that was given up. Its age is a lower bound of its latency.
func (s *Scheduler) learnTimeout(now float64, a *attempt) {
	r := a.replica
	normalized := (now - a.sentAt) / s.expectedLatencyMs(a)
	s.observeReplicaLatency(now, r, max(normalized, s.normalizedLatency(now, r)))
	if normalized >= ejectionLatency*s.latency.fleetMedian {
		s.observeSlowness(now, a, normalized)
	}
	if normalized > s.latency.queueingLatency {
		r.limit.lowerToMin(now, a.sentAt)
	}
	if normalized > s.zones.latency(now, r.Zone) {
		s.zones.observe(now, r, normalized)
	}
}

// learnLostConnection handles a connection that broke or could not be made. The host of a dead process refuses
// connections at once, so a reset or an immediate failure marks the replica as unreachable. A dial that times out may
// only be slow, so it counts as one ordinary failure.
func (s *Scheduler) learnLostConnection(now float64, a *attempt, outcome Outcome, isImmediate bool) {
	r := a.replica
	r.lastUsedAt = 0
	if outcome == ConnectionReset || isImmediate {
		r.outliers.isUnreachable = true
		r.outliers.failureRate = decayingAverage{at: now, value: 1}
		s.openCircuit(now, r, openCircuitParts)
	} else {
		s.idle.recordSlowDial()
	}
	s.observeOutcome(now, r, a.part.query.class, 1)
}
