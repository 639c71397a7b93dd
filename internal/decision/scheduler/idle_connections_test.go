package scheduler

import (
	"strings"
	"testing"
)

// Connections dropped while idle: a reset at once is not the replica's fault, the part is tried again at once, and
// later sends on idle connections close them first. The replica stays in use and is not taken for cold.
func TestResetOfIdleConnectionDoesNotBlameReplica(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	for id := uint32(1); id <= 6; id++ { // every connection has carried something
		h.scheduler.replicas.byID[id].lastUsedAt = h.now
	}
	h.advance(3000, nil)
	q := h.submit(0, 0)
	h.runRound()
	first := h.inFlight[0]
	h.advance(5, nil)
	h.endAttempt(first, ConnectionReset)
	h.runRound()
	if len(h.inFlight) != 1 {
		t.Fatalf("%d attempts out after the reset, 1 wanted", len(h.inFlight))
	}
	if r := h.scheduler.replicas.byID[first.replica]; !h.scheduler.isHealthy(h.now, r) || r.outliers.isLost {
		t.Fatal("the replica is blamed for its idle connection")
	}
	h.advance(200, h.replyAfter(90))
	h.requireEnd(q, "answer")
	h.advance(2000, nil)
	h.submit(2, 1)
	h.runRound()
	drops := 0
	for _, l := range h.log {
		if strings.Contains(l, " close ") {
			drops++
		}
	}
	if drops == 0 {
		t.Fatal("an unsafe part went out on a doubtful connection")
	}
}

// Parts that go out beside one on a connection that was idle share its fate: their resets are not the replica's.
func TestConcurrentAttemptsShareIdleConnection(t *testing.T) {
	settings := testSettings()
	settings.CellsPerShard, settings.MaxPartsPerCall, settings.BrokerCount = 1, 1, 40
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.scheduler.replicas.byID[1].lastUsedAt = h.now
	h.advance(3000, nil)
	q := h.submit(0, 0)
	h.runRound()
	h.submit(0, 0)
	h.runRound()
	for _, a := range append([]*sentAttempt(nil), h.inFlight...) {
		h.endAttempt(a, ConnectionReset)
	}
	if r := h.scheduler.replicas.byID[1]; r.outliers.isLost || !h.scheduler.isHealthy(h.now, r) {
		t.Fatal("the replica is blamed for a second part on its idle connection")
	}
	h.runRound()
	h.advance(300, h.replyAfter(90))
	h.requireEnd(q, "answer")
}

// Connections dropped in silence: parts on idle ones hang. Two in a row close idle connections before later sends, and the
// replicas stay in use; dials that then time out end that, as new connections are dear.
func TestSilentIdleConnectionLossIsDetected(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	drops := func() (n int) {
		for _, l := range h.log {
			if strings.Contains(l, " close ") {
				n++
			}
		}
		return n
	}
	for i := 0; i < 6; i++ {
		for id := uint32(1); id <= 6; id++ {
			h.scheduler.replicas.byID[id].lastUsedAt = h.now
		}
		h.advance(3000, nil)
		h.submit(0, i)
		h.runRound()
		h.advance(1500, func(a *sentAttempt) { // what goes out on an idle connection hangs, copies and closed ones do not
			if h.now >= a.sentAt+90 && (drops() > 0 || a.number > 0) {
				h.endAttempt(a, Succeeded)
			}
		})
	}
	if drops() == 0 {
		t.Fatal("idle connections that hang are never closed")
	}
	h.advance(4000, nil)
	for _, r := range h.scheduler.replicas.ordered {
		if !h.scheduler.isHealthy(h.now, r) {
			t.Errorf("replica %d is still a suspect", r.Replica)
		}
	}
	for i := 0; i < 3 && len(h.scheduler.replicas.ordered) > 0; i++ {
		h.submit(0, i)
		h.runRound()
		h.advance(250, nil)
		for _, a := range append([]*sentAttempt(nil), h.inFlight...) {
			h.endAttempt(a, ConnectFailed)
		}
	}
	if h.scheduler.idle.areUnsafe(h.now) {
		t.Error("idle connections are still closed though new ones cannot be had")
	}
}

// TestStalledReplicasAreNotIdleConnectionLoss: a co-ordinator that meets each of 60 replicas every other second does so on
// connections that have been idle. Nine that hang are no sign that these are dropped; all that hang are.
func TestStalledReplicasAreNotIdleConnectionLoss(t *testing.T) {
	for _, c := range []struct {
		hung  uint32
		drops bool
	}{{9, false}, {60, true}} {
		settings := testSettings()
		settings.BrokerCount, settings.Cells, settings.Shards, settings.AllowHedging = 80, 60, 60, false
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		for i := range 30 {
			var shards []int
			for j := range 24 {
				shards = append(shards, (i*13+j)%60)
			}
			h.submit(0, shards...)
			h.runRound()
			bad := func(a *sentAttempt) bool { return i >= 10 && a.replica <= c.hung }
			h.advance(600, func(a *sentAttempt) {
				if h.now >= a.sentAt+20 && !bad(a) {
					h.endAttempt(a, Succeeded)
				}
			})
		}
		dropped := 0
		for _, l := range h.log {
			if strings.Contains(l, " close ") {
				dropped++
			}
		}
		if (dropped > 0) != c.drops {
			t.Errorf("%d of 60 hang: %d times closed", c.hung, dropped)
		}
	}
}
