package scheduler

import "testing"

// TestQueueingTimeIsSharedWithinPlacementGroup checks that a call queued at one shard counts as the wait at the other
// shards with the same replicas, and not at shards with other replicas.
func TestQueueingTimeIsSharedWithinPlacementGroup(t *testing.T) {
	settings := testSettings()
	settings.Shards = 6
	settings.Cells = 2
	settings.CellsPerShard = 1
	h := newHarness(t, settings)
	h.scheduler.queues.activate(0, h.now).fifo[0] = []*queuedCall{{}}
	h.scheduler.queues.activate(0, h.now).oldestQueuedAt = h.now - 200
	h.scheduler.updateOldestQueued(h.now)
	for shard, want := range []float64{200, 0, 200, 0, 200, 0} {
		got := h.now - h.scheduler.oldestQueuedAtReplicasOf(shard, h.now)
		if got != want {
			t.Errorf("shard %d: queued for %v ms, want %v", shard, got, want)
		}
	}
}
