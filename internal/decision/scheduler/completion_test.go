package scheduler

import "testing"

func TestUnansweredQueriesEndOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	empty := h.submit(0)
	h.runRound()
	h.requireEnd(empty, "reject")
	nobody := h.submit(0, 0) // no replica is known at all
	h.runRound()
	h.advance(3000, nil)
	h.requireEnd(nobody, "reject")
	h.listFleet(UpdateFull)
	hung := h.submit(0, 0)
	h.runRound()
	h.advance(3100, nil)
	h.requireEnd(hung, "reject")
	unsafe := h.submit(2, 0)
	h.runRound()
	h.advance(3100, nil)
	h.requireEnd(unsafe, "fail") // it may have run: no promise
}

func TestNegligibleLateFactorEndsQueryAtObjective(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	little, more := h.submit(4, 0), h.submit(0, 1)
	h.runRound()
	for _, a := range h.inFlight {
		if class := a.part.query.Query.Class; (a.timeoutMs <= 1000) != (class == 4) {
			t.Fatalf("class %d: time-out %v", class, a.timeoutMs)
		}
	}
	h.advance(1010, nil)
	h.requireEnd(little, "fail") // keyed and possibly run: no promise
	if more.endedAt > 0 {
		t.Fatal("a query with late worth was ended at its aim")
	}
}

func TestPartialAnswerAtObjective(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	q := h.submit(1, 0, 1, 2, 3)
	h.runRound()
	for _, a := range append([]*sentAttempt(nil), h.inFlight[:3]...) {
		h.endAttempt(a, Succeeded)
	}
	h.advance(995, nil)
	h.requireEnd(q, "answer")
	if q.complete {
		t.Fatal("marked whole")
	}
}

// A partial answer must be at the client, not only out, by the aim: it leaves before the last sweep that could miss it.
func TestPartialAnswerPrecedesObjectiveByMargin(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	arrived := h.now
	q := h.submit(1, 0, 1, 2, 3)
	h.runRound()
	stuck := h.inFlight[0].part
	h.advance(1000, func(a *sentAttempt) {
		if a.part != stuck && h.now >= a.sentAt+90 {
			h.endAttempt(a, Succeeded)
		}
	})
	h.requireEnd(q, "answer")
	if early := arrived + h.settings.Classes[1].LatencyObjective - q.endedAt; early < finalAnswerMarginMs {
		t.Fatalf("answered %v ms before the aim", early)
	}
}

func TestSecondStepEndsWithCompleteAnswer(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	q := h.submit(5, 0, 1)
	h.runRound()
	h.advance(60, h.replyAfter(40))
	if q.answers != 1 || q.endedAt > 0 {
		t.Fatal("first step not answered")
	}
	h.addPart(q, 0, 100, 0.5)
	h.addPart(q, 1, 100, 0.5)
	h.runRound()
	h.advance(60, h.replyAfter(40))
	h.requireEnd(q, "answer")
	if q.answers != 2 || !q.complete {
		t.Fatalf("%+v", q)
	}
}

// A second step with fewer parts than stated, or at shards whose holders have left, ends in one honest final answer.
func TestDegenerateSecondStepEndsOnce(t *testing.T) {
	for name, odd := range map[string]func(h *harness, q *testQuery){
		"no holders": func(h *harness, q *testQuery) {
			h.updateEndpoints(UpdateFull, Endpoint{Replica: 5, Cell: 4, State: Ready})
			h.addPart(q, 0, 100, 0.5)
			h.addPart(q, 1, 100, 0.5)
		},
		"one part of two": func(h *harness, q *testQuery) { h.addPart(q, 0, 100, 1) },
		"no parts at all": func(*harness, *testQuery) {},
	} {
		h := newHarness(t, testSettings())
		h.listFleet(UpdateFull)
		q := h.decided(h.submit(5, 0, 1))
		h.advance(150, h.replyAfter(100))
		if q.answers != 1 {
			t.Fatalf("%s: no first answer", name)
		}
		odd(h, q)
		h.runRound()
		h.advance(3200, h.replyAfter(100))
		if q.endedAt == 0 || q.endedAt > q.Query.Deadline+h.settings.AnswerGrace || name == "no holders" && q.answers > 1 && q.complete {
			t.Errorf("%s: finished at %v by %q, deadline %v", name, q.endedAt, q.end, q.Query.Deadline)
		}
	}
}

func TestCoarseTimerStillAnswersBeforeDeadline(t *testing.T) {
	settings := testSettings()
	settings.TimerResolution = 100
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	q := h.submit(0, 0)
	q.Query.Deadline += 37
	h.runRound()
	h.advance(3200, nil) // the rig fails the test on a late answer
	h.requireEnd(q, "reject")
}
