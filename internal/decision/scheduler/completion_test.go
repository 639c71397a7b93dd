package scheduler

import "testing"

func TestOneFinalAnswerInOddCases(t *testing.T) {
	g := newRig(t, settings())
	empty := g.query(0)
	g.turn()
	g.mustEnd(empty, "refuse")
	nobody := g.query(0, 0) // no replica is known at all
	g.turn()
	g.pass(3000, nil)
	g.mustEnd(nobody, "refuse")
	g.fleet(UpdateFull)
	hung := g.query(0, 0)
	g.turn()
	g.pass(3100, nil)
	g.mustEnd(hung, "refuse")
	unsafe := g.query(2, 0)
	g.turn()
	g.pass(3100, nil)
	g.mustEnd(unsafe, "fail") // it may have run: no promise
}

func TestLittleLateWorthEndsAtTheAim(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	little, more := g.query(4, 0), g.query(0, 1)
	g.turn()
	for _, a := range g.open {
		if class := a.part.q.q.Class; (a.timeout <= 1000) != (class == 4) {
			t.Fatalf("class %d: time-out %v", class, a.timeout)
		}
	}
	g.pass(1010, nil)
	g.mustEnd(little, "fail") // keyed and possibly run: no promise
	if more.finished > 0 {
		t.Fatal("a query with late worth was ended at its aim")
	}
}

func TestPartialAnswerAtTheAim(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	q := g.query(1, 0, 1, 2, 3)
	g.turn()
	for _, a := range append([]*rigSend(nil), g.open[:3]...) {
		g.end(a, Succeeded)
	}
	g.pass(995, nil)
	g.mustEnd(q, "answer")
	if q.whole {
		t.Fatal("marked whole")
	}
}

// A partial answer must be at the client, not only out, by the aim: it leaves before the last sweep that could miss it.
func TestPartialAnswerLeavesInTime(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	arrived := g.now
	q := g.query(1, 0, 1, 2, 3)
	g.turn()
	stuck := g.open[0].part
	g.pass(1000, func(a *rigSend) {
		if a.part != stuck && g.now >= a.at+90 {
			g.end(a, Succeeded)
		}
	})
	g.mustEnd(q, "answer")
	if early := arrived + g.s.Classes[1].LatencyObjective - q.finished; early < finalAnswerMarginMs {
		t.Fatalf("answered %v ms before the aim", early)
	}
}

func TestSecondStep(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	q := g.query(5, 0, 1)
	g.turn()
	g.pass(60, g.after(40))
	if q.answers != 1 || q.finished > 0 {
		t.Fatal("first step not answered")
	}
	g.part(q, 0, 100, 0.5)
	g.part(q, 1, 100, 0.5)
	g.turn()
	g.pass(60, g.after(40))
	g.mustEnd(q, "answer")
	if q.answers != 2 || !q.whole {
		t.Fatalf("%+v", q)
	}
}

// A second step with fewer parts than stated, or at shards whose holders have left, ends in one honest final answer.
func TestSecondStepInOddCases(t *testing.T) {
	for name, odd := range map[string]func(g *rig, q *rigQuery){
		"no holders": func(g *rig, q *rigQuery) {
			g.list(UpdateFull, Endpoint{Replica: 5, Cell: 4, State: Ready})
			g.part(q, 0, 100, 0.5)
			g.part(q, 1, 100, 0.5)
		},
		"one part of two": func(g *rig, q *rigQuery) { g.part(q, 0, 100, 1) },
		"no parts at all": func(*rig, *rigQuery) {},
	} {
		g := newRig(t, settings())
		g.fleet(UpdateFull)
		q := g.turned(g.query(5, 0, 1))
		g.pass(150, g.after(100))
		if q.answers != 1 {
			t.Fatalf("%s: no first answer", name)
		}
		odd(g, q)
		g.turn()
		g.pass(3200, g.after(100))
		if q.finished == 0 || q.finished > q.q.Deadline+g.s.AnswerGrace || name == "no holders" && q.answers > 1 && q.whole {
			t.Errorf("%s: finished at %v by %q, deadline %v", name, q.finished, q.how, q.q.Deadline)
		}
	}
}

func TestCoarseTicksStillAnswerInTime(t *testing.T) {
	s := settings()
	s.TimerResolution = 100
	g := newRig(t, s)
	g.fleet(UpdateFull)
	q := g.query(0, 0)
	q.q.Deadline += 37
	g.turn()
	g.pass(3200, nil) // the rig fails the test on a late answer
	g.mustEnd(q, "refuse")
}
