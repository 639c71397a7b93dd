package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestMeanHintIsUnbiasedFromTheStart checks that the first hint has no more weight in the mean than the following
// ones.
func TestMeanHintIsUnbiasedFromTheStart(t *testing.T) {
	h := newHarness(t, testSettings())
	h.submitWithHint(classDefault, 10, 0)
	h.submitWithHint(classDefault, 190, 1)
	mean := h.scheduler.costs.meanHint
	if mean < 99 || mean > 101 {
		t.Fatalf("mean hint %v after 10 and 190, want 100", mean)
	}
}

// TestUnderstatedHintsAreOverriddenByLatency checks that hints of 1 ms for parts that take 100 ms are not used.
// Otherwise warming replicas would be sent far more than their allowance.
func TestUnderstatedHintsAreOverriddenByLatency(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	for range 60 {
		h.submitWithHint(classDefault, 1, 0, 2, 4)
		h.runRound()
		h.advance(120, h.replyAfter(100))
	}
	work := h.scheduler.meanPartWorkMs()
	if work < 50 {
		t.Fatalf("a part that takes 100 ms is expected to take %v ms", work)
	}
}

// TestExpensivePartsAndFirstSamplesDoNotWidenAllowance checks that a part with the cost of ten mean parts needs its
// full work from the quota of a small fleet, and that one fast first sample does not fix the expected work of parts.
func TestExpensivePartsAndFirstSamplesDoNotWidenAllowance(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	r := h.scheduler.replicas.byID[1]
	r.warmup.startedAt = h.now
	h.scheduler.slowStart.settings.InitialCapacity = 0.5
	quota, needed := h.scheduler.warmupQuotaMs(h.now, r, 10)
	if needed != h.scheduler.warmupWorkMs(10) || quota <= 0 {
		t.Fatalf("an expensive part needs %v of a quota of %v, want %v", needed, quota, h.scheduler.warmupWorkMs(10))
	}

	fresh := newHarness(t, testSettings())
	fresh.listFleet(UpdateFull)
	fresh.submit(classDefault, 0)
	fresh.runRound()
	fresh.advance(10, fresh.replyAfter(1))
	for range 60 {
		fresh.submitWithHint(classDefault, 1, 0, 2, 4)
		fresh.runRound()
		fresh.advance(120, fresh.replyAfter(100))
	}
	work := fresh.scheduler.warmupWorkMs(1)
	if work < 50 {
		t.Fatalf("a part that takes 100 ms is expected to take %v ms", work)
	}
}

// TestQueueingTimeIsNotCountedAsWarmupWork checks that congestion, which raises the baseline latency, does not raise
// the expected work of a part. The allowance of a replica that starts meanwhile is counted in the work expected
// before.
func TestQueueingTimeIsNotCountedAsWarmupWork(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	for range 60 {
		h.submitWithHint(classDefault, 20, 0, 2, 4)
		h.runRound()
		h.advance(40, h.replyAfter(30))
	}
	before := h.scheduler.warmupWorkMs(1)
	for range 200 {
		h.submitWithHint(classDefault, 20, 0, 2, 4)
		h.runRound()
		h.advance(120, h.replyAfter(100))
	}
	baseline := h.scheduler.latency.baseline
	after := h.scheduler.warmupWorkMs(1)
	if baseline < 2*before || after > 1.5*before {
		t.Fatalf("baseline %v ms under congestion, work of a part %v ms before and %v ms then", baseline, before, after)
	}
}

// TestCostIsRelativeToMeanHint checks that the cost of a part is its hint divided by the mean hint, within bounds.
// Parts without a usable hint cost 1 and do not change the mean.
func TestCostIsRelativeToMeanHint(t *testing.T) {
	for name, test := range map[string]struct {
		part               Part
		wantCost, wantMean float64
	}{
		"no hint":       {Part{CostHint: 500}, 1, 100},
		"zero hint":     {Part{HasCostHint: true}, 1, 100},
		"negative hint": {Part{CostHint: -1, HasCostHint: true}, 1, 100},
		"absurd hint":   {Part{CostHint: maxCostHint, HasCostHint: true}, 1, 100},
		"twice":         {Part{CostHint: 200, HasCostHint: true}, 200 / 100.2, 100.2},
		"tiny":          {Part{CostHint: 1, HasCostHint: true}, minPartCost, 100 - 99*hintGain},
		"huge":          {Part{CostHint: 1e6, HasCostHint: true}, maxPartCost, 100 + 999900*hintGain},
	} {
		costs := costModel{meanHint: 100, hintCount: 1e6}
		assert.InDelta(t, test.wantCost, costs.costOf(&test.part), 1e-9, name)
		assert.InDelta(t, test.wantMean, costs.meanHint, 1e-9, name)
	}
}
