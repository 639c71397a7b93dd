package scheduler

import "testing"

// TestRetryRespectsIdempotency checks that a non-idempotent part is retried only if no attempt can have run, and a
// part with an idempotency key only within its deduplication window.
func TestRetryRespectsIdempotency(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	nonIdempotent := h.submit(classNonIdempotent, 0)
	h.runRound()
	h.now += 5
	h.endAttempt(h.inFlight[0], ConnectFailed) // the part has not run, so it may be sent again
	h.runRound()
	attempts := len(nonIdempotent.parts[0].attempts)
	if attempts != 2 {
		t.Fatalf("%d attempts after the first never ran, want 2", attempts)
	}
	h.now += 5
	h.endAttempt(h.inFlight[0], Failed)
	h.runRound()
	h.requireEnd(nonIdempotent, endFail) // at once, not at the deadline
	withKey := h.submit(classWithKey, 1)
	h.runRound()
	h.advance(450, nil) // past the deduplication window of 400 ms
	last := withKey.parts[0].attempts[len(withKey.parts[0].attempts)-1]
	h.endAttempt(last, Failed)
	attempts = len(withKey.parts[0].attempts)
	h.advance(500, nil)
	if len(withKey.parts[0].attempts) != attempts {
		t.Fatal("part sent again after its deduplication window")
	}
}

// TestUnreachableReplicasDoNotExhaustAttempts checks that a short outage of all replicas of a shard, which refuse
// connections for 280 ms, does not use up the attempts of a part.
func TestUnreachableReplicasDoNotExhaustAttempts(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	q := h.submit(classDefault, 0)
	h.runRound()
	recoversAt := h.now + 280
	h.advance(700, func(a *sentAttempt) {
		if h.now < recoversAt {
			h.endAttempt(a, ConnectFailed)
		} else if h.now >= a.sentAt+50 {
			h.endAttempt(a, Succeeded)
		}
	})
	h.requireEnd(q, endAnswer)
}

// TestRejectingReplicasGetFewAttempts checks that retries do not increase the overload of replicas that reject parts.
func TestRejectingReplicasGetFewAttempts(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	before := len(h.sent)
	h.submit(classDefault, 0)
	h.runRound()
	h.advance(900, func(a *sentAttempt) { h.endAttempt(a, Rejected) })
	sent := len(h.sent) - before
	if sent > 6 {
		t.Fatalf("%d attempts at rejecting replicas, want at most 6", sent)
	}
}

// TestReservePartSubstitutesFailedPart checks a class for which less than the whole weight makes an answer complete.
// Only the parts that suffice are sent. A reserve part is sent in place of a failed one and does not count as a
// retry.
func TestReservePartSubstitutesFailedPart(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	q := h.submit(classPartialTarget, 0, 1, 2, 3, 4, 5, 0, 1, 2)
	h.runRound()
	asked := len(h.sent)
	if asked >= 9 || asked < 6 {
		t.Fatalf("%d of 9 parts sent, want 6 to 8, as 67%% make the answer complete", asked)
	}
	h.now += 5
	h.endAttempt(h.inFlight[0], Failed)
	h.runRound()
	if len(h.sent) != asked+1 || len(h.retries) != 0 {
		t.Fatalf("%d parts sent and %d retries after the failure, want 1 reserve part and no retry",
			len(h.sent)-asked, len(h.retries))
	}
	h.advance(200, h.replyAfter(50))
	h.requireEnd(q, endAnswer)
}

// TestFinishedPartIsNotRetried checks that a part is not sent again after a result with PartDone.
func TestFinishedPartIsNotRetried(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	q := h.submit(classDefault, 0)
	h.runRound()
	h.scheduler.AttemptEnded(h.now, AttemptResult{
		Part:     q.parts[0].Part.ID,
		Replica:  q.parts[0].attempts[0].replica,
		Outcome:  Failed,
		PartDone: true,
	})
	h.runRound()
	h.advance(100, nil)
	if len(q.parts[0].attempts) != 1 {
		t.Fatal("a finished part was sent again")
	}
	h.requireEnd(q, endReject)
}
