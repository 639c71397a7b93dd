package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/fleetshare"
)

// TestOverloadShedsLowPriorityFirst guarantees that an overloaded broker answers more queries of high priority than
// of low, and that every rejection carries a retry-after within bounds.
func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var low, high []*testQuery
	for range 300 {
		low = append(low, h.submit(classDefault, 0, 1))
		high = append(high, h.submit(classPartial, 0, 1))
		h.runRound()
		h.advance(10, h.replyAfter(150))
	}
	h.advance(3000, h.replyAfter(150))
	countAnswered := func(queries []*testQuery) int {
		answered := 0
		for _, q := range queries {
			if q.end == endAnswer {
				answered++
			}
		}
		return answered
	}
	answeredLow := countAnswered(low)
	answeredHigh := countAnswered(high)
	if answeredHigh <= answeredLow || answeredHigh == 300 {
		t.Fatalf("answered %d of 300 queries of low priority and %d of high", answeredLow, answeredHigh)
	}
	for id, retryAfter := range h.rejected {
		if retryAfter <= 0 || retryAfter > h.settings.MaxRetryAfter {
			t.Fatalf("query %d rejected with a retry-after of %v ms", id, retryAfter)
		}
	}
}

// TestLateClientRetryHasLowPriority guarantees that a repeat of a query whose objective has passed since its first
// try is shed first, and that nothing is left of it once its client has left.
func TestLateClientRetryHasLowPriority(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	q := Query{ID: 900000, QueryGroup: 900000, Deadline: h.now + 1500, ClientRetry: true} // half of its time is gone
	h.scheduler.QueryArrived(h.now, q)
	priority := h.scheduler.queries[q.ID].priority
	if priority >= 0.3 {
		t.Fatalf("a repeat past its objective has priority %v, want below 0.3", priority)
	}
	delete(h.queries, q.ID)
	h.scheduler.ClientDisconnected(h.now, q.ID)
	if len(h.scheduler.queries) != 0 {
		t.Fatal("a query is left behind after its client disconnected")
	}
}

// TestQueryLargerThanFleetLimitIsPaced guarantees that a query that costs more than the fleet's limit is not
// rejected for good: one is admitted in the time in which the limit could have carried it.
func TestQueryLargerThanFleetLimitIsPaced(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount = 40
	settings.Shards = 60
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline() // calls take 100 ms
	shards := make([]int, 40)
	for i := range shards {
		shards[i] = i
	}
	h.scheduler.fleetLimit.maxCost = 8
	h.decide(h.submit(classDefault, shards...))
	h.advance(200, h.replyAfter(5))
	h.scheduler.fleetLimit.maxCost = 8
	early := h.decide(h.submit(classDefault, shards...))
	if early.end != endReject {
		t.Fatalf("a second query of 40 parts was not rejected after 200 ms: %q", early.end)
	}
	h.advance(400, h.replyAfter(5))
	h.scheduler.fleetLimit.maxCost = 8
	later := h.decide(h.submit(classDefault, shards...))
	if later.end != "" {
		t.Fatalf("a query of 40 parts was still not admitted after 600 ms: %q", later.end)
	}
}

// TestShardWithoutReplicasIsRejectedAtOnce guarantees that a query whose shard has no replica in the endpoint list is
// rejected at once, with a retry-after; one of which enough is held is answered partially.
func TestShardWithoutReplicasIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateFull, Endpoint{Replica: 4, Cell: 3, State: Ready})
	q := h.submit(classDefault, 0)
	h.runRound()
	h.requireEnd(q, endReject)
	if q.endedAt != h.now || h.rejected[q.Query.ID] <= 0 || len(h.sent) > 0 {
		t.Fatalf("rejected at %v, now %v, retry-after %v ms", q.endedAt, h.now, h.rejected[q.Query.ID])
	}
	half := h.submit(classPartial, 0, 3)
	h.runRound()
	h.advance(3500, h.replyAfter(20))
	h.requireEnd(half, endAnswer)
	if half.complete {
		t.Fatal("a partial answer is marked complete")
	}
}

// TestQueryWithTooLittleTimeIsRejected guarantees that brokers of large fleets reject at once what would not be
// answered in time, although they have nothing queued that would show it; parts take 160 ms. The more brokers there
// are, the more time is asked for, as each sees too few queries to learn how long they take. With time enough all
// are admitted, and one of three brokers rejects none for the time left.
func TestQueryWithTooLittleTimeIsRejected(t *testing.T) {
	for _, brokers := range []int{3, 6, 300} {
		settings := testSettings()
		settings.BrokerCount = brokers
		settings.AllowHedging = false
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		for i := range 120 {
			h.submit(classDefault, i%6)
			h.runRound()
			h.advance(200, h.replyAfter(160))
		}
		isAdmitted := func(remainingMs float64, shards ...int) bool {
			h.nextID++
			q := &testQuery{Query: Query{ID: h.nextID, QueryGroup: int(h.nextID), Deadline: h.now + remainingMs}}
			h.queries[q.Query.ID] = q
			h.scheduler.QueryArrived(h.now, q.Query)
			for _, shard := range shards {
				h.addPart(q, shard, 100, 1/float64(len(shards)))
			}
			h.runRound()
			endAtOnce := q.end
			h.advance(500, h.replyAfter(160))
			return endAtOnce == ""
		}
		six := []int{0, 1, 2, 3, 4, 5}
		twelve := append(six, six...)
		assert.Equal(t, brokers == 3, isAdmitted(90, 0), "%d brokers, 90 ms left", brokers)
		assert.Equal(t, brokers == 3, isAdmitted(220, twelve...), "%d brokers, 220 ms left for twelve parts", brokers)
		assert.Equal(t, brokers == 3, isAdmitted(150, 0) && brokers != 6, "%d brokers, 150 ms left", brokers)
		assert.Equal(t, brokers == 3, isAdmitted(400, twelve...) && brokers != 6, "%d brokers, 400 ms left for twelve parts", brokers)
		assert.Equal(t, brokers != 300, isAdmitted(220, 0), "%d brokers, 220 ms left", brokers)
		assert.True(t, isAdmitted(700, twelve...), "%d brokers, 700 ms left for twelve parts", brokers)
		assert.True(t, isAdmitted(3000, 0), "%d brokers, 3 s left", brokers)
		assert.True(t, isAdmitted(3000, six...), "%d brokers, 3 s left for six parts", brokers)
		for range 40 { // the last part of queries takes 480 ms, which hardly moves the median
			h.submit(classDefault, 0, 3)
			h.runRound()
			h.advance(600, func(a *sentAttempt) {
				latency := 160.0
				if a.part.Part.Shard == 0 {
					latency = 480
				}
				h.replyAfter(latency)(a)
			})
		}
		assert.Equal(t, brokers == 3, isAdmitted(400, 2, 4), "%d brokers, 400 ms left where last parts take 480", brokers)
	}
}

// TestShardWithoutWarmupQuotaIsRejectedAtOnce guarantees that, where all replicas of a shard are warming up, brokers
// whose quota of them is nothing reject its queries at once with a retry-after and serve others; brokers with a slot
// have them answered.
func TestShardWithoutWarmupQuotaIsRejectedAtOnce(t *testing.T) {
	ends := map[string]int{}
	for broker := range 300 {
		settings := testSettings()
		settings.BrokerCount = 300
		settings.BrokerIndex = broker
		settings.SlowStart.WorkMultiple = 10
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		h.advance(2000, h.replyAfter(40))
		h.scheduler.slowStart.quota = fleetshare.NewSlowStartQuota(300) // the even share: under a tenth of a part
		for i := 1; i <= 3; i++ {
			h.updateEndpoints(UpdateDelta, Endpoint{Replica: uint32(i), Cell: i - 1, State: Ready, StartedAt: h.now})
		}
		warming := h.submit(classDefault, 0) // at replicas 1 to 3
		warm := h.submit(classDefault, 3)    // at replicas 4 to 6
		h.runRound()
		if warming.end == endReject {
			assert.Positive(t, h.rejected[warming.Query.ID], "retry-after")
		}
		h.advance(200, h.replyAfter(40))
		assert.Equal(t, endAnswer, warm.end)
		ends[warming.end]++
	}
	assert.Greater(t, ends[endReject], 150, ends)
	assert.Greater(t, ends[endAnswer], 10, ends)
	assert.Equal(t, 300, ends[endReject]+ends[endAnswer], "some query waits: %v", ends)
}

// TestRejectedConnectionsDoNotThrottleClients guarantees that parts rejected because replicas hold no more
// connections, which says nothing of what the fleet serves, do not make the broker reject queries. As many
// rejections by full queues do.
func TestRejectedConnectionsDoNotThrottleClients(t *testing.T) {
	for _, connectionOnly := range []bool{true, false} {
		settings := testSettings()
		settings.BrokerCount = 30
		settings.RetryBudget.Spare = 1e6
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		n := 0
		for range 400 {
			h.submit(classDefault, n%6)
			h.runRound()
			h.advance(60, func(a *sentAttempt) {
				if a.number == 0 && n%2 == 0 {
					n++
					h.endAttemptWith(a, AttemptResult{Outcome: Rejected, ConnectionOnly: connectionOnly})
					return
				}
				h.replyAfter(40)(a)
			})
			n++
		}
		rejectedShare := h.scheduler.throttle.RejectedShare()
		assert.Equal(t, connectionOnly, rejectedShare == 0, "rejected share %v, connection only: %v", rejectedShare, connectionOnly)
	}
}

// TestCongestedShardIsOmittedFromPartialQueries guarantees that a query whose answer may lack some parts is admitted
// without those of a congested shard and answered as soon as the others are in; one that must be complete is
// rejected, and so is the first where too many of the other shards are congested too.
func TestCongestedShardIsOmittedFromPartialQueries(t *testing.T) {
	settings := testSettings()
	settings.Shards = 12
	settings.Cells = 12
	settings.CellsPerShard = 1
	settings.CanCancel = false
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	stalled := map[uint32]bool{1: true}
	reply := func(a *sentAttempt) {
		if !stalled[a.replica] {
			h.replyAfter(40)(a)
		}
	}
	for range 6 {
		h.submit(classDefault, 0)
		h.runRound()
	}
	h.advance(300, reply)
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	partial := h.submit(classPartial, all...)
	complete := h.submit(classDefault, 0, 1)
	h.runRound()
	assert.Equal(t, endReject, complete.end)
	assert.Empty(t, partial.parts[0].attempts, "the congested shard is asked")
	assert.Empty(t, partial.end)
	begin := h.now
	h.advance(200, reply)
	assert.Equal(t, endAnswer, partial.end)
	assert.False(t, partial.complete)
	assert.Less(t, partial.endedAt-begin, 150.0, "the answer waited for what was not asked")

	// Nearly half of the other shards become congested, each less than the bound for one.
	for _, replica := range []uint32{3, 5, 7, 9, 11} {
		stalled[replica] = true
		for range 6 {
			h.submit(classDefault, int(replica-1))
		}
	}
	h.runRound()
	h.advance(220, reply)
	overloaded := h.submit(classPartial, all...)
	h.runRound()
	assert.Equal(t, endReject, overloaded.end)
}

// TestMassResetDoesNotBlockQueriesOfSameKey guarantees that a key is not blamed for replicas that were lost at one
// moment with parts of it in flight: its next query is admitted.
func TestMassResetDoesNotBlockQueriesOfSameKey(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.decide(h.submitWithKey(77, 0, 2, 4))
	h.decide(h.submitWithKey(5, 1, 3, 5))
	h.advance(20, nil)
	for _, a := range append([]*sentAttempt(nil), h.inFlight...) {
		h.endAttempt(a, ConnectionReset)
	}
	h.runRound()
	h.advance(400, h.replyAfter(60))
	q := h.decide(h.submitWithKey(77, 0, 2, 4))
	if q.end != "" {
		t.Fatalf("the next query of the key ended at once: %s", q.end)
	}
}

// TestRejectionReasons guarantees why a query is rejected, and that too little time is the first reason.
func TestRejectionReasons(t *testing.T) {
	for name, test := range map[string]struct {
		class       int
		remainingMs float64
		load        admissionLoad
		inFlight    float64
		failedWork  float64
		want        rejection
	}{
		"no load":                        {classDefault, 3000, admissionLoad{}, 0, 0, notRejected},
		"too late":                       {classDefault, 50, admissionLoad{}, 0, 0, rejectedTooLate},
		"too late and over limit":        {classDefault, 50, admissionLoad{}, 101, 0, rejectedTooLate},
		"parts missing":                  {classDefault, 3000, admissionLoad{missingWeight: 0.4}, 0, 0, rejectedMissingParts},
		"parts queued, none missing":     {classDefault, 3000, admissionLoad{queuedWeight: 1}, 0, 0, notRejected},
		"parts missing, partial allowed": {classPartial, 3000, admissionLoad{missingWeight: 0.4}, 0, 0, notRejected},
		"over limit":                     {classDefault, 3000, admissionLoad{}, 101, 0, rejectedOverLimit},
		"larger than limit":              {classDefault, 3000, admissionLoad{cost: 200}, 0, 0, rejectedPacing},
		"throttled":                      {classDefault, 3000, admissionLoad{}, 0, 64, rejectedThrottled},
	} {
		settings := testSettings()
		settings.BrokerCount = 40
		h := newHarness(t, settings)
		s := h.scheduler
		s.latency.meanPartBaselineMs = 100
		s.lastAdmittedAt = h.now
		s.fleetLimit.inFlight = test.inFlight
		s.throttle.RecordResult(test.failedWork, false)
		deadline := h.now + test.remainingMs
		q := &query{Query: Query{Deadline: deadline}, class: &settings.Classes[test.class], expectedLastPartMs: 100}
		test.load.limit = 100
		assert.Equal(t, test.want, s.checkAdmission(h.now, q, test.load), name)
	}
}
