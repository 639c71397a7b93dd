package scheduler

import "testing"

func TestRetriesStayWithinBudget(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	for range 30 { // everything fails at once; the rig checks the budget
		h.submit(0, 0, 1, 2)
		h.runRound()
		h.advance(30, func(a *sentAttempt) { h.endAttempt(a, Failed) })
	}
	if len(h.retries) == 0 {
		t.Fatal("no further attempt was ever made")
	}
}
