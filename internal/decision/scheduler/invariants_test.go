package scheduler

import (
	"math/rand"
	"reflect"
	"testing"
)

// runRandomEvents plays legal events at random; the rig checks every rule on every action.
func runRandomEvents(t *testing.T, seed int64, s Settings, steps int) *harness {
	h, rnd := newHarness(t, s), rand.New(rand.NewSource(seed))
	h.listFleet(UpdateCached)
	for range steps {
		if rnd.Float64() < 0.3 {
			var shards []int
			for range 1 + rnd.Intn(5) {
				shards = append(shards, rnd.Intn(s.Shards))
			}
			q := h.submitWithHint(rnd.Intn(5), 20+180*rnd.Float64()*rnd.Float64(), shards...)
			if rnd.Float64() < 0.02 {
				h.scheduler.ClientDisconnected(h.now, q.Query.ID)
				q.disconnected, q.endedAt = true, h.now
			}
		}
		if rnd.Float64() < 0.02 {
			i := rnd.Intn(s.Cells)
			e := Endpoint{Replica: uint32(i + 1), Cell: i, State: ReplicaState(rnd.Intn(3))}
			if e.State == Ready && rnd.Float64() < 0.5 {
				e.StartedAt = h.now - 1000*rnd.Float64()
			} else if e.State == Ready {
				e.StartedAt = h.startedAt[e.Replica]
			}
			h.updateEndpoints(UpdateDelta, e)
		}
		if rnd.Float64() < 0.005 {
			h.updateEndpoints(UpdateFailed)
		}
		h.runRound()
		h.advance(10, func(a *sentAttempt) {
			switch x := rnd.Float64(); {
			case x < 0.05:
				h.endAttempt(a, Succeeded)
			case x < 0.06:
				h.endAttempt(a, Outcome(rnd.Intn(int(NotSent)+1)))
			}
		})
		h.scheduler.AttemptEnded(h.now, AttemptResult{Part: 1 << 50, Outcome: Succeeded}) // ids not held are ignored
		h.scheduler.ClientDisconnected(h.now, 1<<50)
	}
	h.advance(3100, nil)
	for _, q := range h.queries {
		if q.endedAt == 0 {
			t.Fatalf("query %d got no final answer", q.Query.ID)
		}
	}
	if len(h.scheduler.queries)+len(h.scheduler.parts)+len(h.scheduler.openQueries) != 0 {
		t.Fatalf("left behind: %d queries, %d parts", len(h.scheduler.queries), len(h.scheduler.parts))
	}
	return h
}

func TestInvariantsHoldInLongRandomRuns(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		settings := testSettings()
		if seed%3 == 0 {
			settings.AllowHedging, settings.CanCancel = false, false
		}
		if seed%2 == 0 {
			settings.MaxPartsPerCall, settings.CallOverhead, settings.PollEndpoints, settings.MaxStaleness = 4, 25, true, 10000
		}
		runRandomEvents(t, seed, settings, 1500)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	if !reflect.DeepEqual(runRandomEvents(t, 99, testSettings(), 800).log, runRandomEvents(t, 99, testSettings(), 800).log) {
		t.Fatal("the same events gave other actions")
	}
}
