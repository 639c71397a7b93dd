package scheduler

import "testing"

// TestUnansweredQueriesEndOnce guarantees one final answer where there is nothing to answer with: a rejection if
// asking again is harmless, a failure if a non-idempotent part may have run. The harness fails the test on a second.
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

// TestNegligibleLateFactorEndsQueryAtObjective guarantees that queries whose late answer is worth little end at
// their objective, and so do their attempts, while others are waited for.
func TestNegligibleLateFactorEndsQueryAtObjective(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	worthless := h.submit(classWithKey, 0)
	worthwhile := h.submit(classDefault, 1)
	h.runRound()
	for _, a := range h.inFlight {
		class := a.part.query.Query.Class
		if (a.timeoutMs <= 1000) != (class == classWithKey) {
			t.Fatalf("class %d: timeout %v", class, a.timeoutMs)
		}
	}
	h.advance(1010, nil)
	h.requireEnd(worthless, endFail) // it may have run: no promise
	if worthwhile.endedAt > 0 {
		t.Fatal("a query whose late answer has worth was ended at its objective")
	}
}

// TestPartialAnswerAtObjective guarantees that a class that allows it is answered with what has arrived, marked as
// incomplete, instead of missing its objective.
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

// TestPartialAnswerPrecedesObjectiveByMargin guarantees that a partial answer leaves early enough to be at the
// client by the objective, however the objective falls between two looks at the open queries.
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
		t.Fatalf("answered %v ms before the objective, want %v at least", margin, finalAnswerMarginMs)
	}
}

// TestSecondStepEndsWithCompleteAnswer guarantees that the first answer of a class with two steps keeps the query
// open, and the second ends it.
func TestSecondStepEndsWithCompleteAnswer(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	q := h.submit(classTwoSteps, 0, 1)
	h.runRound()
	h.advance(60, h.replyAfter(40))
	if q.answers != 1 || q.endedAt > 0 {
		t.Fatal("first step not answered, or the query ended with it")
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

// TestDegenerateSecondStepEndsOnce guarantees one honest final answer to queries whose second step has fewer parts
// than stated, or parts at shards whose replicas have been removed.
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

// TestCoarseTimerStillAnswersBeforeDeadline guarantees that the final answer is not late where timers are coarse;
// the harness fails the test on a late one.
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
