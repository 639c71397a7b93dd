package scheduler

// AttemptEnded takes the outcome of an attempt. Unknown attempts are ignored.
func (s *Scheduler) AttemptEnded(now float64, result AttemptResult) {
	key := attemptKey{part: result.Part, number: result.Attempt}
	a := s.attempts[key]
	if a == nil {
		return
	}
	delete(s.attempts, key)
	s.endAttempt(now, a, result)
	a.replica.limit.inFlight -= a.limitCost
	s.fleetLimit.inFlight -= a.part.cost
}

// endAttempt learns from the outcome and decides what becomes of the attempt's part and query. The cost of the
// attempt still counts as in flight.
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
		s.settle(now, p.query)
		return
	}
	if p.attemptsInFlight > 0 {
		return
	}
	// A failed part that has a substitute becomes a reserve part itself; others wait for their retry.
	hasSubstitute := s.askSubstitute(now, p.query)
	p.reserve = hasSubstitute
	if !hasSubstitute {
		s.settle(now, p.query)
	}
}

// learn takes what the end of an attempt says about its replica, the fleet and the network.
func (s *Scheduler) learn(now float64, a *attempt, result AttemptResult) {
	loadSample := a.part.cost
	if !result.reflectsLoad() {
		loadSample = 0
	}
	s.throttle.RecordResult(loadSample, result.Outcome != Rejected)
	if result.Outcome == NotHolder {
		a.replica.lastUsedAt = now // it answers; that it does not hold the shard is no fault of its own
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

// learnIdleConnection reports whether an attempt was lost with an idle connection, and learns how common that is.
func (s *Scheduler) learnIdleConnection(now float64, a *attempt, outcome Outcome, isImmediate bool) bool {
	hasReset := outcome == ConnectionReset && isImmediate
	hasStalled := (outcome == TimedOut || outcome == Cancelled) && !a.overtaken && s.isLate(now, a)
	return s.idle.observe(now, a, outcome, hasReset, hasStalled, len(s.replicas.ordered))
}

// learnSuccess takes the latency of a good answer, in ms, into every estimate.
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
		// It serves again: perhaps a new process that is warming up, which the endpoint list has not shown yet.
		r.outliers.isUnreachable = false
		r.warmup.startedAt = max(r.warmup.startedAt, r.outliers.failureRate.at)
	}
	isQueueing := perCost > s.latency.queueingLatency*s.latency.baseline
	r.limit.observe(now, a, isQueueing)
	s.adaptFleetLimit(now, a)
	if perCost < s.latency.baseline {
		s.slowStart.observeSpeed(a.replicaCost)
	}
	s.observeOutcome(now, r, a.part.query.class, 0)
}

// markOvertaken takes attempts sent before a time off the replica's limit: a later one has come back, so they are
// stuck by themselves. One lost message must not block a healthy replica.
func (r *replica) markOvertaken(sentAt float64) {
	for _, a := range r.inFlight {
		if a.sentAt < sentAt {
			a.overtaken = true
			r.limit.inFlight -= a.limitCost
			a.limitCost = 0
		}
	}
}

// learnRejection takes a rejection: overload, not a fault. Its circuit opens for a while, or its quick
// rejections would draw all parts.
func (s *Scheduler) learnRejection(now float64, r *replica) {
	level := max(rejectionLatencyFactor*s.latency.queueingLatency, s.normalizedLatency(now, r))
	s.observeReplicaLatency(now, r, level)
	s.lastOverloadAt = now
	s.openCircuit(now, r, rejectionCircuitParts)
	r.limit.lowerToInFlight()
}

// learnTimeout takes an attempt that was given up: its age is a lower bound of its latency.
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

// learnLostConnection takes a connection that broke or could not be made. Dead processes refuse at once; a dial that
// times out may only be slow, and must fail twice to eject the replica.
func (s *Scheduler) learnLostConnection(now float64, a *attempt, outcome Outcome, isImmediate bool) {
	r := a.replica
	r.lastUsedAt = 0
	if outcome == ConnectionReset || isImmediate {
		r.outliers.isUnreachable = true
		r.outliers.failureRate = decayingAverage{at: now, value: 1}
		s.openCircuit(now, r, openCircuitParts)
	} else {
		s.idle.dialWasSlow()
	}
	s.observeOutcome(now, r, a.part.query.class, 1)
}
