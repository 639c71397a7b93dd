package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

// fixedFixture is a core before two nodes that hold the one shard, whose back end holds attempts until the test says more.
type fixedFixture struct {
	*fixture
	begun map[*Attempt]bool // those that cannot be withdrawn any more
}

func (s *fixedFixture) Withdraw(a *Attempt) bool {
	if s.begun[a] {
		return false
	}
	s.remove(a)
	return true
}

func newFixedFixture(t *testing.T, grace float64, cancel bool, class scheduler.Class) *fixedFixture {
	s := &fixedFixture{fixture: &fixture{t: t, now: 1e6, wake: 1e12}, begun: map[*Attempt]bool{}}
	class.LatencyObjective, class.Deadline, class.PriorityWeight, class.MinCompleteness, class.CompletenessTarget = 1000, 2000, 1, 1, 1
	var err error
	s.core, err = New(scheduler.Settings{BrokerCount: 1, TimerResolution: 5, Shards: 1, Cells: 1, CellsPerShard: 1, Placement: slicemap.NewRingPlacement(1, 1, 1),
		MaxPartsPerCall: 1, CanCancel: cancel, MaxAttempts: 4, MaxRetryAfter: 1000, DrainGrace: grace,
		Classes: []scheduler.Class{class}}, 7, Options{Clock: s, Log: s})
	require.NoError(t, err)
	s.core.Attach(s, s)
	s.core.EndpointsChanged(scheduler.UpdateFull, []scheduler.Endpoint{{Replica: 1, State: scheduler.Ready}, {Replica: 2, State: scheduler.Ready}})
	s.runFor(1)
	return s
}

func (s *fixedFixture) submitOne() *Request {
	s.submitted++
	r := &Request{ID: fmt.Sprint("q", s.submitted), Deadline: s.now + 2000, Client: &recorder{},
		Parts: []Part{{Weight: 1, CostHint: 10, HasCostHint: true}}}
	require.NoError(s.t, s.core.Submit(r))
	s.runFor(1)
	return r
}

// TestSendBy: what is decided begins within 400 ms, or 0.4 of the grace of drains where that is less; a repeat of a part
// that may have run begins within its class's window from the first attempt.
func TestStartBy(t *testing.T) {
	for grace, hold := range map[float64]float64{0: 400, 2000: 400, 800: 320} {
		s := newFixedFixture(t, grace, true, scheduler.Class{Idempotency: scheduler.IdempotentWithKey, DedupWindow: 250})
		s.submitOne()
		first := s.attempts[0]
		assert.Equal(t, s.now+hold, first.StartBy)
		s.core.AttemptEnded(first, scheduler.Failed, nil)
		s.runFor(30)
		require.Len(t, s.attempts, 2)
		assert.Equal(t, first.sentAt+250, s.attempts[1].StartBy)
		s = newFixedFixture(t, grace, true, scheduler.Class{Idempotency: scheduler.IdempotentWithKey, DedupWindow: 250})
		s.submitOne()
		s.core.AttemptEnded(s.attempts[0], scheduler.Rejected, nil) // it never ran: the next is a first one
		s.runFor(100)
		require.Len(t, s.attempts, 2)
		assert.Equal(t, s.attempts[1].sentAt+hold, s.attempts[1].StartBy)
	}
}

// TestLeftWithdraws: a client goes while an attempt waits at the back end. Nothing of it begins, whether or not what has
// begun may be cancelled; one that must not run twice and has begun is waited for, and is the request's last.
func TestDisconnectWithdrawsAttempts(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, effect := range []scheduler.Idempotency{scheduler.Idempotent, scheduler.NonIdempotent} {
			s := newFixedFixture(t, 1000, cancel, scheduler.Class{Idempotency: effect})
			s.core.ClientDisconnected(s.submitOne())
			s.runFor(1)
			assert.Empty(t, s.inFlight)
			assert.Zero(t, s.core.OpenRequests())
			r := s.submitOne()
			s.begun[s.attempts[1]] = true
			s.core.ClientDisconnected(r)
			s.runFor(1)
			assert.Equal(t, effect == scheduler.NonIdempotent, s.core.OpenRequests() == 1)
			s.core.AttemptEnded(s.attempts[1], scheduler.Rejected, nil)
			s.runFor(100)
			assert.Zero(t, s.core.OpenRequests())
			assert.Len(t, s.attempts, 2, "turned away, and no further try")
		}
	}
}
