package scheduler

import (
	"math/rand"
	"reflect"
	"testing"
)

// chaos plays legal events at random; the rig checks every rule on every action.
func chaos(t *testing.T, seed int64, s Settings, steps int) *rig {
	g, rnd := newRig(t, s), rand.New(rand.NewSource(seed))
	g.fleet(UpdateCached)
	for range steps {
		if rnd.Float64() < 0.3 {
			var shards []int
			for range 1 + rnd.Intn(5) {
				shards = append(shards, rnd.Intn(s.Shards))
			}
			q := g.hinted(rnd.Intn(5), 20+180*rnd.Float64()*rnd.Float64(), shards...)
			if rnd.Float64() < 0.02 {
				g.b.ClientDisconnected(g.now, q.q.ID)
				q.gone, q.finished = true, g.now
			}
		}
		if rnd.Float64() < 0.02 {
			i := rnd.Intn(s.Cells)
			e := Endpoint{Replica: uint32(i + 1), Cell: i, State: ReplicaState(rnd.Intn(3))}
			if e.State == Ready && rnd.Float64() < 0.5 {
				e.StartedAt = g.now - 1000*rnd.Float64()
			} else if e.State == Ready {
				e.StartedAt = g.started[e.Replica]
			}
			g.list(UpdateDelta, e)
		}
		if rnd.Float64() < 0.005 {
			g.list(UpdateFailed)
		}
		g.turn()
		g.pass(10, func(a *rigSend) {
			switch x := rnd.Float64(); {
			case x < 0.05:
				g.end(a, Succeeded)
			case x < 0.06:
				g.end(a, Outcome(rnd.Intn(int(NotSent)+1)))
			}
		})
		g.b.AttemptEnded(g.now, AttemptResult{Part: 1 << 50, Outcome: Succeeded}) // ids not held are ignored
		g.b.ClientDisconnected(g.now, 1<<50)
	}
	g.pass(3100, nil)
	for _, q := range g.queries {
		if q.finished == 0 {
			t.Fatalf("query %d got no final answer", q.q.ID)
		}
	}
	if len(g.b.queries)+len(g.b.parts)+len(g.b.openQueries) != 0 {
		t.Fatalf("left behind: %d queries, %d parts", len(g.b.queries), len(g.b.parts))
	}
	return g
}

func TestRulesHoldInLongRandomRuns(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		s := settings()
		if seed%3 == 0 {
			s.AllowHedging, s.CanCancel = false, false
		}
		if seed%2 == 0 {
			s.MaxPartsPerCall, s.CallOverhead, s.PollEndpoints, s.MaxStaleness = 4, 25, true, 10000
		}
		chaos(t, seed, s, 1500)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if !reflect.DeepEqual(chaos(t, 99, settings(), 800).log, chaos(t, 99, settings(), 800).log) {
		t.Fatal("the same events gave other actions")
	}
}
