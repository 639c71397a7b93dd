package scheduler

import "testing"

// TestRetriesStayWithinBudget guarantees that retries are made, but not beyond the budget where everything fails at
// once; the harness checks the budget on every retry.
func TestRetriesStayWithinBudget(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	for range 30 {
		h.submit(classDefault, 0, 1, 2)
		h.runRound()
		h.advance(30, func(a *sentAttempt) { h.endAttempt(a, Failed) })
	}
	if len(h.retries) == 0 {
		t.Fatal("no retry was made")
	}
}
