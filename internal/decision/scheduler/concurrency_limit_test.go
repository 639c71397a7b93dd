package scheduler

import "testing"

func TestStalledPartDoesNotBlockItsReplica(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var stuck []*sentAttempt
	for range 3 { // one unsafe part hangs at each replica of shard 0; no copy may be made of it
		q := h.submit(2, 0)
		h.runRound()
		stuck = append(stuck, q.parts[0].attempts[0])
	}
	answered := 0
	for range 30 {
		q := h.submit(0, 0)
		h.runRound()
		h.advance(25, func(a *sentAttempt) {
			if a != stuck[0] && a != stuck[1] && a != stuck[2] && h.now >= a.sentAt+20 {
				h.endAttempt(a, Succeeded)
			}
		})
		if q.end == "answer" {
			answered++
		}
	}
	if answered < 28 {
		t.Fatalf("only %d of 30 answered beside three stuck parts", answered)
	}
}

// A part that others have overtaken is stuck by itself: it takes no room of its replica, whose next part then shows
// whether the replica stands.
func TestOvertakenAttemptLeavesReplicaLimit(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	r := h.scheduler.replicas.byID[3]
	stuck := &attempt{part: &part{cost: 2}, replica: r, call: &callInFlight{partsInFlight: 1, cost: 2}, sentAt: h.now - 50, limitCost: 2}
	next := &attempt{part: &part{query: &query{class: &h.settings.Classes[0]}, cost: 1}, replica: r, call: &callInFlight{partsInFlight: 1, cost: 1},
		sentAt: h.now - 10, limitCost: 1}
	r.inFlight, r.limit.inFlight = []*attempt{stuck, next}, 3
	h.scheduler.learn(h.now, next, AttemptResult{Outcome: Succeeded, Latency: 60})
	if r.limit.inFlight != 1 || !stuck.overtaken || stuck.limitCost != 0 {
		t.Fatalf("load %v, passed %v", r.limit.inFlight, stuck.overtaken)
	}
	h.scheduler.learn(h.now, next, AttemptResult{Outcome: Succeeded, Latency: 60})
	if r.limit.inFlight != 1 {
		t.Fatalf("it is taken off twice: load %v", r.limit.inFlight)
	}
}

// Among many co-ordinators none has much out: the fleet's level, not parts held, shows overload. The least worth is
// refused first, and all is taken again once latencies are back.
func TestFleetLimitShedsLoadAndRecovers(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount = 60
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	ask := func(n int, ms float64) (refused int) {
		for i := 0; i < n; i++ {
			was := len(h.rejected)
			h.submit(0, i%6)
			h.submit(0, (i+1)%6)
			h.runRound()
			h.advance(50, h.replyAfter(ms))
			refused += len(h.rejected) - was
		}
		return refused
	}
	if n := ask(40, 90); n != 0 {
		t.Fatalf("%d refused on a sound fleet", n)
	}
	if n := ask(80, 900); n == 0 {
		t.Fatal("nothing refused by a fleet that is ten times slower")
	}
	h.advance(3000, h.replyAfter(90))
	ask(40, 90)
	if n := ask(40, 90); n != 0 {
		t.Fatalf("%d still refused after the fleet is sound again", n)
	}
}

// Long queries that end at their aim with a few parts missing waste what was done for them: then fewer are let in, also
// when each co-ordinator has only one at a time; a client in a hurry is no such sign, and sound answers open the door.
func TestWastedLongQueriesCutFleetLimit(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount, settings.Shards, settings.RetryBudget.Window, settings.AllowHedging, settings.MaxAttempts = 40, 60, 0, false, 1
	settings.Classes[0].LateFactor = 0.1
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	ask := func(n int, patience, ms float64, stuck bool) (refused int) {
		for range n {
			was := len(h.rejected)
			var shards []int
			for k := range 30 {
				shards = append(shards, k)
			}
			h.submit(0, shards...)
			h.runRound()
			refused += len(h.rejected) - was
			h.advance(patience, func(a *sentAttempt) {
				if h.now >= a.sentAt+ms && (!stuck || a.part.Part.Shard != 7) {
					h.endAttempt(a, Succeeded)
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
