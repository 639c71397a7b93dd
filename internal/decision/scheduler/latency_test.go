package scheduler

import "testing"

// The parts of a long query come back sorted by latency: the fastest is not the usual one.
func TestBaselineOfSortedLatencies(t *testing.T) {
	settings := testSettings()
	settings.Shards, settings.RetryBudget.Window, settings.SlowStart.WorkMultiple = 60, 0, 0
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	for i := 0; i < 3; i++ {
		var shards []int
		for k := range 20 {
			shards = append(shards, k)
		}
		h.submit(0, shards...)
		h.runRound()
		for n := 0; len(h.inFlight) > 0; n++ {
			h.now += 5
			h.endAttempt(h.inFlight[0], Succeeded)
		}
		h.runRound()
	}
	if h.scheduler.latency.baseline < 30 || h.scheduler.latency.baseline > 60 { // latencies are 5, 10 ... 100
		t.Fatalf("usual latency %v", h.scheduler.latency.baseline)
	}
}
