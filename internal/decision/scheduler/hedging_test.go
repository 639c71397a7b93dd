package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestStalledReplicaIsHedgedButSlowFleetIsNot checks that a part at a stalled replica is hedged once, at another
// replica, and that its first attempt is cancelled when the hedged request succeeds. If the whole fleet is slow, few
// hedged requests are sent and the replicas are not ejected.
func TestStalledReplicaIsHedgedButSlowFleetIsNot(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	q := h.submit(classDefault, 0)
	h.runRound()
	first := q.parts[0].attempts[0]
	h.advance(900, func(a *sentAttempt) {
		if a != first && h.now >= a.sentAt+100 {
			h.endAttempt(a, Succeeded)
		}
	})
	h.requireEnd(q, endAnswer)
	attempts := q.parts[0].attempts
	if len(attempts) != 2 || attempts[1].replica == first.replica || !first.cancelled {
		t.Fatalf("want one hedged request at another replica and the first attempt cancelled: %v", h.log)
	}
	before := len(h.retries)
	for range 40 { // all replicas are six times slower than the baseline
		h.submit(classDefault, 0, 1, 2, 3, 4, 5)
		h.runRound()
		h.advance(100, h.replyAfter(600))
	}
	hedged := len(h.retries) - before
	if hedged > 12 {
		t.Fatalf("%d hedged requests while the whole fleet is slow, want at most 12", hedged)
	}
	notEjected := 0
	for _, r := range h.scheduler.replicas.ordered {
		if h.scheduler.normalizedLatency(h.now, r) < ejectionLatency*h.scheduler.latency.fleetMedian {
			notEjected++
		}
	}
	if notEjected < 5 {
		t.Fatalf("%d of 6 replicas not ejected while the whole fleet is slow, want at least 5", notEjected)
	}
}

// TestLateIdempotentPartIsReassigned checks that, if hedging is not allowed, the attempt of a late idempotent part is
// cancelled and a retry follows, not within the first 15 ms. A non-idempotent part is not reassigned.
func TestLateIdempotentPartIsReassigned(t *testing.T) {
	settings := testSettings()
	settings.AllowHedging = false
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	idempotent := h.submit(classDefault, 0)
	nonIdempotent := h.submit(classNonIdempotent, 3)
	h.runRound()
	var stalled *sentAttempt
	h.advance(900, func(a *sentAttempt) {
		if stalled == nil {
			stalled = a
		}
		if a != stalled && a.part.query != nonIdempotent {
			h.replyAfter(40)(a)
		}
	})
	h.requireEnd(idempotent, endAnswer)
	attempts := idempotent.parts[0].attempts
	others := nonIdempotent.parts[0].attempts
	if len(attempts) != 2 || !attempts[0].cancelled || attempts[1].sentAt < attempts[0].sentAt+15 || len(others) != 1 {
		t.Fatalf("%d attempts of the idempotent part, %d of the other, want 2 and 1; or the first was not cancelled, "+
			"or the second followed it by less than 15 ms: %v", len(attempts), len(others), h.log)
	}
}

// TestCongestionSuppressesHedging checks that hedged requests do not increase congestion: none is sent while parts
// are queued for the same replicas, nor in a slow fleet shortly after a rejection. Congestion of other replicas does
// not prevent them; otherwise one weak set of replicas would prevent hedging in the whole fleet.
func TestCongestionSuppressesHedging(t *testing.T) {
	const (
		none        = "none"
		otherShard  = "other shard"
		sameShard   = "same shard"
		slowFleet   = "slow fleet"
		roundsLimit = 60
	)
	for congestion, want := range map[string]bool{none: true, otherShard: true, sameShard: false, slowFleet: false} {
		t.Run(congestion, func(t *testing.T) {
			h := newHarness(t, testSettings())
			h.listFleet(UpdateFull)
			h.learnBaseline()
			h.submit(classDefault, 0)
			h.runRound()
			s := h.scheduler
			group := s.settings.Placement.Group(0)
			for i := 0; i < roundsLimit && len(h.inFlight) < 2; i++ {
				s.lastOverloadAt = h.now
				switch congestion {
				case otherShard:
					s.queues.activate(3, h.now).oldestQueuedAt = h.now - 100
				case sameShard:
					s.oldestQueuedAtByGroup[group] = h.now - 100
					p := s.parts[h.inFlight[0].part.Part.ID]
					if s.hedge(h.now, p) {
						t.Fatal("hedged while a part is queued for the same replicas")
					}
					i = roundsLimit
				case slowFleet:
					s.latency.overloadMedian = maxHedgingMedian + 1
				}
				h.advance(10, nil)
			}
			hedged := len(h.inFlight) > 1
			if hedged != want {
				t.Errorf("hedged: %v, want %v", hedged, want)
			}
		})
	}
}

// TestRejectionsElsewhereDoNotPreventReassignment checks that a part at a stalled replica is reassigned although
// other replicas reject parts all the time, as the fleet is fast and nothing is queued for the part's own replicas.
// In a slow fleet it is not reassigned.
func TestRejectionsElsewhereDoNotPreventReassignment(t *testing.T) {
	for _, isSlow := range []bool{false, true} {
		settings := testSettings()
		settings.AllowHedging = false
		settings.BrokerCount = 300
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		latency := 40.0
		if isSlow {
			latency = 400
		}
		reply := func(a *sentAttempt) {
			isStalled := a.replica == 1 && !isSlow
			switch {
			case a.replica >= 4 && a.number == 0:
				h.endAttempt(a, Rejected)
			case !isStalled:
				h.replyAfter(latency)(a)
			}
		}
		for range 30 {
			h.submit(classDefault, 3)
			h.runRound()
			h.advance(50, reply)
		}
		reassigned := 0
		for range 20 { // ties are broken at random, so some parts are sent to the stalled replica
			h.submit(classDefault, 3) // its replicas, 4 to 6, reject the first attempts
			q := h.submit(classDefault, 0)
			h.runRound()
			h.advance(500, reply)
			attempts := q.parts[0].attempts
			if len(attempts) > 1 && attempts[0].cancelled {
				reassigned++
			}
		}
		assert.Equal(t, !isSlow, reassigned > 0, "%d parts reassigned, slow fleet: %v", reassigned, isSlow)
	}
}
