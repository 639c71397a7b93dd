package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRetriesStayWithinBudget checks that retries are made, but not beyond the budget if every attempt fails at once.
// The harness checks the budget on every retry.
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
		t.Fatal("no part was retried")
	}
}

// TestRetryBudgetFollowsArrivals checks that the budget is a fixed number plus a number proportional to the arrivals
// in the window, and that a window of 0 means no budget.
func TestRetryBudgetFollowsArrivals(t *testing.T) {
	arrivals := eventWindow{1000, 1000, 1000, 1000}
	for name, test := range map[string]struct {
		settings RetryBudgetSettings
		now      float64
		want     int // of 10 retries
	}{
		"with arrivals":    {RetryBudgetSettings{Spare: 2, Ratio: 0.5, Window: 1000}, 1000, 4},
		"arrivals expired": {RetryBudgetSettings{Spare: 2, Ratio: 0.5, Window: 1000}, 3000, 2},
		"no window":        {RetryBudgetSettings{}, 1000, 10},
	} {
		budget := retryBudget{settings: test.settings}
		allowed := 0
		for range 10 {
			if budget.allows(test.now, arrivals) {
				allowed++
				budget.spend(test.now)
			}
		}
		assert.Equal(t, test.want, allowed, name)
	}
}
