package core

import (
	"cmp"
	"container/heap"
	"slices"

	"ternstage/internal/decision/scheduler"
)

// endedAttempt is an attempt with its outcome, until it is reported to the scheduler.
type endedAttempt struct {
	attempt *Attempt
	outcome scheduler.Outcome
}

// AttemptEnded reports how an attempt ended. The first report of an attempt counts, later ones are ignored. value is
// what the backend gave if the outcome is Succeeded, and must not change afterwards. It is reported to the scheduler
// in the next round.
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

// AttemptEndedLater reports an outcome that the transport learns while Core is calling it, and asks for a round in
// which it is reported to the scheduler.
func (c *Core) AttemptEndedLater(attempt *Attempt, outcome scheduler.Outcome) {
	c.AttemptEnded(attempt, outcome, nil)
	c.clock.WakeAt(0)
}

// reportAttemptEnd reports to the scheduler how an attempt ended, and does what follows from it for the part and the request.
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

// expireAttempts ends the attempts whose deadline has passed. They end in the order of their parts' ids, whatever the heap's.
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
			outcome = scheduler.ConnectFailed // the scheduler may retry what never ran
		}
		c.AttemptEnded(attempt, outcome, nil)
	}
}
