package scheduler

import "testing"

func TestAttemptBudget(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	for range 30 { // everything fails at once; the rig checks the budget
		g.query(0, 0, 1, 2)
		g.turn()
		g.pass(30, func(a *rigSend) { g.end(a, Failed) })
	}
	if len(g.extra) == 0 {
		t.Fatal("no further attempt was ever made")
	}
}
