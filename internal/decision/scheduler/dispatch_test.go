package scheduler

import "testing"

func TestPartsWithSameReplicasShareOneCall(t *testing.T) {
	settings := testSettings()
	settings.MaxPartsPerCall, settings.Shards = 16, 18
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.submit(0, 0, 6, 12)
	h.runRound()
	if len(h.sent) != 3 || h.sent[0].replica != h.sent[1].replica || h.sent[1].replica != h.sent[2].replica {
		t.Fatalf("parts with the same holders went apart: %v", h.log)
	}
	if r := h.scheduler.replicas.byID[h.sent[0].replica]; r.callsInFlight != 1 {
		t.Fatalf("%d calls counted", r.callsInFlight)
	}
}
