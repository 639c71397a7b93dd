package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/fleetshare"
)

// TestOverloadShedsLowPriorityFirst checks that an overloaded broker answers more queries of high priority than of
// low priority and that the retry-after of every rejection is within bounds.
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

// TestLateClientRetryHasLowPriority checks that a client retry has a low priority if the objective has passed since
// the client's first request, and that no state remains after its client has disconnected.
func TestLateClientRetryHasLowPriority(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	// Half of the client's time has passed.
	q := Query{ID: 900000, QueryGroup: 900000, Deadline: h.now + 1500, ClientRetry: true}
	h.scheduler.QueryArrived(h.now, q)
	priority := h.scheduler.queries[q.ID].priority
	if priority >= 0.3 {
		t.Fatalf("a client retry past its objective has priority %v, want below 0.3", priority)
	}
	delete(h.queries, q.ID)
	h.scheduler.ClientDisconnected(h.now, q.ID)
	if len(h.scheduler.queries) != 0 {
		t.Fatal("a query is still open after its client disconnected")
	}
}

// TestQueryLargerThanFleetLimitIsPaced checks that queries that cost more than the fleet's limit are not always
// rejected: one is admitted in each period in which the limit could have carried it.
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

// TestShardWithoutReplicasIsRejectedAtOnce checks that a query to a shard without replicas in the endpoint list is
// rejected at once with a retry-after. A query whose other shards hold enough weight is answered partially.
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

// TestQueryWithTooLittleTimeIsRejected checks that brokers of large fleets reject queries at once that cannot be
// answered in time, although no queue shows it; parts take 160 ms. The required time grows with the number of
// brokers, as each broker then sees fewer queries to learn from. A broker of a fleet of three rejects none for lack
// of time.
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
		sixShards := []int{0, 1, 2, 3, 4, 5}
		twelveParts := append(sixShards, sixShards...)
		assert.Equal(t, brokers == 3, isAdmitted(90, 0), "%d brokers, 90 ms left", brokers)
		assert.Equal(t, brokers == 3, isAdmitted(220, twelveParts...), "%d brokers, 220 ms left for twelve parts", brokers)
		assert.Equal(t, brokers == 3, isAdmitted(150, 0) && brokers != 6, "%d brokers, 150 ms left", brokers)
		assert.Equal(t, brokers == 3, isAdmitted(400, twelveParts...) && brokers != 6,
			"%d brokers, 400 ms left for twelve parts", brokers)
		assert.Equal(t, brokers != 300, isAdmitted(220, 0), "%d brokers, 220 ms left", brokers)
		assert.True(t, isAdmitted(700, twelveParts...), "%d brokers, 700 ms left for twelve parts", brokers)
		assert.True(t, isAdmitted(3000, 0), "%d brokers, 3 s left", brokers)
		assert.True(t, isAdmitted(3000, sixShards...), "%d brokers, 3 s left for six parts", brokers)
		for range 40 { // the last part of each query takes 480 ms, which hardly moves the median
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

// TestShardWithoutWarmupQuotaIsRejectedAtOnce checks queries to a shard of which all replicas are warming up. Brokers
// with a quota of 0 reject them at once with a retry-after and serve other shards. Brokers with a slot answer them.
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
		h.scheduler.slowStart.quota = fleetshare.NewSlowStartQuota(300) // the even share: less than a tenth of a part
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
	assert.Equal(t, 300, ends[endReject]+ends[endAnswer], "some queries have not ended: %v", ends)
}

// TestRejectedConnectionsDoNotThrottleClients checks that a broker does not reject queries because replicas reject
// connections, which says nothing about the load of the fleet. As many rejections of parts do make it reject queries.
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
		assert.Equal(t, connectionOnly, rejectedShare == 0,
			"rejected share %v, connection only: %v", rejectedShare, connectionOnly)
	}
}

// TestCongestedShardIsOmittedFromPartialQueries checks that a query of a class with partial answers is admitted
// without its part at a congested shard and answered as soon as the other parts have arrived. A query that needs all
// parts is rejected, and so is the first one if too many of the other shards are congested too.
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
	assert.Empty(t, partial.parts[0].attempts, "an attempt was sent to the congested shard")
	assert.Empty(t, partial.end)
	submittedAt := h.now
	h.advance(200, reply)
	assert.Equal(t, endAnswer, partial.end)
	assert.False(t, partial.complete)
	assert.Less(t, partial.endedAt-submittedAt, 150.0, "the answer waited for the part that was not sent")

	// Nearly half of the other shards become congested, each of them below the threshold for a single shard.
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

// TestMassResetDoesNotBlockQueriesOfSameKey checks that the next query of a key is admitted after several replicas
// lost their connections at the same time with parts of that key in flight.
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

// TestRejectionReasons checks the reason for each rejection, and that too little time left is checked first.
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
		s.fleetLimit.costInFlight = test.inFlight
		s.throttle.RecordResult(test.failedWork, false)
		deadline := h.now + test.remainingMs
		q := &query{Query: Query{Deadline: deadline}, class: &settings.Classes[test.class], expectedLastPartMs: 100}
		test.load.limit = 100
		assert.Equal(t, test.want, s.checkAdmission(h.now, q, test.load), name)
	}
}
