package scheduler

import "testing"

// TestUnansweredQueriesEndOnce checks that a query without any arrived part gets one final answer: a rejection if a
// client retry is safe, a failure if a non-idempotent part may have run. The harness fails on a second final answer.
func TestUnansweredQueriesEndOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	withoutParts := h.submit(classDefault)
	h.runRound()
	h.requireEnd(withoutParts, endReject)
	withoutReplicas := h.submit(classDefault, 0)
	h.runRound()
	h.advance(3000, nil)
	h.requireEnd(withoutReplicas, endReject)
	h.listFleet(UpdateFull)
	stalled := h.submit(classDefault, 0)
	h.runRound()
	h.advance(3100, nil)
	h.requireEnd(stalled, endReject)
	nonIdempotent := h.submit(classNonIdempotent, 0)
	h.runRound()
	h.advance(3100, nil)
	h.requireEnd(nonIdempotent, endFail)
}

// TestNegligibleLateFactorEndsQueryAtObjective checks that queries whose late answer is worth little, and their
// attempts, end at the objective. Other queries continue.
func TestNegligibleLateFactorEndsQueryAtObjective(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	endsAtObjective := h.submit(classWithKey, 0)
	continues := h.submit(classDefault, 1)
	h.runRound()
	for _, a := range h.inFlight {
		class := a.part.query.Query.Class
		if (a.timeoutMs <= 1000) != (class == classWithKey) {
			t.Fatalf("class %d: timeout of %v ms", class, a.timeoutMs)
		}
	}
	h.advance(1010, nil)
	h.requireEnd(endsAtObjective, endFail) // its part may have run
	if continues.endedAt > 0 {
		t.Fatal("a query whose late answer counts was ended at its objective")
	}
}

// TestPartialAnswerAtObjective checks that a query of a class with partial answers is answered at its objective with
// the parts that have arrived, and that the answer is not marked complete.
func TestPartialAnswerAtObjective(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	q := h.submit(classPartial, 0, 1, 2, 3)
	h.runRound()
	for _, a := range append([]*sentAttempt(nil), h.inFlight[:3]...) {
		h.endAttempt(a, Succeeded)
	}
	h.advance(995, nil)
	h.requireEnd(q, endAnswer)
	if q.complete {
		t.Fatal("a partial answer is marked complete")
	}
}

// TestPartialAnswerPrecedesObjectiveByMargin checks that a partial answer is sent early enough to reach the client
// before the objective, even if the objective falls between two rounds.
func TestPartialAnswerPrecedesObjectiveByMargin(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	arrivedAt := h.now
	q := h.submit(classPartial, 0, 1, 2, 3)
	h.runRound()
	stalled := h.inFlight[0].part
	h.advance(1000, func(a *sentAttempt) {
		if a.part != stalled && h.now >= a.sentAt+90 {
			h.endAttempt(a, Succeeded)
		}
	})
	h.requireEnd(q, endAnswer)
	margin := arrivedAt + h.settings.Classes[classPartial].LatencyObjective - q.endedAt
	if margin < finalAnswerMarginMs {
		t.Fatalf("answered %v ms before the objective, want at least %v", margin, finalAnswerMarginMs)
	}
}

// TestSecondStepEndsWithCompleteAnswer checks that a query of a class with two steps stays open after its first
// answer and ends with the second.
func TestSecondStepEndsWithCompleteAnswer(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	q := h.submit(classTwoSteps, 0, 1)
	h.runRound()
	h.advance(60, h.replyAfter(40))
	if q.answers != 1 || q.endedAt > 0 {
		t.Fatalf("%d answers after the first step, ended at %v; want 1 answer and an open query", q.answers, q.endedAt)
	}
	h.addPart(q, 0, 100, 0.5)
	h.addPart(q, 1, 100, 0.5)
	h.runRound()
	h.advance(60, h.replyAfter(40))
	h.requireEnd(q, endAnswer)
	if q.answers != 2 || !q.complete {
		t.Fatalf("%d answers, complete %v; want 2 and true", q.answers, q.complete)
	}
}

// TestDegenerateSecondStepEndsOnce checks that a query gets one final answer in time, which is not falsely marked
// complete, if its second step has fewer parts than stated or parts at shards whose replicas have been removed.
func TestDegenerateSecondStepEndsOnce(t *testing.T) {
	const withoutReplicas = "no replicas"
	for name, begin := range map[string]func(h *harness, q *testQuery){
		withoutReplicas: func(h *harness, q *testQuery) {
			h.updateEndpoints(UpdateFull, Endpoint{Replica: 5, Cell: 4, State: Ready})
			h.addPart(q, 0, 100, 0.5)
			h.addPart(q, 1, 100, 0.5)
		},
		"one part of two": func(h *harness, q *testQuery) { h.addPart(q, 0, 100, 1) },
		"no parts":        func(*harness, *testQuery) {},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			h.listFleet(UpdateFull)
			q := h.decide(h.submit(classTwoSteps, 0, 1))
			h.advance(150, h.replyAfter(100))
			if q.answers != 1 {
				t.Fatalf("%d answers to the first step, want 1", q.answers)
			}
			begin(h, q)
			h.runRound()
			h.advance(3200, h.replyAfter(100))
			isLate := q.endedAt > q.Query.Deadline+h.settings.AnswerGrace
			isFalselyComplete := name == withoutReplicas && q.answers > 1 && q.complete
			if q.endedAt == 0 || isLate || isFalselyComplete {
				t.Errorf("ended at %v with %q (complete: %v), deadline %v", q.endedAt, q.end, q.complete, q.Query.Deadline)
			}
		})
	}
}

// TestCoarseTimerStillAnswersBeforeDeadline checks that the final answer is not late with a coarse timer resolution.
// The harness fails on a late one.
func TestCoarseTimerStillAnswersBeforeDeadline(t *testing.T) {
	settings := testSettings()
	settings.TimerResolution = 100
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	q := h.submit(classDefault, 0)
	q.Query.Deadline += 37
	h.runRound()
	h.advance(3200, nil)
	h.requireEnd(q, endReject)
}
