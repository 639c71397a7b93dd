package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// useAllConnections marks the connections to replicas 1 to 6 as last used now.
func (h *harness) useAllConnections() {
	for id := uint32(1); id <= 6; id++ {
		h.scheduler.replicas.byID[id].lastUsedAt = h.now
	}
}

// TestResetOfIdleConnectionDoesNotBlameReplica checks that an immediate reset of an idle connection does not count
// against its replica and that the part is retried at once. Idle connections are closed before later attempts, so
// that no non-idempotent part is lost with one.
func TestResetOfIdleConnectionDoesNotBlameReplica(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.useAllConnections()
	h.advance(3000, nil)
	q := h.submit(classDefault, 0)
	h.runRound()
	first := h.inFlight[0]
	h.advance(5, nil)
	h.endAttempt(first, ConnectionReset)
	h.runRound()
	if len(h.inFlight) != 1 {
		t.Fatalf("%d attempts in flight after the reset, want 1", len(h.inFlight))
	}
	r := h.scheduler.replicas.byID[first.replica]
	if !h.scheduler.isHealthy(h.now, r) || r.outliers.isUnreachable {
		t.Fatal("the replica is blamed for the reset of its idle connection")
	}
	h.advance(200, h.replyAfter(90))
	h.requireEnd(q, endAnswer)
	h.advance(2000, nil)
	h.submit(classNonIdempotent, 1)
	h.runRound()
	if h.countIdleCloses() == 0 {
		t.Fatal("a non-idempotent part was sent on an idle connection that may be lost")
	}
}

// TestConcurrentAttemptsShareIdleConnection checks that an attempt that joins another one on an idle connection
// counts as lost with that connection: its reset is not blamed on the replica either.
func TestConcurrentAttemptsShareIdleConnection(t *testing.T) {
	settings := testSettings()
	settings.CellsPerShard = 1
	settings.MaxPartsPerCall = 1
	settings.BrokerCount = 40
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.scheduler.replicas.byID[1].lastUsedAt = h.now
	h.advance(3000, nil)
	q := h.submit(classDefault, 0)
	h.runRound()
	h.submit(classDefault, 0)
	h.runRound()
	for _, a := range append([]*sentAttempt(nil), h.inFlight...) {
		h.endAttempt(a, ConnectionReset)
	}
	r := h.scheduler.replicas.byID[1]
	if r.outliers.isUnreachable || !h.scheduler.isHealthy(h.now, r) {
		t.Fatal("the replica is blamed for the reset of a second attempt on its idle connection")
	}
	h.runRound()
	h.advance(300, h.replyAfter(90))
	h.requireEnd(q, endAnswer)
}

// TestSilentIdleConnectionLossIsDetected checks idle connections that were dropped without notice, so that attempts
// on them stall. They are closed before later attempts, and the replicas stay healthy. Once dials time out, idle
// connections are no longer closed, as new ones are expensive.
func TestSilentIdleConnectionLossIsDetected(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	for i := range 6 {
		h.useAllConnections()
		h.advance(3000, nil)
		h.submit(classDefault, i)
		h.runRound()
		// Attempts on idle connections stall. Retries do not, nor do any attempts once idle connections are closed.
		h.advance(1500, func(a *sentAttempt) {
			if h.now >= a.sentAt+90 && (h.countIdleCloses() > 0 || a.number > 0) {
				h.endAttempt(a, Succeeded)
			}
		})
	}
	if h.countIdleCloses() == 0 {
		t.Fatal("idle connections on which attempts stall are never closed")
	}
	h.advance(4000, nil)
	for _, r := range h.scheduler.replicas.ordered {
		if !h.scheduler.isHealthy(h.now, r) {
			t.Errorf("replica %d is still an outlier", r.Replica)
		}
	}
	for i := 0; i < 3 && len(h.scheduler.replicas.ordered) > 0; i++ {
		h.submit(classDefault, i)
		h.runRound()
		h.advance(250, nil)
		for _, a := range append([]*sentAttempt(nil), h.inFlight...) {
			h.endAttempt(a, ConnectFailed)
		}
	}
	if h.scheduler.idle.shouldClose(h.now) {
		t.Error("idle connections are still closed although new ones cannot be made")
	}
}

// TestStalledReplicasAreNotIdleConnectionLoss checks a broker with 60 replicas, whose connections to each of them are
// mostly idle before an attempt. It does not mistake a few stalled replicas for lost connections, but closes idle
// connections if attempts at all replicas stall.
func TestStalledReplicasAreNotIdleConnectionLoss(t *testing.T) {
	for _, test := range []struct {
		stalled    uint32 // of 60 replicas
		wantCloses bool
	}{
		{9, false},
		{60, true},
	} {
		settings := testSettings()
		settings.BrokerCount = 80
		settings.Cells = 60
		settings.Shards = 60
		settings.AllowHedging = false
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		for i := range 30 {
			var shards []int
			for j := range 24 {
				shards = append(shards, (i*13+j)%60)
			}
			h.submit(classDefault, shards...)
			h.runRound()
			h.advance(600, func(a *sentAttempt) {
				isStalled := i >= 10 && a.replica <= test.stalled
				if !isStalled {
					h.replyAfter(20)(a)
				}
			})
		}
		closes := h.countIdleCloses()
		if (closes > 0) != test.wantCloses {
			t.Errorf("%d of 60 replicas stalled: idle connections closed %d times", test.stalled, closes)
		}
	}
}

// TestIdleConnectionLossRate checks how the ends of attempts change the loss rate, and from which rate the connection
// is blamed and not the replica.
func TestIdleConnectionLossRate(t *testing.T) {
	const idle, busy = idleConnectionMinMs, 0.0
	for name, test := range map[string]struct {
		before, idleMs       float64
		outcome              Outcome
		hasReset, hasStalled bool
		replicas             int
		wantRate             float64
		wantBlamed           bool
	}{
		"reset in use":               {0, busy, ConnectionReset, true, false, 6, 0, false},
		"reset on idle":              {0, idle, ConnectionReset, true, false, 6, 1, true},
		"reset on idle, large fleet": {0, idle, ConnectionReset, true, false, 99, 0.04, false},
		"stall on idle":              {0, idle, TimedOut, false, true, 6, 0.3, false},
		"second stall on idle":       {0.3, idle, TimedOut, false, true, 6, 0.51, true},
		"stall in use":               {0.4, busy, TimedOut, false, true, 6, 0.28, false},
		"success on idle":            {0.4, idle, Succeeded, false, false, 6, 0.28, false},
		"success in use":             {0.4, busy, Succeeded, false, false, 6, 0.4, false},
	} {
		connections := idleConnections{lossRate: decayingAverage{at: 1000, value: test.before}}
		a := &attempt{replica: &replica{}, idleMs: test.idleMs}
		blamed := connections.observe(1000, a, test.outcome, test.hasReset, test.hasStalled, test.replicas)
		assert.Equal(t, test.wantBlamed, blamed, name)
		assert.InDelta(t, test.wantRate, connections.lossRate.value, 1e-9, name)
	}
}
