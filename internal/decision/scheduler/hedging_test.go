package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStalledReplicaIsHedgedButSlowFleetIsNot(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	q := h.submit(0, 0)
	h.runRound()
	first := q.parts[0].attempts[0]
	h.advance(900, func(a *sentAttempt) {
		if a != first && h.now >= a.sentAt+100 {
			h.endAttempt(a, Succeeded)
		}
	})
	h.requireEnd(q, "answer")
	if len(q.parts[0].attempts) != 2 || q.parts[0].attempts[1].replica == first.replica || !first.cancelled {
		t.Fatalf("want one second copy elsewhere and the first cancelled: %v", h.log)
	}
	extra := len(h.retries)
	for range 40 { // all are six times slower: no replica is better than another
		h.submit(0, 0, 1, 2, 3, 4, 5)
		h.runRound()
		h.advance(100, h.replyAfter(600))
	}
	if n := len(h.retries) - extra; n > 12 {
		t.Fatalf("%d second copies while the whole fleet is slow", n)
	}
	ready := 0
	for _, r := range h.scheduler.replicas.ordered {
		if h.scheduler.normalizedLatency(h.now, r) < ejectionLatency*h.scheduler.latency.fleetLevel {
			ready++
		}
	}
	if ready < 5 {
		t.Fatalf("only %d of 6 replicas left usable in a shared slowness", ready)
	}
}

// A part that hangs where no second copy may be out is given up, and tried elsewhere a while after that.
func TestLateIdempotentPartIsReassigned(t *testing.T) {
	settings := testSettings()
	settings.AllowHedging = false
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var hung *sentAttempt
	safe, unsafe := h.submit(0, 0), h.submit(2, 3)
	h.runRound()
	h.advance(900, func(a *sentAttempt) {
		if hung == nil {
			hung = a
		}
		if a != hung && a.part.query != unsafe {
			h.replyAfter(40)(a)
		}
	})
	h.requireEnd(safe, "answer")
	sends := safe.parts[0].attempts
	if len(sends) != 2 || !sends[0].cancelled || sends[1].sentAt < sends[0].sentAt+15 || len(unsafe.parts[0].attempts) != 1 {
		t.Fatalf("%d sends of the safe part, %d of the other", len(sends), len(unsafe.parts[0].attempts))
	}
}

// Retries never feed a jam: no second copy is made while parts wait for the same replicas, nor in a slow fleet after a
// refusal. A jam of other replicas does not stop it: one weak set would lose what is late everywhere.
func TestCongestionSuppressesHedging(t *testing.T) {
	for jam, want := range map[string]bool{"none": true, "elsewhere": true, "here": false, "slow fleet": false} {
		h := newHarness(t, testSettings())
		h.listFleet(UpdateFull)
		h.learnBaseline()
		h.submit(0, 0)
		h.runRound()
		group := h.scheduler.settings.Placement.Group(0)
		for i := 0; i < 60 && len(h.inFlight) < 2; i++ {
			switch h.scheduler.congestedAt = h.now; jam {
			case "elsewhere":
				h.scheduler.queues.activate(3, h.now).oldestQueuedAt = h.now - 100
			case "here":
				h.scheduler.queuedSinceByGroup[group] = h.now - 100
				p := h.scheduler.parts[h.inFlight[0].part.Part.ID]
				if h.scheduler.hedge(h.now, p) {
					t.Fatal("a copy while a part waits for the same replicas")
				}
				i = 60
			case "slow fleet":
				h.scheduler.latency.overloadMedian = slowFleetLevel + 1
			}
			h.advance(10, nil)
		}
		if copied := len(h.inFlight) > 1; copied != want {
			t.Errorf("jam %s: copied %v", jam, copied)
		}
	}
}

// TestRejectionsElsewhereDoNotPreventReassignment: some replicas turn parts away all the time while another hangs. What hangs moves,
// as the fleet is quick and nothing waits at its set; in a fleet that is slow it keeps still.
func TestRejectionsElsewhereDoNotPreventReassignment(t *testing.T) {
	for _, slow := range []bool{false, true} {
		settings := testSettings()
		settings.AllowHedging, settings.BrokerCount = false, 300
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		took := 40.0
		if slow {
			took = 400
		}
		reply := func(a *sentAttempt) {
			switch {
			case a.replica >= 4 && a.number == 0:
				h.endAttempt(a, Rejected)
			case a.replica != 1:
				h.replyAfter(took)(a)
			case slow:
				h.replyAfter(took)(a)
			}
		}
		for range 30 {
			h.submit(0, 3)
			h.runRound()
			h.advance(50, reply)
		}
		moved := 0
		for range 20 { // the ties' dice send some of them to the one that hangs
			h.submit(0, 3) // at 4, 5 and 6 all are turned away at first
			q := h.submit(0, 0)
			h.runRound()
			h.advance(500, reply)
			if sends := q.parts[0].attempts; len(sends) > 1 && sends[0].cancelled {
				moved++
			}
		}
		assert.Equal(t, !slow, moved > 0, "%d moved, slow %v", moved, slow)
	}
}
