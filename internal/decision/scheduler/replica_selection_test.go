package scheduler

import "testing"

func TestSelectsReplicaWithFewestCallsInFlight(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	for range 3 {
		h.submit(0, 0)
		h.runRound()
	}
	seen := map[uint32]bool{}
	for _, a := range h.sent {
		seen[a.replica] = true
	}
	if len(seen) != 3 {
		t.Fatalf("three parts of one shard went to %v", seen)
	}
}

// Neighbouring shards of a ring have holders in common: where a call costs nearly as much as a part, parts of one turn
// share calls, also among many co-ordinators; where it costs little they do not.
func TestExpensiveCallsAreSharedAcrossNeighboringShards(t *testing.T) {
	for _, dear := range []bool{false, true} {
		settings := testSettings()
		settings.BrokerCount, settings.MaxPartsPerCall, settings.CallOverhead = 40, 4, 10
		if dear {
			settings.CallOverhead = 80
		}
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.submit(0, 0, 1, 2, 3, 4, 5)
		h.runRound()
		used := map[uint32]bool{}
		for _, a := range h.inFlight {
			used[a.replica] = true
		}
		if len(h.inFlight) != 6 || dear && len(used) > 3 || !dear && len(used) < 5 {
			t.Errorf("dear %v: %d parts in %d calls", dear, len(h.inFlight), len(used))
		}
	}
}

// One of many co-ordinators seldom has anything out at a replica. That alone must not let parts through to a shard whose
// replicas are all jammed; they go at a pace, and freely again when the replicas are sound.
func TestCongestedShardIsSentPartsAtAPace(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount, settings.Classes[0].LatencyObjective, settings.Classes[0].Deadline = 40, 2900, 3000
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	slow := func(a *sentAttempt) { // the replicas of shard 0 are 8 times slower than the others
		if h.now >= a.sentAt+100 && a.replica > 3 || h.now >= a.sentAt+800 {
			h.endAttempt(a, Succeeded)
		}
	}
	ask := func(n int, reply func(*sentAttempt)) (sent int) {
		before := len(h.sent)
		for i := range n {
			h.submit(0, 3)
			if i%4 == 0 {
				h.submit(0, 0)
			}
			h.runRound()
			h.advance(100, reply)
		}
		for _, a := range h.sent[before:] {
			if a.part.Part.Shard == 0 {
				sent++
			}
		}
		return sent
	}
	ask(60, slow)
	if n := ask(60, slow); n > 12 || n == 0 {
		t.Fatalf("%d of 15 parts went to a jammed shard", n)
	}
	ask(100, h.replyAfter(100))
	if n := ask(60, h.replyAfter(100)); n < 14 {
		t.Fatalf("%d of 15 parts once the replicas are sound again", n)
	}
}
