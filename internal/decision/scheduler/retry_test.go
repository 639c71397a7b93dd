package scheduler

import "testing"

func TestEffects(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	q := g.query(2, 0)
	g.turn()
	g.now += 5
	g.end(g.open[0], ConnectFailed) // never ran: may go again
	g.turn()
	if n := len(q.parts[0].sends); n != 2 {
		t.Fatalf("%d attempts after a proof that the first never ran", n)
	}
	g.now += 5
	g.end(g.open[0], Failed)
	g.turn()
	g.mustEnd(q, "fail") // at once, not at the deadline
	k := g.query(4, 1)
	g.turn()
	g.pass(450, nil) // past the window of 400
	g.end(k.parts[0].sends[len(k.parts[0].sends)-1], Failed)
	n := len(k.parts[0].sends)
	g.pass(500, nil)
	if len(k.parts[0].sends) != n {
		t.Fatal("keyed part sent again outside its window")
	}
}

func TestDeadSetDoesNotBurnTries(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	q := g.query(0, 0)
	g.turn()
	back := g.now + 280
	g.pass(700, func(a *rigSend) {
		if g.now < back {
			g.end(a, ConnectFailed)
		} else if g.now >= a.at+50 {
			g.end(a, Succeeded)
		}
	})
	g.mustEnd(q, "answer") // its replicas refused connections for 280 ms and came back
}

func TestFullReplicasAreNotHammered(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	n := len(g.sends)
	g.query(0, 0)
	g.turn()
	g.pass(900, func(a *rigSend) { g.end(a, Rejected) })
	if got := len(g.sends) - n; got > 6 {
		t.Fatalf("%d attempts at full replicas", got)
	}
}

func TestReservePartsStandIn(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	q := g.query(3, 0, 1, 2, 3, 4, 5, 0, 1, 2)
	g.turn()
	first := len(g.sends)
	if first >= 9 || first < 6 {
		t.Fatalf("%d of 9 parts asked where 67%% make it whole", first)
	}
	g.now += 5
	g.end(g.open[0], Failed)
	g.turn()
	if len(g.sends) != first+1 || len(g.extra) != 0 {
		t.Fatal("a reserve part should stand in for the failed one, without a further attempt")
	}
	g.pass(200, g.after(50))
	g.mustEnd(q, "answer")
}

func TestPartThatIsOverIsNotSentAgain(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	q := g.query(0, 0)
	g.turn()
	g.b.AttemptEnded(g.now, AttemptResult{Part: q.parts[0].p.ID, Replica: q.parts[0].sends[0].replica, Outcome: Failed, PartDone: true})
	g.turn()
	g.pass(100, nil)
	if len(q.parts[0].sends) != 1 {
		t.Fatal("a part that is over was sent again")
	}
	g.mustEnd(q, "refuse")
}
