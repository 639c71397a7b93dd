package scheduler

import "testing"

// The mean hint does not lean on the very first one.
func TestMeanHintIsAMeanFromTheStart(t *testing.T) {
	g := newRig(t, settings())
	g.hinted(0, 10, 0)
	g.hinted(0, 190, 1)
	if g.b.costs.meanHint < 99 || g.b.costs.meanHint > 101 {
		t.Fatalf("mean hint %v of 10 and 190", g.b.costs.meanHint)
	}
}

func TestUntrueHintsDoNotWidenTheColdAllowance(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	for range 60 { // hints say 1 ms, the parts take 100
		g.hinted(0, 1, 0, 2, 4)
		g.turn()
		g.pass(120, g.after(100))
	}
	if w := g.b.meanPartWorkMs(); w < 50 {
		t.Fatalf("a part of 100 ms is taken for %v ms", w)
	}
}

// TestDearPartsAndFirstSamplesDoNotWidenAColdAllowance: few peers share by work, so a part of ten mean parts is
// counted whole; and one quick sample is not what parts take from then on.
func TestDearPartsAndFirstSamplesDoNotWidenAColdAllowance(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	r := g.b.replicas.byID[1]
	r.warmup.startedAt = g.now
	g.b.settings.SlowStart.InitialCapacity = 0.5
	if left, need := g.b.warmupQuotaMs(g.now, r, 10); need != g.b.warmupWorkMs(10) || left <= 0 {
		t.Fatalf("a dear part needs %v of %v", need, left)
	}
	h := newRig(t, settings())
	h.fleet(UpdateFull)
	h.query(0, 0)
	h.turn()
	h.pass(10, h.after(1))
	for range 60 {
		h.hinted(0, 1, 0, 2, 4)
		h.turn()
		h.pass(120, h.after(100))
	}
	if w := h.b.warmupWorkMs(1); w < 50 {
		t.Fatalf("a part of 100 ms is taken for %v ms", w)
	}
}

// TestWaitingIsNoWork: a jam makes usual latencies several times as long, and the parts no dearer: the allowance of
// a replica that starts meanwhile is counted in what they took before.
func TestWaitingIsNoWork(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	for range 60 {
		g.hinted(0, 20, 0, 2, 4)
		g.turn()
		g.pass(40, g.after(30))
	}
	calm := g.b.warmupWorkMs(1)
	for range 200 {
		g.hinted(0, 20, 0, 2, 4)
		g.turn()
		g.pass(120, g.after(100))
	}
	if g.b.latency.baseline < 2*calm || g.b.warmupWorkMs(1) > 1.5*calm {
		t.Fatalf("usual %v ms in a jam, parts are taken for %v and then %v ms", g.b.latency.baseline, calm, g.b.warmupWorkMs(1))
	}
}
