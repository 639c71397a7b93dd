package scheduler

import "testing"

// TestHandOverSharesOneQuota: a process hands over to one that started beside it; between them the cold
// replica gets no more in any window than one process alone would give it, none from the old one after the
// hand-over, and the new one uses it in its first window, which a start alone would not.
func TestHandOverSharesOneQuota(t *testing.T) {
	settings := testSettings()
	settings.Cells, settings.Shards, settings.CellsPerShard = 1, 1, 1
	start := 0.0
	cold := func(h *harness) {
		if start == 0 {
			start = h.now - 2000
		}
		h.updateEndpoints(UpdateCached, Endpoint{Replica: 1, State: Ready, StartedAt: start}, Endpoint{Replica: 2, State: Ready})
	}
	drive := func(h *harness, ms float64) {
		for range int(ms / 50) {
			for range 6 {
				h.submit(0, 0) // more than the cold share takes: it binds
			}
			h.runRound()
			h.advance(50, h.replyAfter(100))
		}
	}
	alone := newHarness(t, settings)
	cold(alone)
	drive(alone, 4000)
	most := peakWindowCount(alone.sent, settings.SlowStart.Window)
	start = 0

	old, next := newHarness(t, settings), newHarness(t, settings)
	cold(old)
	drive(old, 3000)
	next.now = old.now
	cold(next)
	sent := old.scheduler.HandOver(old.now)
	before := len(old.sent)
	next.scheduler.TakeOver(next.now, sent)
	taken := next.now
	for range 20 {
		drive(old, 50)
		drive(next, 50)
	}
	for _, a := range old.sent[before:] {
		if a.replica == 1 {
			t.Fatalf("the old process sent to the cold replica after it handed over, at %v", a.sentAt)
		}
	}
	both := append(append([]*sentAttempt(nil), old.sent...), next.sent...)
	if got := peakWindowCount(both, settings.SlowStart.Window); got > most {
		t.Fatalf("%d parts in a window to the cold replica from both, one process alone gives %d", got, most)
	}
	first := 0
	for _, a := range next.sent {
		if a.replica == 1 && a.sentAt < taken+settings.SlowStart.Window {
			first++
		}
	}
	if first == 0 {
		t.Fatal("the new process waits out its first window all the same")
	}
}

// peakWindowCount is the most parts sent to replica 1 within any window of that many ms.
func peakWindowCount(sends []*sentAttempt, window float64) int {
	return peakWindowCountAt(sends, 1, window)
}

func peakWindowCountAt(sends []*sentAttempt, to uint32, window float64) (most int) {
	for _, a := range sends {
		n := 0
		for _, b := range sends {
			if a.replica == to && b.replica == to && b.sentAt >= a.sentAt && b.sentAt < a.sentAt+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestConcurrentProcessesShareOneQuota: a replica is suspended at two processes of one aggregator, restarts meanwhile and is
// resumed while cold. As long as the new process is told that the old one serves beside it, the two send it in no window more
// than one alone would; it is used within 5 s; and once the old one is gone, or has handed over, by the new one.
func TestConcurrentProcessesShareOneQuota(t *testing.T) {
	for _, handed := range []bool{false, true} {
		settings := testSettings()
		settings.Cells, settings.Shards, settings.CellsPerShard = 1, 1, 1
		drive := func(ms float64, sharing bool, gs ...*harness) {
			for range int(ms / 50) {
				for i, h := range gs {
					if sharing && i == 1 {
						h.scheduler.OtherProcessActive(h.now)
					}
					for range 6 {
						h.submit(0, 0)
					}
					h.runRound()
					h.advance(50, h.replyAfter(100))
				}
			}
		}
		list := func(state ReplicaState, start float64, gs ...*harness) {
			for _, h := range gs {
				h.updateEndpoints(UpdateFull, Endpoint{Replica: 1, State: state, StartedAt: start}, Endpoint{Replica: 2, State: Ready})
			}
		}
		alone, old, next := newHarness(t, settings), newHarness(t, settings), newHarness(t, settings)
		list(Ready, 0, alone, old)
		drive(2000, false, alone)
		drive(2000, false, old)
		next.now = old.now
		list(Draining, 0, alone, old, next) // suspended at both
		drive(3000, false, alone)
		drive(3000, true, old, next)
		start := old.now - 500 // it has restarted
		list(Ready, start, alone, old, next)
		for _, h := range []*harness{alone, old, next} {
			h.sent = nil
		}
		drive(4000, false, alone)
		drive(4000, true, old, next)
		most, got := peakWindowCount(alone.sent, settings.SlowStart.Window), peakWindowCount(append(old.sent, next.sent...), settings.SlowStart.Window)
		if got > most || got == 0 {
			t.Fatalf("%d parts in a window to the cold replica from both, one process alone gives %d", got, most)
		}
		if handed {
			next.scheduler.TakeOver(next.now, old.scheduler.HandOver(old.now))
		}
		next.sent = nil
		drive(2*settings.SlowStart.Window, false, next)
		if peakWindowCount(next.sent, settings.SlowStart.Window) == 0 {
			t.Fatalf("the new process does not use the replica, handed over %v", handed)
		}
	}
}
