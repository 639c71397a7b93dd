package scheduler

import "testing"

func TestOneStuckPartDoesNotBlockItsReplica(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var stuck []*rigSend
	for range 3 { // one unsafe part hangs at each replica of shard 0; no copy may be made of it
		q := g.query(2, 0)
		g.turn()
		stuck = append(stuck, q.parts[0].sends[0])
	}
	answered := 0
	for range 30 {
		q := g.query(0, 0)
		g.turn()
		g.pass(25, func(a *rigSend) {
			if a != stuck[0] && a != stuck[1] && a != stuck[2] && g.now >= a.at+20 {
				g.end(a, Succeeded)
			}
		})
		if q.how == "answer" {
			answered++
		}
	}
	if answered < 28 {
		t.Fatalf("only %d of 30 answered beside three stuck parts", answered)
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

// Among many co-ordinators none has much out: the fleet's level, not parts held, shows overload. The least worth is
// refused first, and all is taken again once latencies are back.
func TestFleetRoomRefusesAmongManyPeersAndOpensAgain(t *testing.T) {
	s := settings()
	s.BrokerCount = 60
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	ask := func(n int, ms float64) (refused int) {
		for i := 0; i < n; i++ {
			was := len(g.refused)
			g.query(0, i%6)
			g.query(0, (i+1)%6)
			g.turn()
			g.pass(50, g.after(ms))
			refused += len(g.refused) - was
		}
		return refused
	}
	if n := ask(40, 90); n != 0 {
		t.Fatalf("%d refused on a sound fleet", n)
	}
	if n := ask(80, 900); n == 0 {
		t.Fatal("nothing refused by a fleet that is ten times slower")
	}
	g.pass(3000, g.after(90))
	ask(40, 90)
	if n := ask(40, 90); n != 0 {
		t.Fatalf("%d still refused after the fleet is sound again", n)
	}
}

// Long queries that end at their aim with a few parts missing waste what was done for them: then fewer are let in, also
// when each co-ordinator has only one at a time; a client in a hurry is no such sign, and sound answers open the door.
func TestWastedLongQueriesCloseTheDoor(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Shards, s.RetryBudget.Window, s.AllowHedging, s.MaxAttempts = 40, 60, 0, false, 1
	s.Classes[0].LateFactor = 0.1
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	ask := func(n int, patience, ms float64, stuck bool) (refused int) {
		for range n {
			was := len(g.refused)
			var shards []int
			for k := range 30 {
				shards = append(shards, k)
			}
			g.query(0, shards...)
			g.turn()
			refused += len(g.refused) - was
			g.pass(patience, func(a *rigSend) {
				if g.now >= a.at+ms && (!stuck || a.part.p.Shard != 7) {
					g.end(a, Succeeded)
				}
			})
		}
		return refused
	}
	if n := ask(20, 300, 100, false); n > 0 {
		t.Fatalf("%d refused on a sound fleet", n)
	}
	ask(30, 300, 350, true)
	if n := ask(30, 300, 350, true); n < 4 {
		t.Fatalf("%d of 30 refused while all end with a part missing", n)
	}
	ask(40, 300, 100, false)
	if n := ask(20, 300, 100, false); n > 0 {
		t.Fatalf("%d refused once the fleet is sound again", n)
	}
}
