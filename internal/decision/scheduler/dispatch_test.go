package scheduler

import "testing"

// TestPartsWithSameReplicasShareOneCall checks that parts of a query with the same replicas are sent together, in a
// call that counts once toward the load of its replica.
func TestPartsWithSameReplicasShareOneCall(t *testing.T) {
	settings := testSettings()
	settings.MaxPartsPerCall = 16
	settings.Shards = 18
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.submit(classDefault, 0, 6, 12)
	h.runRound()
	if len(h.sent) != 3 || h.sent[0].replica != h.sent[1].replica || h.sent[1].replica != h.sent[2].replica {
		t.Fatalf("parts with the same replicas not sent together: %v", h.log)
	}
	r := h.scheduler.replicas.byID[h.sent[0].replica]
	if r.callsInFlight != 1 {
		t.Fatalf("%d calls in flight, want 1", r.callsInFlight)
	}
}
