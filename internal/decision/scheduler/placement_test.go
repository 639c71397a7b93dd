package scheduler

import "testing"

// What waits at one shard of a set of replicas holds up the others of the set: they are refused as it is.
func TestQueueingTimeIsSharedWithinPlacementGroup(t *testing.T) {
	settings := testSettings()
	settings.Shards, settings.Cells, settings.CellsPerShard = 6, 2, 1
	h := newHarness(t, settings)
	h.scheduler.queues.activate(0, h.now).fifo[0] = []*queuedCall{{}}
	h.scheduler.queues.activate(0, h.now).oldestQueuedAt = h.now - 200
	h.scheduler.noteQueueing(h.now)
	for shard, want := range []float64{200, 0, 200, 0, 200, 0} {
		if held := h.now - h.scheduler.queuedSince(shard, h.now); held != want {
			t.Errorf("shard %d: held %v, want %v", shard, held, want)
		}
	}
}
