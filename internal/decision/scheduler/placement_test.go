package scheduler

import "testing"

// What waits at one shard of a set of replicas holds up the others of the set: they are refused as it is.
func TestHeldBySetOfReplicas(t *testing.T) {
	s := settings()
	s.Shards, s.Cells, s.CellsPerShard = 6, 2, 1
	g := newRig(t, s)
	g.b.queues.activate(0, g.now).fifo[0] = []*queuedCall{{}}
	g.b.queues.activate(0, g.now).oldestQueuedAt = g.now - 200
	g.b.noteQueueing(g.now)
	for shard, want := range []float64{200, 0, 200, 0, 200, 0} {
		if held := g.now - g.b.queuedSince(shard, g.now); held != want {
			t.Errorf("shard %d: held %v, want %v", shard, held, want)
		}
	}
}
