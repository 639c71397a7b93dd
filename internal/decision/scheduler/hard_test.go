package scheduler

import "testing"

// TestNoHolderListed: what the list names no holder for is refused at once, with advice when to come back; where
// enough of a query is held, it is answered in part as ever.
func TestNoHolderListed(t *testing.T) {
	g := newRig(t, settings())
	g.list(UpdateFull, Endpoint{Replica: 4, Cell: 3, State: Ready})
	q := g.query(0, 0)
	g.turn()
	g.mustEnd(q, "refuse")
	if q.finished != g.now || g.refused[q.q.ID] <= 0 || len(g.sends) > 0 {
		t.Fatalf("refused at %v of %v, come back after %v", q.finished, g.now, g.refused[q.q.ID])
	}
	half := g.query(1, 0, 3)
	g.turn()
	g.pass(3500, g.after(20))
	if g.mustEnd(half, "answer"); half.whole {
		t.Fatal("marked whole")
	}
}

// TestTwoThirdsOfTheListReplacedAtOnce: one answer names other machines in the place of four of six; what was out
// at the old ones and what comes next is answered, by the new ones too.
func TestTwoThirdsOfTheListReplacedAtOnce(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var qs []*rigQuery
	for i := range 4 {
		qs = append(qs, g.query(0, i, i+1, i+2))
	}
	g.turn()
	es := []Endpoint{{Replica: 5, Cell: 4, State: Ready}, {Replica: 6, Cell: 5, State: Ready}}
	for i := range 4 {
		es = append(es, Endpoint{Replica: uint32(101 + i), Cell: i, State: Ready, StartedAt: g.now - 100})
	}
	g.list(UpdateFull, es...)
	old := len(g.sends)
	g.pass(100, g.after(20))
	for i := range 100 {
		qs = append(qs, g.query(0, i%6))
		g.turn()
		g.pass(30, g.after(20))
	}
	g.pass(200, g.after(20))
	used := map[uint32]bool{}
	for _, a := range g.sends[old:] {
		if used[a.replica] = true; a.replica <= 4 && a.at > 1e6+g.s.DrainGrace+1e5 {
			t.Fatalf("sent to %d, which is gone", a.replica)
		}
	}
	for _, q := range qs {
		g.mustEnd(q, "answer")
	}
	for id := uint32(101); id <= 104; id++ {
		if !used[id] {
			t.Errorf("replica %d is never used", id)
		}
	}
}

// A part that others have overtaken is stuck by itself: it takes no room of its replica, whose next part then shows
// whether the replica stands.
func TestWhatIsPassedTakesNoRoom(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	r := g.b.replicas.byID[3]
	stuck := &attempt{part: &part{cost: 2}, replica: r, call: &callInFlight{partsInFlight: 1, cost: 2}, sentAt: g.now - 50, limitCost: 2}
	next := &attempt{part: &part{query: &query{class: &g.s.Classes[0]}, cost: 1}, replica: r, call: &callInFlight{partsInFlight: 1, cost: 1},
		sentAt: g.now - 10, limitCost: 1}
	r.inFlight, r.limit.inFlight = []*attempt{stuck, next}, 3
	g.b.learn(g.now, next, AttemptResult{Outcome: Succeeded, Latency: 60})
	if r.limit.inFlight != 1 || !stuck.overtaken || stuck.limitCost != 0 {
		t.Fatalf("load %v, passed %v", r.limit.inFlight, stuck.overtaken)
	}
	g.b.learn(g.now, next, AttemptResult{Outcome: Succeeded, Latency: 60})
	if r.limit.inFlight != 1 {
		t.Fatalf("it is taken off twice: load %v", r.limit.inFlight)
	}
}
