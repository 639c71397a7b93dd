package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSelectsReplicaWithFewestCallsInFlight checks that parts are spread over the replicas of a shard.
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

// TestExpensiveCallsAreSharedAcrossNeighboringShards checks that parts of neighboring shards of a ring, which have
// replicas in common, share calls if the overhead of a call is nearly the work of a part, even in a large fleet. With
// a low overhead they do not.
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

// TestCongestedShardIsSentPartsAtAPace checks that congestion control still holds although a replica with nothing in
// flight accepts any attempt. A broker of a large fleet seldom has attempts in flight at a replica, so it paces its
// attempts to a congested shard. It stops pacing once the replicas are fast.
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
	// sentToShard0 submits a query to shard 0 in every fourth round and returns the number of attempts sent there.
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

// TestRankOrder checks that ranks are compared by tier, then by calls in flight, then by the tie break.
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
