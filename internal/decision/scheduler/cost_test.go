package scheduler

import "testing"

// The mean hint does not lean on the very first one.
func TestMeanHintIsUnbiasedFromTheStart(t *testing.T) {
	h := newHarness(t, testSettings())
	h.submitWithHint(0, 10, 0)
	h.submitWithHint(0, 190, 1)
	if h.scheduler.costs.meanHint < 99 || h.scheduler.costs.meanHint > 101 {
		t.Fatalf("mean hint %v of 10 and 190", h.scheduler.costs.meanHint)
	}
}

func TestUnderstatedHintsYieldToMeasuredLatency(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	for range 60 { // hints say 1 ms, the parts take 100
		h.submitWithHint(0, 1, 0, 2, 4)
		h.runRound()
		h.advance(120, h.replyAfter(100))
	}
	if w := h.scheduler.meanPartWorkMs(); w < 50 {
		t.Fatalf("a part of 100 ms is taken for %v ms", w)
	}
}

// TestExpensivePartsAndFirstSamplesDoNotWidenAllowance: few peers share by work, so a part of ten mean parts is
// counted whole; and one quick sample is not what parts take from then on.
func TestExpensivePartsAndFirstSamplesDoNotWidenAllowance(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	r := h.scheduler.replicas.byID[1]
	r.warmup.startedAt = h.now
	h.scheduler.settings.SlowStart.InitialCapacity = 0.5
	if left, need := h.scheduler.warmupQuotaMs(h.now, r, 10); need != h.scheduler.warmupWorkMs(10) || left <= 0 {
		t.Fatalf("a dear part needs %v of %v", need, left)
	}
	fresh := newHarness(t, testSettings())
	fresh.listFleet(UpdateFull)
	fresh.submit(0, 0)
	fresh.runRound()
	fresh.advance(10, fresh.replyAfter(1))
	for range 60 {
		fresh.submitWithHint(0, 1, 0, 2, 4)
		fresh.runRound()
		fresh.advance(120, fresh.replyAfter(100))
	}
	if w := fresh.scheduler.warmupWorkMs(1); w < 50 {
		t.Fatalf("a part of 100 ms is taken for %v ms", w)
	}
}

// TestQueueingTimeIsNotCountedAsWarmupWork: a jam makes usual latencies several times as long, and the parts no dearer: the allowance of
// a replica that starts meanwhile is counted in what they took before.
func TestQueueingTimeIsNotCountedAsWarmupWork(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	for range 60 {
		h.submitWithHint(0, 20, 0, 2, 4)
		h.runRound()
		h.advance(40, h.replyAfter(30))
	}
	calm := h.scheduler.warmupWorkMs(1)
	for range 200 {
		h.submitWithHint(0, 20, 0, 2, 4)
		h.runRound()
		h.advance(120, h.replyAfter(100))
	}
	if h.scheduler.latency.baseline < 2*calm || h.scheduler.warmupWorkMs(1) > 1.5*calm {
		t.Fatalf("usual %v ms in a jam, parts are taken for %v and then %v ms", h.scheduler.latency.baseline, calm, h.scheduler.warmupWorkMs(1))
	}
}
