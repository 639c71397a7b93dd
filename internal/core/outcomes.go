package core

import (
	"cmp"
	"container/heap"
	"slices"

	"ternstage/internal/decision/scheduler"
)

// endedAttempt is an attempt whose outcome has not been reported to the scheduler yet.
type endedAttempt struct {
	attempt *Attempt
	outcome scheduler.Outcome
}

// AttemptEnded reports how an attempt ended. The first report of an attempt counts, and later ones are ignored. value
// is the backend's result if the outcome is Succeeded; the caller must not change it afterwards. Core reports the
// outcome to the scheduler in the next round.
func (c *Core) AttemptEnded(attempt *Attempt, outcome scheduler.Outcome, value []byte) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.outcome = outcome
	if attempt.heapIndex >= 0 {
		heap.Remove(&c.deadlines, attempt.heapIndex)
	}
	if outcome == scheduler.Succeeded && !attempt.part.arrived {
		attempt.part.arrived = true
		attempt.part.value = value
		c.countArrival(attempt.part)
	}
	c.endedAttempts = append(c.endedAttempts, endedAttempt{attempt, outcome})
}

// AttemptEndedLater is AttemptEnded for an outcome that the transport learns while Core is calling it. It also
// requests the round in which the outcome is reported to the scheduler.
func (c *Core) AttemptEndedLater(attempt *Attempt, outcome scheduler.Outcome) {
	c.AttemptEnded(attempt, outcome, nil)
	c.clock.WakeAt(0)
}

// reportAttemptEnd reports to the scheduler how an attempt ended. Then it reroutes the part, or ends the request, if
// the outcome requires it.
func (c *Core) reportAttemptEnd(now float64, end endedAttempt) {
	attempt := end.attempt
	part := attempt.part
	request := part.request
	delete(c.inFlight, attemptKey{part.id, attempt.number})
	_, isOpen := c.openRequests[request.queryID]
	retryDelayMs := c.handleNotHolder(attempt, end.outcome)
	c.scheduler.AttemptEnded(now, scheduler.AttemptResult{
		Part:           part.id,
		Attempt:        attempt.number,
		Replica:        attempt.Backend,
		Outcome:        end.outcome,
		Latency:        now - attempt.sentAt,
		ConnectionOnly: attempt.ConnectionOnly,
		PartDone:       end.outcome == scheduler.Succeeded || !isOpen,
		RetryDelay:     retryDelayMs,
	})
	if end.outcome != scheduler.Succeeded {
		c.reroutePart(now, part)
	}
	if request.disconnected && c.openRequests[request.queryID] == request && !request.hasAttemptInFlight() {
		c.endDisconnectedRequest(request)
	}
}

// expireAttempts ends the attempts whose deadline has passed. It sorts them by their parts' ids, so that the order
// does not depend on that of the heap.
func (c *Core) expireAttempts(now float64) {
	var expired []*Attempt
	for len(c.deadlines) > 0 && now >= c.deadlines[0].Deadline {
		expired = append(expired, heap.Pop(&c.deadlines).(*Attempt))
	}
	slices.SortFunc(expired, func(x, y *Attempt) int { return cmp.Compare(x.part.id, y.part.id) })
	for _, attempt := range expired {
		outcome := scheduler.TimedOut
		neverRan := c.transport.Abandon(attempt)
		if neverRan {
			outcome = scheduler.ConnectFailed // lets the scheduler retry the part, as it never ran
		}
		c.AttemptEnded(attempt, outcome, nil)
	}
}
