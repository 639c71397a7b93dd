package scheduler

import "testing"

// TestBaselineOfSortedLatencies guarantees that the baseline is a quantile of all latencies although the parts of a
// long query come back sorted by latency, the fastest first.
func TestBaselineOfSortedLatencies(t *testing.T) {
	settings := testSettings()
	settings.Shards = 60
	settings.RetryBudget.Window = 0
	settings.SlowStart.WorkMultiple = 0
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	var shards []int
	for shard := range 20 {
		shards = append(shards, shard)
	}
	for range 3 {
		h.submit(classDefault, shards...)
		h.runRound()
		for len(h.inFlight) > 0 {
			h.now += 5
			h.endAttempt(h.inFlight[0], Succeeded)
		}
		h.runRound()
	}
	baseline := h.scheduler.latency.baseline
	if baseline < 30 || baseline > 60 {
		t.Fatalf("baseline %v ms of latencies 5, 10 ... 100, want 30 to 60", baseline)
	}
}
