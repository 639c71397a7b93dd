package scheduler

import "testing"

func TestFewestOwnCallsOut(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	for range 3 {
		g.query(0, 0)
		g.turn()
	}
	seen := map[uint32]bool{}
	for _, a := range g.sends {
		seen[a.replica] = true
	}
	if len(seen) != 3 {
		t.Fatalf("three parts of one shard went to %v", seen)
	}
}

// Neighbouring shards of a ring have holders in common: where a call costs nearly as much as a part, parts of one turn
// share calls, also among many co-ordinators; where it costs little they do not.
func TestDearCallsAreSharedInARing(t *testing.T) {
	for _, dear := range []bool{false, true} {
		s := settings()
		s.BrokerCount, s.MaxPartsPerCall, s.CallOverhead = 40, 4, 10
		if dear {
			s.CallOverhead = 80
		}
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.query(0, 0, 1, 2, 3, 4, 5)
		g.turn()
		used := map[uint32]bool{}
		for _, a := range g.open {
			used[a.replica] = true
		}
		if len(g.open) != 6 || dear && len(used) > 3 || !dear && len(used) < 5 {
			t.Errorf("dear %v: %d parts in %d calls", dear, len(g.open), len(used))
		}
	}
}

// One of many co-ordinators seldom has anything out at a replica. That alone must not let parts through to a shard whose
// replicas are all jammed; they go at a pace, and freely again when the replicas are sound.
func TestJammedShardGetsPartsAtAPace(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Classes[0].LatencyObjective, s.Classes[0].Deadline = 40, 2900, 3000
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	slow := func(a *rigSend) { // the replicas of shard 0 are 8 times slower than the others
		if g.now >= a.at+100 && a.replica > 3 || g.now >= a.at+800 {
			g.end(a, Succeeded)
		}
	}
	ask := func(n int, reply func(*rigSend)) (sent int) {
		before := len(g.sends)
		for i := range n {
			g.query(0, 3)
			if i%4 == 0 {
				g.query(0, 0)
			}
			g.turn()
			g.pass(100, reply)
		}
		for _, a := range g.sends[before:] {
			if a.part.p.Shard == 0 {
				sent++
			}
		}
		return sent
	}
	ask(60, slow)
	if n := ask(60, slow); n > 12 || n == 0 {
		t.Fatalf("%d of 15 parts went to a jammed shard", n)
	}
	ask(100, g.after(100))
	if n := ask(60, g.after(100)); n < 14 {
		t.Fatalf("%d of 15 parts once the replicas are sound again", n)
	}
}
