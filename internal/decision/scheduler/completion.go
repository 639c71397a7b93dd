package scheduler

const (
	// negligibleLateFactor is the late factor of a class below which queries end at their objective: an answer after
	// it would be worth too little to wait for.
	negligibleLateFactor = 0.15
	// finalAnswerMarginMs is how long before the query's deadline the final answer is sent. The resolution of the
	// timer is added to it.
	finalAnswerMarginMs = 10.0
	// openQueryIntervalMs is the longest time between rounds while queries are open. It is shorter than any latency
	// that the scheduler compares.
	openQueryIntervalMs = 10.0
	// wastedWorkObjectiveShare is a share of the shortest objective. A query that ends unanswered is a sign of overload
	// only if the median part takes longer than that.
	wastedWorkObjectiveShare = 0.25
	// retryAfterObjectiveShare is the share of the objective that a rejected client is asked to wait before it retries.
	retryAfterObjectiveShare = 0.5
)

// processOpenQueries ends queries that are out of time and retries or hedges the parts of the others.
func (s *Scheduler) processOpenQueries(now float64) {
	for _, q := range s.openQueries {
		if q.ended {
			continue
		}
		hasEnded := s.endIfDue(now, q)
		if !hasEnded {
			s.retryOrHedgeParts(now, q)
		}
	}
	s.openQueries = removeEnded(s.openQueries)
}

// endIfDecided ends the present step of a query that is complete. It also ends the step of a query that can no longer
// become complete once waiting for more parts is useless. That is so if all parts that can still arrive have arrived,
// or if all of them together are too few for a partial answer.
func (s *Scheduler) endIfDecided(now float64, q *query) {
	reachable := 0.0
	for _, p := range q.parts {
		reachable += p.weightIf(func(p *part) bool {
			return p.arrived || p.attemptsInFlight > 0 || s.canAttempt(now, p)
		})
	}
	isWaitUseless := reachable < q.class.MinCompleteness-weightTolerance ||
		q.arrivedWeight >= reachable-weightTolerance
	if q.isCompleteWith(q.arrivedWeight) || (!q.isCompleteWith(reachable) && isWaitUseless) {
		s.endStep(now, q)
	}
}

// endIfDue ends the present step of a query that is out of time, for which a partial answer is due, or that is past
// its objective with a part still queued. It reports whether the query has ended.
func (s *Scheduler) endIfDue(now float64, q *query) bool {
	class := q.class
	answerBy := q.Deadline - s.answerMarginMs
	if class.LateFactor < negligibleLateFactor {
		answerBy = min(answerBy, q.objectiveAt)
	}
	switch {
	case now >= answerBy:
		s.endStep(now, q)
	case s.isPartialAnswerDue(now, q):
		s.endStep(now, q)
	case now > max(q.objectiveAt, q.arrivedAt) && q.hasQueuedPart():
		s.endStep(now, q) // the query is late and a part of it is still queued; other queries take precedence
	}
	return q.ended
}

// isPartialAnswerDue reports whether the objective is about to pass and a partial answer now is worth at least as
// much as a complete one after the objective.
func (s *Scheduler) isPartialAnswerDue(now float64, q *query) bool {
	isObjectiveNear := now+s.answerMarginMs+openQueryIntervalMs >= q.objectiveAt
	if !isObjectiveNear || !q.canAnswerPartially() {
		return false
	}
	class := q.class
	return class.PartialFactor*q.arrivedWeight/class.CompletenessTarget >= class.LateFactor
}

// isCompleteWith reports whether the present step would be complete with the given arrived weight.
func (q *query) isCompleteWith(weight float64) bool {
	if len(q.parts) == 0 {
		return false
	}
	isTargetReached := weight >= q.class.CompletenessTarget-weightTolerance
	return weight >= 1-weightTolerance || (q.step == 0 && isTargetReached)
}

// canAnswerPartially reports whether the class allows a partial answer with the arrived weight.
func (q *query) canAnswerPartially() bool {
	class := q.class
	return class.MinCompleteness < class.CompletenessTarget && q.arrivedWeight > 0 &&
		q.arrivedWeight >= class.MinCompleteness-weightTolerance
}

// endStep ends the present step of a query. It answers the query if enough weight has arrived. Otherwise it rejects
// the query if a client retry is safe, and fails it if not. This ends the query, unless it was answered in its first
// step and its class has a second one.
func (s *Scheduler) endStep(now float64, q *query) {
	class := q.class
	isAnswered := q.isCompleteWith(q.arrivedWeight) || q.canAnswerPartially()
	isComplete := q.isCompleteWith(q.arrivedWeight) && (q.step == 0 || q.firstStepComplete)
	s.learnQueryEnd(now, q, isAnswered, isComplete)
	switch {
	case isAnswered:
		s.actions.Answer(q.ID, isComplete)
		if q.step == 0 && class.SecondStepParts > 0 {
			s.beginSecondStep(q, isComplete)
			return
		}
	case class.Idempotency == Idempotent || (q.step == 0 && !q.mayHaveRun()):
		retryAfterMs := class.LatencyObjective * retryAfterObjectiveShare
		s.actions.Reject(q.ID, min(retryAfterMs, s.settings.MaxRetryAfter))
	default:
		s.actions.Fail(q.ID)
	}
	s.dropQuery(q)
}

// learnQueryEnd updates the estimate of the time that queries need and detects overload when a query ends. The work
// for a query that ends unanswered at its objective was wasted. This shows overload earlier than the median latency
// does, unless the median part is fast. A query whose deadline is before its objective is not a sign of overload.
func (s *Scheduler) learnQueryEnd(now float64, q *query, isAnswered, isComplete bool) {
	lastPartMs := q.expectedLastPartMs * float64(1-q.step) // 0 in the second step, which says nothing about admission
	s.deadlines.QueryEnded(now-q.arrivedAt, lastPartMs, isComplete)
	isSlow := s.latency.medianPartMs() > wastedWorkObjectiveShare*s.latency.minObjectiveMs
	if now >= q.objectiveAt && !isAnswered && isSlow {
		s.cutFleetLimit(now, q.arrivedAt)
	}
}

// beginSecondStep drops the parts of the first step and keeps the query open for the parts of the second.
func (s *Scheduler) beginSecondStep(q *query, isFirstComplete bool) {
	s.dropParts(q)
	q.step = 1
	q.firstStepComplete = isFirstComplete
}

// ClientDisconnected drops a query whose client has disconnected. Unknown queries are ignored.
func (s *Scheduler) ClientDisconnected(_ float64, id uint64) {
	if q := s.queries[id]; q != nil {
		s.dropQuery(q)
	}
}

// dropQuery removes a query and its parts and cancels its attempts in flight.
func (s *Scheduler) dropQuery(q *query) {
	q.ended = true
	delete(s.queries, q.ID)
	if s.queriesByGroup[q.QueryGroup] == q {
		delete(s.queriesByGroup, q.QueryGroup)
	}
	s.dropParts(q)
}

// dropParts removes the parts of a query, also from the queues, and cancels their attempts in flight.
func (s *Scheduler) dropParts(q *query) {
	for _, p := range q.parts {
		p.queued = false
		delete(s.parts, p.ID)
		s.cancelAttempts(p)
	}
	q.parts = nil
	q.arrivedWeight = 0
}
