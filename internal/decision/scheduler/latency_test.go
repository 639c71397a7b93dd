package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestBaselineOfSortedLatencies checks that the baseline is a quantile of all latencies although the parts of a query
// with many parts return in order of latency.
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

// TestBaselineFollowsLowQuantile checks that the baseline is the quantile of the first samples and then moves by a
// small step with each sample. Its floor hardly rises with slow samples and follows the baseline down at once.
func TestBaselineFollowsLowQuantile(t *testing.T) {
	var latency latencyEstimator
	for i := range baselineSamples {
		latency.observeBaseline(float64(i + 1))
	}
	assert.Equal(t, 23.0, latency.baseline) // quantile of 1 to 64
	floor := latency.baselineFloor
	latency.observeBaseline(1000)
	assert.InDelta(t, 23*1.0035, latency.baseline, 1e-9)
	assert.InDelta(t, floor, latency.baselineFloor, 1e-3)
	latency.observeBaseline(1)
	assert.InDelta(t, 23*1.0035*0.9935, latency.baseline, 1e-9)
	assert.Equal(t, latency.baseline, latency.baselineFloor)
}

// TestQueueingLatencyFollowsObjective checks that the latency above which a replica counts as queueing follows from
// the shortest objective and the mean call, within bounds.
func TestQueueingLatencyFollowsObjective(t *testing.T) {
	for baseline, want := range map[float64]float64{10: queueingLatencyMax, 100: 3.3, 1000: queueingLatencyMin} {
		latency := newLatencyEstimator(1000)
		latency.baseline = baseline
		latency.observeCall(0.5, 1)
		assert.InDelta(t, want, latency.queueingLatency, 1e-9, "baseline %v", baseline)
		assert.InDelta(t, 0.5*baseline*meanGain, latency.meanPartBaselineMs, 1e-9, "baseline %v", baseline)
	}
}

// TestFleetMediansMoveByFixedSteps checks that one latency moves the medians by one step however high it is, that
// parts of a query with many parts move the overload median less, and that the medians stay at 1 or above.
func TestFleetMediansMoveByFixedSteps(t *testing.T) {
	for name, test := range map[string]struct {
		before, perCost         float64
		queryParts              int
		wantFleet, wantOverload float64
	}{
		"slow":             {2, 300, 1, 2.1, 2.1},
		"stalled":          {2, 30000, 1, 2.1, 2.1},
		"slow, long query": {2, 300, 15, 2.1, 2.05},
		"fast":             {2, 100, 1, 1.9, 1.9},
		"fast, long query": {2, 100, 15, 1.9, 1.95},
		"at the minimum":   {1, 50, 1, 1, 1},
	} {
		latency := latencyEstimator{baseline: 100, fleetMedian: test.before, overloadMedian: test.before}
		latency.observeFleet(test.perCost, test.queryParts)
		assert.InDelta(t, test.wantFleet, latency.fleetMedian, 1e-9, name)
		assert.InDelta(t, test.wantOverload, latency.overloadMedian, 1e-9, name)
	}
}
