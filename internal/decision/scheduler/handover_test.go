package scheduler

import "testing"

// TestHandOverKeepsOneShare: a process hands over to one that started beside it; between them the cold
// replica gets no more in any window than one process alone would give it, none from the old one after the
// hand-over, and the new one uses it in its first window, which a start alone would not.
func TestHandOverKeepsOneShare(t *testing.T) {
	s := settings()
	s.Cells, s.Shards, s.CellsPerShard = 1, 1, 1
	start := 0.0
	cold := func(g *rig) {
		if start == 0 {
			start = g.now - 2000
		}
		g.list(UpdateCached, Endpoint{Replica: 1, State: Ready, StartedAt: start}, Endpoint{Replica: 2, State: Ready})
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
	most := windowMost(alone.sends, s.SlowStart.Window)
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
	if got := windowMost(both, s.SlowStart.Window); got > most {
		t.Fatalf("%d parts in a window to the cold replica from both, one process alone gives %d", got, most)
	}
	first := 0
	for _, a := range next.sends {
		if a.replica == 1 && a.at < taken+s.SlowStart.Window {
			first++
		}
	}
	if first == 0 {
		t.Fatal("the new process waits out its first window all the same")
	}
}

// windowMost is the most parts sent to replica 1 within any window of that many ms.
func windowMost(sends []*rigSend, window float64) int { return windowMostTo(sends, 1, window) }

func windowMostTo(sends []*rigSend, to uint32, window float64) (most int) {
	for _, a := range sends {
		n := 0
		for _, b := range sends {
			if a.replica == to && b.replica == to && b.at >= a.at && b.at < a.at+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestProcessesSideBySideKeepOneShare: a replica is suspended at two processes of one aggregator, restarts meanwhile and is
// resumed while cold. As long as the new process is told that the old one serves beside it, the two send it in no window more
// than one alone would; it is used within 5 s; and once the old one is gone, or has handed over, by the new one.
func TestProcessesSideBySideKeepOneShare(t *testing.T) {
	for _, handed := range []bool{false, true} {
		s := settings()
		s.Cells, s.Shards, s.CellsPerShard = 1, 1, 1
		drive := func(ms float64, sharing bool, gs ...*rig) {
			for range int(ms / 50) {
				for i, g := range gs {
					if sharing && i == 1 {
						g.b.OtherProcessActive(g.now)
					}
					for range 6 {
						g.query(0, 0)
					}
					g.turn()
					g.pass(50, g.after(100))
				}
			}
		}
		list := func(state ReplicaState, start float64, gs ...*rig) {
			for _, g := range gs {
				g.list(UpdateFull, Endpoint{Replica: 1, State: state, StartedAt: start}, Endpoint{Replica: 2, State: Ready})
			}
		}
		alone, old, next := newRig(t, s), newRig(t, s), newRig(t, s)
		list(Ready, 0, alone, old)
		drive(2000, false, alone)
		drive(2000, false, old)
		next.now = old.now
		list(Draining, 0, alone, old, next) // suspended at both
		drive(3000, false, alone)
		drive(3000, true, old, next)
		start := old.now - 500 // it has restarted
		list(Ready, start, alone, old, next)
		for _, g := range []*rig{alone, old, next} {
			g.sends = nil
		}
		drive(4000, false, alone)
		drive(4000, true, old, next)
		most, got := windowMost(alone.sends, s.SlowStart.Window), windowMost(append(old.sends, next.sends...), s.SlowStart.Window)
		if got > most || got == 0 {
			t.Fatalf("%d parts in a window to the cold replica from both, one process alone gives %d", got, most)
		}
		if handed {
			next.b.TakeOver(next.now, old.b.HandOver(old.now))
		}
		next.sends = nil
		drive(2*s.SlowStart.Window, false, next)
		if windowMost(next.sends, s.SlowStart.Window) == 0 {
			t.Fatalf("the new process does not use the replica, handed over %v", handed)
		}
	}
}
