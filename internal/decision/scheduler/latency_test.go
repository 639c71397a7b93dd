package scheduler

import "testing"

// The parts of a long query come back sorted by latency: the fastest is not the usual one.
func TestUsualLatencyOfALongQuery(t *testing.T) {
	s := settings()
	s.Shards, s.RetryBudget.Window, s.SlowStart.WorkMultiple = 60, 0, 0
	g := newRig(t, s)
	g.fleet(UpdateFull)
	for i := 0; i < 3; i++ {
		var shards []int
		for k := range 20 {
			shards = append(shards, k)
		}
		g.query(0, shards...)
		g.turn()
		for n := 0; len(g.open) > 0; n++ {
			g.now += 5
			g.end(g.open[0], Succeeded)
		}
		g.turn()
	}
	if g.b.latency.baseline < 30 || g.b.latency.baseline > 60 { // latencies are 5, 10 ... 100
		t.Fatalf("usual latency %v", g.b.latency.baseline)
	}
}
