package core

import (
	"container/heap"
	"slices"

	"ternstage/internal/decision/scheduler"
)

type endedAttempt struct {
	attempt *Attempt
	outcome scheduler.Outcome
}

// AttemptEnded reports the outcome of an attempt, once; later reports are ignored. value is what an OK brought.
func (c *Core) AttemptEnded(a *Attempt, o scheduler.Outcome, value []byte) {
	if a.ended {
		return
	}
	a.ended, a.outcome = true, o
	if a.heapIndex >= 0 {
		heap.Remove(&c.deadlines, a.heapIndex)
	}
	if p := a.part; o == scheduler.Succeeded && !p.arrived {
		p.arrived, p.value = true, value
		c.segmentArrived(p)
	}
	c.ended = append(c.ended, endedAttempt{a, o})
}

// AttemptEndedLater reports an outcome learnt while the back end was being called: the module hears of it next turn.
func (c *Core) AttemptEndedLater(a *Attempt, o scheduler.Outcome) {
	c.AttemptEnded(a, o, nil)
	c.clock.WakeAt(0)
}

// expire ends the attempts whose time is up: one heap for all, no timer for each.
func (c *Core) expire(now float64) {
	var due []*Attempt
	for len(c.deadlines) > 0 && now >= c.deadlines[0].Deadline {
		due = append(due, heap.Pop(&c.deadlines).(*Attempt))
	}
	slices.SortFunc(due, func(x, y *Attempt) int { return int(int64(x.part.id) - int64(y.part.id)) })
	for _, a := range due {
		o := scheduler.TimedOut
		if c.backend.Abandon(a) {
			o = scheduler.ConnectFailed // it never left us: proved never to have run
		}
		c.AttemptEnded(a, o, nil)
	}
}
