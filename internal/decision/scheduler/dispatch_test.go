package scheduler

import "testing"

func TestSharedCallCountsOnceAndGoesTogether(t *testing.T) {
	s := settings()
	s.MaxPartsPerCall, s.Shards = 16, 18
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.query(0, 0, 6, 12)
	g.turn()
	if len(g.sends) != 3 || g.sends[0].replica != g.sends[1].replica || g.sends[1].replica != g.sends[2].replica {
		t.Fatalf("parts with the same holders went apart: %v", g.log)
	}
	if r := g.b.replicas.byID[g.sends[0].replica]; r.callsInFlight != 1 {
		t.Fatalf("%d calls counted", r.callsInFlight)
	}
}
