package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/fleetshare"
)

// TestStalledPartDoesNotBlockItsReplica checks that other parts are still sent to replicas at which one part has
// stalled. Each replica of a shard has one stalled part that must not be hedged.
func TestStalledPartDoesNotBlockItsReplica(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	stalled := map[*sentAttempt]bool{}
	for range 3 {
		q := h.submit(classNonIdempotent, 0)
		h.runRound()
		stalled[q.parts[0].attempts[0]] = true
	}
	answered := 0
	for range 30 {
		q := h.submit(classDefault, 0)
		h.runRound()
		h.advance(25, func(a *sentAttempt) {
			if !stalled[a] {
				h.replyAfter(20)(a)
			}
		})
		if q.end == endAnswer {
			answered++
		}
	}
	if answered < 28 {
		t.Fatalf("%d of 30 queries answered while three parts are stalled, want 28 at least", answered)
	}
}

// TestOvertakenAttemptLeavesReplicaLimit checks that an overtaken attempt no longer counts toward its replica's limit
// and that its cost is subtracted only once.
func TestOvertakenAttemptLeavesReplicaLimit(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	r := h.scheduler.replicas.byID[3]
	stalled := &attempt{
		part:      &part{cost: 2},
		replica:   r,
		call:      &callInFlight{partsInFlight: 1, cost: 2},
		sentAt:    h.now - 50,
		limitCost: 2,
	}
	next := &attempt{
		part:      &part{query: &query{class: &h.settings.Classes[classDefault]}, cost: 1},
		replica:   r,
		call:      &callInFlight{partsInFlight: 1, cost: 1},
		sentAt:    h.now - 10,
		limitCost: 1,
	}
	r.inFlight = []*attempt{stalled, next}
	r.limit.costInFlight = 3
	h.scheduler.learn(h.now, next, AttemptResult{Outcome: Succeeded, Latency: 60})
	if r.limit.costInFlight != 1 || !stalled.overtaken || stalled.limitCost != 0 {
		t.Fatalf("cost in flight %v, overtaken %v; want 1 and true", r.limit.costInFlight, stalled.overtaken)
	}
	h.scheduler.learn(h.now, next, AttemptResult{Outcome: Succeeded, Latency: 60})
	if r.limit.costInFlight != 1 {
		t.Fatalf("cost in flight %v after a second success, want 1: subtracted twice", r.limit.costInFlight)
	}
}

// TestFleetLimitShedsLoadAndRecovers checks that a broker of a large fleet, which has few attempts in flight itself,
// sheds load when the latency of the fleet rises, and admits all queries again once the latency is normal.
func TestFleetLimitShedsLoadAndRecovers(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount = 60
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	countRejected := func(rounds int, latencyMs float64) int {
		rejected := 0
		for i := range rounds {
			before := len(h.rejected)
			h.submit(classDefault, i%6)
			h.submit(classDefault, (i+1)%6)
			h.runRound()
			h.advance(50, h.replyAfter(latencyMs))
			rejected += len(h.rejected) - before
		}
		return rejected
	}
	rejected := countRejected(40, 90)
	if rejected != 0 {
		t.Fatalf("%d queries rejected on a healthy fleet", rejected)
	}
	rejected = countRejected(80, 900)
	if rejected == 0 {
		t.Fatal("nothing rejected on a fleet that is ten times slower")
	}
	h.advance(3000, h.replyAfter(90))
	countRejected(40, 90)
	rejected = countRejected(40, 90)
	if rejected != 0 {
		t.Fatalf("%d queries rejected after the fleet has recovered", rejected)
	}
}

// TestWastedLongQueriesCutFleetLimit checks that fewer queries are admitted while queries with many parts end at
// their objective with one part missing, which wastes the work of all others. This must also hold if each broker has
// only one such query at a time. Answers at normal latency raise the limit again.
func TestWastedLongQueriesCutFleetLimit(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount = 40
	settings.Shards = 60
	settings.RetryBudget.Window = 0
	settings.AllowHedging = false
	settings.MaxAttempts = 1
	settings.Classes[classDefault].LateFactor = 0.1
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var shards []int
	for shard := range 30 {
		shards = append(shards, shard)
	}
	countRejected := func(queries int, intervalMs, latencyMs float64, isPartStalled bool) int {
		rejected := 0
		for range queries {
			before := len(h.rejected)
			h.submit(classDefault, shards...)
			h.runRound()
			rejected += len(h.rejected) - before
			h.advance(intervalMs, func(a *sentAttempt) {
				if !isPartStalled || a.part.Part.Shard != 7 {
					h.replyAfter(latencyMs)(a)
				}
			})
		}
		return rejected
	}
	rejected := countRejected(20, 300, 100, false)
	if rejected > 0 {
		t.Fatalf("%d queries rejected on a healthy fleet", rejected)
	}
	countRejected(30, 300, 350, true)
	rejected = countRejected(30, 300, 350, true)
	if rejected < 4 {
		t.Fatalf("%d of 30 queries rejected while all end with a part missing, want 4 at least", rejected)
	}
	countRejected(40, 300, 100, false)
	rejected = countRejected(20, 300, 100, false)
	if rejected > 0 {
		t.Fatalf("%d queries rejected after the fleet has recovered", rejected)
	}
}

// TestReplicaLimitAdapts checks that a replica's limit grows with normal answers while it is in use. Slow answers
// lower it to the cost in flight, once for all attempts sent before, and a stall lowers it to the minimum.
func TestReplicaLimitAdapts(t *testing.T) {
	for name, test := range map[string]struct {
		limit      replicaLimit
		isQueueing bool
		want       float64
	}{
		"normal, in use":        {replicaLimit{costInFlight: 5, maxCost: 10}, false, 10.1},
		"normal, not in use":    {replicaLimit{costInFlight: 4, maxCost: 10}, false, 10},
		"queueing":              {replicaLimit{costInFlight: 5, maxCost: 10}, true, 5},
		"queueing, minimum":     {replicaLimit{costInFlight: 0.5, maxCost: 10}, true, minReplicaMaxCost},
		"queueing, over limit":  {replicaLimit{costInFlight: 20, maxCost: 10}, true, 10},
		"queueing, already cut": {replicaLimit{costInFlight: 5, maxCost: 10, cutAt: 160}, true, 10},
	} {
		limit := test.limit
		limit.observe(200, &attempt{part: &part{cost: 2}, sentAt: 150}, test.isQueueing)
		assert.InDelta(t, test.want, limit.maxCost, 1e-9, name)
	}
	stalled := replicaLimit{costInFlight: 5, maxCost: 10}
	stalled.lowerToMin(200, 150)
	assert.Equal(t, minReplicaMaxCost, stalled.maxCost)
}

// TestFleetLimitIsForLargeFleets checks that only brokers of large fleets cut the fleet's limit: to a fraction of the
// cost in flight, once for all attempts sent before, and not below the minimum.
func TestFleetLimitIsForLargeFleets(t *testing.T) {
	for brokers, wants := range map[int][]float64{
		fleetshare.SmallFleetBrokers:     {math.Inf(1), math.Inf(1), math.Inf(1)},
		fleetshare.SmallFleetBrokers + 1: {85, 85, minFleetMaxCost},
	} {
		s := &Scheduler{settings: Settings{BrokerCount: brokers}, fleetLimit: newFleetLimit()}
		for i, cut := range []struct{ inFlight, now, sentAt float64 }{{100, 200, 150}, {50, 210, 150}, {1, 300, 250}} {
			s.fleetLimit.costInFlight = cut.inFlight
			s.cutFleetLimit(cut.now, cut.sentAt)
			assert.Equal(t, wants[i], s.fleetLimit.maxCost, "%d brokers, cut %d", brokers, i)
		}
	}
}
