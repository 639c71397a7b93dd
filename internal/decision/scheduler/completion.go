package scheduler

const (
	// negligibleLateFactor is the late factor of a class below which an answer after the objective is not waited
	// for.
	negligibleLateFactor = 0.15
	// finalAnswerMarginMs is how long before the client leaves the final answer is sent; a tick of the timer is added.
	finalAnswerMarginMs = 10.0
	// openQueryIntervalMs is the time between looks at open queries; it is finer than any latency judged.
	openQueryIntervalMs = 10.0
	// wastedWorkObjectiveShare is the share of the shortest objective that a median part must take for a query that
	// ends unanswered to show overload.
	wastedWorkObjectiveShare = 0.25
	// retryAfterObjectiveShare is the share of the objective after which a rejected client may come back.
	retryAfterObjectiveShare = 0.5
)

// processOpenQueries ends queries that are out of time and looks after the parts of the others.
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

// endIfDecided ends a query that is complete, and one that can no longer become so: with a partial answer at once where
// that is allowed.
func (s *Scheduler) endIfDecided(now float64, q *query) {
	reachable := 0.0
	for _, p := range q.parts {
		reachable += p.weightIf(func(p *part) bool {
			return p.arrived || p.attemptsInFlight > 0 || s.canAttempt(now, p)
		})
	}
	isFinal := reachable < q.class.MinCompleteness-weightTolerance || q.arrivedWeight >= reachable-weightTolerance
	if q.isCompleteWith(q.arrivedWeight) || (!q.isCompleteWith(reachable) && isFinal) {
		s.endStep(now, q)
	}
}

// endIfDue ends a query whose time is up or whose waiting parts are not worth the wait, and reports whether it has
// ended.
func (s *Scheduler) endIfDue(now float64, q *query) bool {
	class := q.class
	last := q.Deadline - s.answerMarginMs
	if class.LateFactor < negligibleLateFactor {
		last = min(last, q.objectiveAt)
	}
	switch {
	case now >= last:
		s.endStep(now, q)
	case s.isPartialAnswerDue(now, q):
		s.endStep(now, q)
	case now > max(q.objectiveAt, q.arrivedAt) && q.hasQueuedPart():
		s.endStep(now, q) // what is late and not even sent makes way for others
	}
	return q.ended
}

// isPartialAnswerDue reports whether the objective is about to pass and a partial answer now is worth more than a
// complete one later.
func (s *Scheduler) isPartialAnswerDue(now float64, q *query) bool {
	isObjectiveNear := now+s.answerMarginMs+openQueryIntervalMs >= q.objectiveAt
	if !isObjectiveNear || !q.canAnswerPartially() {
		return false
	}
	class := q.class
	return class.PartialFactor*q.arrivedWeight/class.CompletenessTarget >= class.LateFactor
}

// isCompleteWith reports whether so much weight makes the present step complete.
func (q *query) isCompleteWith(weight float64) bool {
	if len(q.parts) == 0 {
		return false
	}
	isTargetReached := weight >= q.class.CompletenessTarget-weightTolerance
	return weight >= 1-weightTolerance || (q.step == 0 && isTargetReached)
}

// canAnswerPartially reports whether the class allows a partial answer with what has arrived.
func (q *query) canAnswerPartially() bool {
	class := q.class
	return class.MinCompleteness < class.CompletenessTarget && q.arrivedWeight > 0 &&
		q.arrivedWeight >= class.MinCompleteness-weightTolerance
}

// endStep gives a query's one final answer: an answer if enough has arrived, else a rejection if that is harmless,
// else a failure. The first answer of a class with a second step keeps the query open instead.
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

// learnQueryEnd learns from the end of a query how much time queries need and whether the fleet is overloaded. A
// query that ends unanswered at its objective was served in vain, which shows overload sooner than the median
// latency does, unless the fleet is quick. A query with less time than its class's objective is no such sign.
func (s *Scheduler) learnQueryEnd(now float64, q *query, isAnswered, isComplete bool) {
	lastPartMs := q.expectedLastPartMs * float64(1-q.step) // the second step tells nothing about admission
	s.deadlines.QueryEnded(now-q.arrivedAt, lastPartMs, isComplete)
	isSlow := s.latency.medianPartMs() > wastedWorkObjectiveShare*s.latency.minObjectiveMs
	if now >= q.objectiveAt && !isAnswered && isSlow {
		s.cutFleetLimit(now, q.arrivedAt)
	}
}

// beginSecondStep keeps a query open for the parts that follow its first answer.
func (s *Scheduler) beginSecondStep(q *query, isFirstComplete bool) {
	s.dropParts(q)
	q.step = 1
	q.firstStepComplete = isFirstComplete
}

// ClientDisconnected drops a query that its client has left.
func (s *Scheduler) ClientDisconnected(_ float64, id uint64) {
	if q := s.queries[id]; q != nil {
		s.dropQuery(q)
	}
}

// dropQuery drops a query, takes its parts out of the queues and cancels what is in flight.
func (s *Scheduler) dropQuery(q *query) {
	q.ended = true
	delete(s.queries, q.ID)
	if s.queriesByGroup[q.QueryGroup] == q {
		delete(s.queriesByGroup, q.QueryGroup)
	}
	s.dropParts(q)
}

// dropParts takes the parts of a query out of the queues and cancels what is in flight.
func (s *Scheduler) dropParts(q *query) {
	for _, p := range q.parts {
		p.queued = false
		delete(s.parts, p.ID)
		s.cancelAttempts(p)
	}
	q.parts = nil
	q.arrivedWeight = 0
}
