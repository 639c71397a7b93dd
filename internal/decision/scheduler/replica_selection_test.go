package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSelectsReplicaWithFewestCallsInFlight guarantees that load is spread over the replicas of a shard.
func TestSelectsReplicaWithFewestCallsInFlight(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	for range 3 {
		h.submit(classDefault, 0)
		h.runRound()
	}
	used := replicasUsed(h.sent)
	if len(used) != 3 {
		t.Fatalf("three parts of one shard sent to replicas %v, want three replicas", used)
	}
}

// TestExpensiveCallsAreSharedAcrossNeighboringShards guarantees that parts of neighboring shards of a ring, which
// have replicas in common, share calls where a call costs nearly as much as a part, also among many brokers, and do
// not where it costs little.
func TestExpensiveCallsAreSharedAcrossNeighboringShards(t *testing.T) {
	for _, isExpensive := range []bool{false, true} {
		settings := testSettings()
		settings.BrokerCount = 40
		settings.MaxPartsPerCall = 4
		settings.CallOverhead = 10
		if isExpensive {
			settings.CallOverhead = 80
		}
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.submit(classDefault, 0, 1, 2, 3, 4, 5)
		h.runRound()
		used := replicasUsed(h.inFlight)
		if len(h.inFlight) != 6 || isExpensive && len(used) > 3 || !isExpensive && len(used) < 5 {
			t.Errorf("expensive %v: %d parts in %d calls", isExpensive, len(h.inFlight), len(used))
		}
	}
}

// TestCongestedShardIsSentPartsAtAPace guarantees that the rule that a replica with nothing in flight takes an
// attempt does not undo congestion control. One of many brokers seldom has anything in flight at a replica, so it
// sends to a congested shard at a pace, and freely again once the replicas are fast.
func TestCongestedShardIsSentPartsAtAPace(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount = 40
	settings.Classes[classDefault].LatencyObjective = 2900
	settings.Classes[classDefault].Deadline = 3000
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	replySlowly := func(a *sentAttempt) { // the replicas of shard 0 are 8 times slower than the others
		if h.now >= a.sentAt+100 && a.replica > 3 || h.now >= a.sentAt+800 {
			h.endAttempt(a, Succeeded)
		}
	}
	// sentToShard0 submits a query in four to shard 0 and counts what is sent there.
	sentToShard0 := func(rounds int, reply func(*sentAttempt)) int {
		before := len(h.sent)
		for i := range rounds {
			h.submit(classDefault, 3)
			if i%4 == 0 {
				h.submit(classDefault, 0)
			}
			h.runRound()
			h.advance(100, reply)
		}
		sent := 0
		for _, a := range h.sent[before:] {
			if a.part.Part.Shard == 0 {
				sent++
			}
		}
		return sent
	}
	sentToShard0(60, replySlowly)
	sent := sentToShard0(60, replySlowly)
	if sent > 12 || sent == 0 {
		t.Fatalf("%d of 15 parts sent to a congested shard, want 1 to 12", sent)
	}
	sentToShard0(100, h.replyAfter(100))
	sent = sentToShard0(60, h.replyAfter(100))
	if sent < 14 {
		t.Fatalf("%d of 15 parts sent once the replicas are fast again, want 14 at least", sent)
	}
}

// TestRankOrder guarantees that the tier decides first, then the calls in flight, then the tie break.
func TestRankOrder(t *testing.T) {
	ordered := []rank{
		{tierHealthy, 0, 1},
		{tierHealthy, 0, 2},
		{tierHealthy, 1, 0},
		{tierAvoidedByNonIdempotent, 0, 0},
		{tierOutlier, 0, 0},
		{tierHealthy + tierAlreadyAttempted, 0, 0},
	}
	for i, first := range ordered {
		assert.Zero(t, first.compare(first))
		for _, second := range ordered[i+1:] {
			assert.Negative(t, first.compare(second), "%v, %v", first, second)
			assert.Positive(t, second.compare(first), "%v, %v", second, first)
		}
	}
}
