package scheduler

import "testing"

// peakWindowCount returns the largest number of attempts at replica 1 within any window of the given length.
func peakWindowCount(attempts []*sentAttempt, windowMs float64) int {
	return peakWindowCountAt(attempts, 1, windowMs)
}

// peakWindowCountAt returns the same for the given replica.
func peakWindowCountAt(attempts []*sentAttempt, replica uint32, windowMs float64) int {
	peak := 0
	for _, first := range attempts {
		count := 0
		for _, a := range attempts {
			isInWindow := a.sentAt >= first.sentAt && a.sentAt < first.sentAt+windowMs
			if first.replica == replica && a.replica == replica && isInWindow {
				count++
			}
		}
		peak = max(peak, count)
	}
	return peak
}

// handoverSettings returns settings with one shard in one cell. The tests list a warming and a warm replica there.
func handoverSettings() Settings {
	settings := testSettings()
	settings.Cells = 1
	settings.Shards = 1
	settings.CellsPerShard = 1
	return settings
}

// serveBusily submits more work than fits into the quota of a warming replica, so that the quota limits what the
// replica is sent.
func serveBusily(h *harness, ms float64) {
	for range int(ms / 50) {
		for range 6 {
			h.submit(classDefault, 0)
		}
		h.runRound()
		h.advance(50, h.replyAfter(100))
	}
}

// TestHandOverSharesOneQuota checks a handover between two processes of one broker. Together they send a warming
// replica no more in any window than one process would. The old process sends it nothing after the handover. The new
// one uses it in its first window, which it would not after a start without a handover.
func TestHandOverSharesOneQuota(t *testing.T) {
	settings := handoverSettings()
	listReplicas := func(h *harness, startedAt float64) {
		h.updateEndpoints(UpdateCached,
			Endpoint{Replica: 1, State: Ready, StartedAt: startedAt},
			Endpoint{Replica: 2, State: Ready})
	}
	alone := newHarness(t, settings)
	listReplicas(alone, alone.now-2000)
	serveBusily(alone, 4000)
	peakAlone := peakWindowCount(alone.sent, settings.SlowStart.Window)

	old := newHarness(t, settings)
	next := newHarness(t, settings)
	startedAt := old.now - 2000
	listReplicas(old, startedAt)
	serveBusily(old, 3000)
	next.now = old.now
	listReplicas(next, startedAt)
	handedOver := old.scheduler.HandOver(old.now)
	before := len(old.sent)
	next.scheduler.TakeOver(next.now, handedOver)
	tookOverAt := next.now
	for range 20 {
		serveBusily(old, 50)
		serveBusily(next, 50)
	}
	for _, a := range old.sent[before:] {
		if a.replica == 1 {
			t.Fatalf("the old process sent to the warming replica after the handover, at %v", a.sentAt)
		}
	}
	both := append(append([]*sentAttempt(nil), old.sent...), next.sent...)
	peak := peakWindowCount(both, settings.SlowStart.Window)
	if peak > peakAlone {
		t.Fatalf("both processes sent the warming replica %d parts in a window, want at most %d", peak, peakAlone)
	}
	sentInFirstWindow := 0
	for _, a := range next.sent {
		if a.replica == 1 && a.sentAt < tookOverAt+settings.SlowStart.Window {
			sentInFirstWindow++
		}
	}
	if sentInFirstWindow == 0 {
		t.Fatal("the new process sent the warming replica nothing in its first window in spite of the handover")
	}
}

// TestConcurrentProcessesShareOneQuota checks two processes of one broker without a handover. A replica is suspended,
// restarts meanwhile, and is resumed while it is warming up. As long as the new process is informed that the old one
// is active, both together send the replica no more in any window than one process would, but more than nothing. The
// new process uses the replica once the old one has handed over or is gone.
func TestConcurrentProcessesShareOneQuota(t *testing.T) {
	for _, test := range []struct {
		name       string
		handedOver bool
	}{
		{"old process gone", false},
		{"old process handed over", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := handoverSettings()
			serveSideBySide := func(ms float64, old, next *harness) {
				for range int(ms / 50) {
					serveBusily(old, 50)
					next.scheduler.OtherProcessActive(next.now)
					serveBusily(next, 50)
				}
			}
			list := func(state ReplicaState, startedAt float64, processes ...*harness) {
				for _, h := range processes {
					h.updateEndpoints(UpdateFull,
						Endpoint{Replica: 1, State: state, StartedAt: startedAt},
						Endpoint{Replica: 2, State: Ready})
				}
			}
			alone := newHarness(t, settings)
			old := newHarness(t, settings)
			next := newHarness(t, settings)
			list(Ready, 0, alone, old)
			serveBusily(alone, 2000)
			serveBusily(old, 2000)
			next.now = old.now
			list(Draining, 0, alone, old, next) // suspended
			serveBusily(alone, 3000)
			serveSideBySide(3000, old, next)
			restartedAt := old.now - 500
			list(Ready, restartedAt, alone, old, next)
			for _, h := range []*harness{alone, old, next} {
				h.sent = nil
			}
			serveBusily(alone, 4000)
			serveSideBySide(4000, old, next)
			peakAlone := peakWindowCount(alone.sent, settings.SlowStart.Window)
			peak := peakWindowCount(append(old.sent, next.sent...), settings.SlowStart.Window)
			if peak > peakAlone || peak == 0 {
				t.Fatalf("both processes sent the warming replica %d parts in a window, want 1 to %d", peak, peakAlone)
			}
			if test.handedOver {
				next.scheduler.TakeOver(next.now, old.scheduler.HandOver(old.now))
			}
			next.sent = nil
			serveBusily(next, 2*settings.SlowStart.Window)
			if peakWindowCount(next.sent, settings.SlowStart.Window) == 0 {
				t.Fatal("the new process sent the warming replica nothing")
			}
		})
	}
}
