package scheduler

import (
	"math/rand"
	"reflect"
	"testing"
)

// runRandomEvents feeds random events that the API allows to a scheduler. The harness checks the invariants on every
// action. At the end, every query must have its final answer and the scheduler must hold neither queries nor parts.
func runRandomEvents(t *testing.T, seed int64, settings Settings, steps int) *harness {
	t.Helper()
	h := newHarness(t, settings)
	random := rand.New(rand.NewSource(seed))
	h.listFleet(UpdateCached)
	for range steps {
		if random.Float64() < 0.3 {
			h.submitRandomQuery(random)
		}
		if random.Float64() < 0.02 {
			h.changeRandomEndpoint(random)
		}
		if random.Float64() < 0.005 {
			h.updateEndpoints(UpdateFailed)
		}
		h.runRound()
		h.advance(10, func(a *sentAttempt) {
			x := random.Float64()
			switch {
			case x < 0.05:
				h.endAttempt(a, Succeeded)
			case x < 0.06:
				h.endAttempt(a, Outcome(random.Intn(int(NotSent)+1)))
			}
		})
		// Unknown ids are ignored.
		h.scheduler.AttemptEnded(h.now, AttemptResult{Part: 1 << 50, Outcome: Succeeded})
		h.scheduler.ClientDisconnected(h.now, 1<<50)
	}
	h.advance(3100, nil)
	for _, q := range h.queries {
		if q.endedAt == 0 {
			t.Fatalf("query %d got no final answer", q.Query.ID)
		}
	}
	s := h.scheduler
	if len(s.queries)+len(s.parts)+len(s.openQueries) != 0 {
		t.Fatalf("state left after the last query: %d queries, %d parts, %d open queries", len(s.queries), len(s.parts),
			len(s.openQueries))
	}
	return h
}

// submitRandomQuery submits a query of a random class. Some clients disconnect at once.
func (h *harness) submitRandomQuery(random *rand.Rand) {
	var shards []int
	for range 1 + random.Intn(5) {
		shards = append(shards, random.Intn(h.settings.Shards))
	}
	class := random.Intn(5)
	hint := 20 + 180*random.Float64()*random.Float64()
	q := h.submitWithHint(class, hint, shards...)
	if random.Float64() < 0.02 {
		h.scheduler.ClientDisconnected(h.now, q.Query.ID)
		q.disconnected = true
		q.endedAt = h.now
	}
}

// changeRandomEndpoint changes a random replica to a random state. Half of the replicas that become ready have
// restarted.
func (h *harness) changeRandomEndpoint(random *rand.Rand) {
	i := random.Intn(h.settings.Cells)
	e := Endpoint{Replica: uint32(i + 1), Cell: i, State: ReplicaState(random.Intn(3))}
	if e.State == Ready && random.Float64() < 0.5 {
		e.StartedAt = h.now - 1000*random.Float64()
	} else if e.State == Ready {
		e.StartedAt = h.startedAt[e.Replica]
	}
	h.updateEndpoints(UpdateDelta, e)
}

// TestInvariantsHoldInLongRandomRuns checks the invariants of the package with random orders of events, with and
// without hedging, cancellation, shared calls and polling.
func TestInvariantsHoldInLongRandomRuns(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		settings := testSettings()
		if seed%3 == 0 {
			settings.AllowHedging = false
			settings.CanCancel = false
		}
		if seed%2 == 0 {
			settings.MaxPartsPerCall = 4
			settings.CallOverhead = 25
			settings.PollEndpoints = true
			settings.MaxStaleness = 10000
		}
		runRandomEvents(t, seed, settings, 1500)
	}
}

// TestSameEventsGiveSameActions checks that a run can be replayed: nothing depends on the iteration order of maps.
func TestSameEventsGiveSameActions(t *testing.T) {
	first := runRandomEvents(t, 99, testSettings(), 800)
	second := runRandomEvents(t, 99, testSettings(), 800)
	if !reflect.DeepEqual(first.log, second.log) {
		t.Fatal("the same events resulted in different actions")
	}
}
