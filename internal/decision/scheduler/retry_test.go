package scheduler

import "testing"

func TestRetryRespectsIdempotency(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	q := h.submit(2, 0)
	h.runRound()
	h.now += 5
	h.endAttempt(h.inFlight[0], ConnectFailed) // never ran: may go again
	h.runRound()
	if n := len(q.parts[0].attempts); n != 2 {
		t.Fatalf("%d attempts after a proof that the first never ran", n)
	}
	h.now += 5
	h.endAttempt(h.inFlight[0], Failed)
	h.runRound()
	h.requireEnd(q, "fail") // at once, not at the deadline
	k := h.submit(4, 1)
	h.runRound()
	h.advance(450, nil) // past the window of 400
	h.endAttempt(k.parts[0].attempts[len(k.parts[0].attempts)-1], Failed)
	n := len(k.parts[0].attempts)
	h.advance(500, nil)
	if len(k.parts[0].attempts) != n {
		t.Fatal("keyed part sent again outside its window")
	}
}

func TestUnreachableReplicasDoNotExhaustAttempts(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	q := h.submit(0, 0)
	h.runRound()
	back := h.now + 280
	h.advance(700, func(a *sentAttempt) {
		if h.now < back {
			h.endAttempt(a, ConnectFailed)
		} else if h.now >= a.sentAt+50 {
			h.endAttempt(a, Succeeded)
		}
	})
	h.requireEnd(q, "answer") // its replicas refused connections for 280 ms and came back
}

func TestRejectingReplicasGetFewAttempts(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	n := len(h.sent)
	h.submit(0, 0)
	h.runRound()
	h.advance(900, func(a *sentAttempt) { h.endAttempt(a, Rejected) })
	if got := len(h.sent) - n; got > 6 {
		t.Fatalf("%d attempts at full replicas", got)
	}
}

func TestReservePartSubstitutesFailedPart(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	q := h.submit(3, 0, 1, 2, 3, 4, 5, 0, 1, 2)
	h.runRound()
	first := len(h.sent)
	if first >= 9 || first < 6 {
		t.Fatalf("%d of 9 parts asked where 67%% make it whole", first)
	}
	h.now += 5
	h.endAttempt(h.inFlight[0], Failed)
	h.runRound()
	if len(h.sent) != first+1 || len(h.retries) != 0 {
		t.Fatal("a reserve part should stand in for the failed one, without a further attempt")
	}
	h.advance(200, h.replyAfter(50))
	h.requireEnd(q, "answer")
}

func TestFinishedPartIsNotRetried(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	q := h.submit(0, 0)
	h.runRound()
	h.scheduler.AttemptEnded(h.now, AttemptResult{Part: q.parts[0].Part.ID, Replica: q.parts[0].attempts[0].replica, Outcome: Failed, PartDone: true})
	h.runRound()
	h.advance(100, nil)
	if len(q.parts[0].attempts) != 1 {
		t.Fatal("a part that is over was sent again")
	}
	h.requireEnd(q, "reject")
}
