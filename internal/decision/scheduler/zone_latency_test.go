package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// newTwoZoneHarness returns the harness of one of 40 brokers, in zone 2, with 200 replicas of equal speed in zones 0
// and 1. Each of ten shards has ten replicas in each zone.
func newTwoZoneHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	settings.BrokerCount = 40
	settings.Shards = 10
	settings.Cells = 10
	settings.CellsPerShard = 1
	settings.LocalZone = 2
	h := newHarness(t, settings)
	var endpoints []Endpoint
	for i := range uint32(200) {
		endpoints = append(endpoints, Endpoint{Replica: i + 1, Cell: int(i % 10), Zone: int(i/10) % 2, State: Ready})
	}
	h.updateEndpoints(UpdateFull, endpoints...)
	h.runRound()
	return h
}

func isInZone1(a *sentAttempt) bool { return (a.replica-1)/10%2 == 1 }

// sentToZone1 submits queries of two parts at an interval and returns the number of attempts sent to zone 1.
func (h *harness) sentToZone1(queries int, intervalMs float64, reply func(*sentAttempt)) int {
	before := len(h.sent)
	for i := range queries {
		h.submit(classDefault, i%10, (i+3)%10)
		h.runRound()
		h.advance(intervalMs, reply)
	}
	sent := 0
	for _, a := range h.sent[before:] {
		if isInZone1(a) {
			sent++
		}
	}
	return sent
}

// TestSlowZoneIsAvoidedAndReadmitted checks that a slow network path to a zone is distinguished from slow replicas.
// All replicas of the zone are avoided within seconds, although each of them was sent only a few parts, and used
// again once the path is fast.
func TestSlowZoneIsAvoidedAndReadmitted(t *testing.T) {
	h := newTwoZoneHarness(t, testSettings())
	replyWithZone1 := func(ms float64) func(*sentAttempt) {
		return func(a *sentAttempt) {
			if h.now >= a.sentAt+100 && !isInZone1(a) || h.now >= a.sentAt+ms {
				h.endAttempt(a, Succeeded)
			}
		}
	}
	h.sentToZone1(100, 50, replyWithZone1(110))
	h.sentToZone1(60, 50, replyWithZone1(700)) // 3 s: about one part for every tenth replica of the zone
	sent := h.sentToZone1(60, 50, replyWithZone1(700))
	if sent > 10 {
		t.Fatalf("%d of 120 parts sent to the slow zone, want 10 at most", sent)
	}
	h.sentToZone1(600, 50, replyWithZone1(110))
	sent = h.sentToZone1(60, 50, replyWithZone1(110))
	if sent < 12 {
		t.Fatalf("%d of 120 parts sent to the zone after its recovery, want 12 at least", sent)
	}
}

// TestStalledReplicaDoesNotSlowItsZone checks that the late answers of one stalled replica count only once for its
// zone, as they say nothing about the other replicas there.
func TestStalledReplicaDoesNotSlowItsZone(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	zones := &h.scheduler.zones
	r := h.scheduler.replicas.byID[3]
	for range 40 {
		zones.observe(h.now, r, 30)
	}
	latency := zones.latency(h.now, r.Zone)
	if latency > 1.2 || !r.outliers.isCountedAsSlow {
		t.Fatalf("zone latency %v after 40 late answers of one replica, want 1.2 at most", latency)
	}
	zones.observe(h.now, r, 1)
	if r.outliers.isCountedAsSlow {
		t.Fatal("the replica still counts as slow after a normal answer")
	}
}

// TestUnresponsiveZoneIsAvoidedBeforeTimeouts checks that a zone that no longer responds is detected by its late
// attempts, long before attempts time out.
func TestUnresponsiveZoneIsAvoidedBeforeTimeouts(t *testing.T) {
	settings := testSettings()
	settings.Classes[classDefault].LatencyObjective = 2900
	settings.Classes[classDefault].Deadline = 3000
	settings.AllowHedging = false
	h := newTwoZoneHarness(t, settings)
	replyFromZone0 := func(a *sentAttempt) {
		if !isInZone1(a) {
			h.replyAfter(100)(a)
		}
	}
	h.sentToZone1(200, 25, h.replyAfter(100))
	sentAtFirst := h.sentToZone1(30, 25, replyFromZone0) // less than a second
	sent := h.sentToZone1(30, 25, replyFromZone0)
	if sentAtFirst < 8 || sent > sentAtFirst/3 {
		t.Fatalf("%d parts sent to the unresponsive zone at first, then %d", sentAtFirst, sent)
	}
}

// TestZoneLatencyIsMedianOverReplicas checks that each slow replica raises its zone's latency by one step once, that
// faster answers lower it again, but not below 1, and that the best latency of all zones is updated.
func TestZoneLatencyIsMedianOverReplicas(t *testing.T) {
	zones := newZoneLatencies()
	slow := &replica{}
	other := &replica{}
	wants := []float64{1.05, 1.05, 1.1025, 1.047375, 1, 1}
	for i, r := range []*replica{slow, slow, other, other, other, other} {
		normalized := 10.0
		if i >= 3 {
			normalized = 0.9
		}
		zones.observe(1000, r, normalized)
		assert.InDelta(t, wants[i], zones.latency(1000, 0), 1e-9, "answer %d", i)
	}
	zones.observe(1000, &replica{Endpoint: Endpoint{Zone: 1}}, 10)
	assert.InDelta(t, 1, zones.bestLatency, 1e-9)
}
