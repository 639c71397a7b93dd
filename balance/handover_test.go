package balance

import "testing"

// TestHandOverKeepsOneShare: a process hands over to one that started beside it; between them the cold
// replica gets no more in any window than one process alone would give it, none from the old one after the
// hand-over, and the new one uses it in its first window, which a start alone would not.
func TestHandOverKeepsOneShare(t *testing.T) {
	s := settings()
	s.Cells, s.Shards, s.Reach = 1, 1, 1
	start := 0.0
	cold := func(g *rig) {
		if start == 0 {
			start = g.now - 2000
		}
		g.list(ListCached, Entry{Replica: 1, State: Ready, ReadyAt: start}, Entry{Replica: 2, State: Ready})
	}
	drive := func(g *rig, ms float64) {
		for range int(ms / 50) {
			for range 6 {
				g.query(0, 0) // more than the cold share takes: it binds
			}
			g.turn()
			g.pass(50, g.after(100))
		}
	}
	alone := newRig(t, s)
	cold(alone)
	drive(alone, 4000)
	most := windowMost(alone.sends, s.FallFor)
	start = 0

	old, next := newRig(t, s), newRig(t, s)
	cold(old)
	drive(old, 3000)
	next.now = old.now
	cold(next)
	sent := old.b.HandOver(old.now)
	before := len(old.sends)
	next.b.TakeOver(next.now, sent)
	taken := next.now
	for range 20 {
		drive(old, 50)
		drive(next, 50)
	}
	for _, a := range old.sends[before:] {
		if a.replica == 1 {
			t.Fatalf("the old process sent to the cold replica after it handed over, at %v", a.at)
		}
	}
	both := append(append([]*rigSend(nil), old.sends...), next.sends...)
	if got := windowMost(both, s.FallFor); got > most {
		t.Fatalf("%d parts in a window to the cold replica from both, one process alone gives %d", got, most)
	}
	first := 0
	for _, a := range next.sends {
		if a.replica == 1 && a.at < taken+s.FallFor {
			first++
		}
	}
	if first == 0 {
		t.Fatal("the new process waits out its first window all the same")
	}
}

// windowMost is the most parts sent to replica 1 within any window of that many ms.
func windowMost(sends []*rigSend, window float64) (most int) {
	for _, a := range sends {
		n := 0
		for _, b := range sends {
			if a.replica == 1 && b.replica == 1 && b.at >= a.at && b.at < a.at+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
