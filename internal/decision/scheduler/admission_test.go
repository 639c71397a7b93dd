package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/fleetshare"
)

func TestOverloadShedsLowPriorityFirst(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var low, high []*testQuery
	for range 300 {
		low, high = append(low, h.submit(0, 0, 1)), append(high, h.submit(1, 0, 1))
		h.runRound()
		h.advance(10, h.replyAfter(150))
	}
	h.advance(3000, h.replyAfter(150))
	done := func(queries []*testQuery) (n int) {
		for _, q := range queries {
			if q.end == "answer" {
				n++
			}
		}
		return n
	}
	if l, h := done(low), done(high); h <= l || h == 300 {
		t.Fatalf("answered %d of low worth and %d of high", l, h)
	}
	for id, after := range h.rejected {
		if after <= 0 || after > h.settings.MaxRetryAfter {
			t.Fatalf("query %d refused with retry-after %v", id, after)
		}
	}
}

func TestLateClientRetryHasLowPriority(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	q := Query{ID: 900000, QueryGroup: 900000, Deadline: h.now + 1500, ClientRetry: true} // half of its time is gone
	h.scheduler.QueryArrived(h.now, q)
	if v := h.scheduler.queries[q.ID].priority; v >= 0.3 {
		t.Fatalf("a repeat past its aim is valued at %v", v)
	}
	delete(h.queries, q.ID)
	h.scheduler.ClientDisconnected(h.now, q.ID)
	if len(h.scheduler.queries) != 0 {
		t.Fatal("a query is left behind")
	}
}

// A query larger than the fleet's room is let in once in the time in which the room could have carried it.
func TestQueryLargerThanFleetLimitIsPaced(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount, settings.Shards = 40, 60
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline() // calls take 100 ms
	shards := make([]int, 40)
	for k := range shards {
		shards[k] = k
	}
	h.scheduler.fleet.cost = 8
	h.decided(h.submit(0, shards...))
	h.advance(200, h.replyAfter(5))
	h.scheduler.fleet.cost = 8
	if early := h.decided(h.submit(0, shards...)); early.end != "reject" {
		t.Fatalf("a second query of 40 parts was let in after 200 ms: %q", early.end)
	}
	h.advance(400, h.replyAfter(5))
	h.scheduler.fleet.cost = 8
	if later := h.decided(h.submit(0, shards...)); later.end != "" {
		t.Fatalf("still turned away after 600 ms: %q", later.end)
	}
}

// TestShardWithoutReplicasIsRejectedAtOnce: what the list names no holder for is refused at once, with advice when to come back; where
// enough of a query is held, it is answered in part as ever.
func TestShardWithoutReplicasIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateFull, Endpoint{Replica: 4, Cell: 3, State: Ready})
	q := h.submit(0, 0)
	h.runRound()
	h.requireEnd(q, "reject")
	if q.endedAt != h.now || h.rejected[q.Query.ID] <= 0 || len(h.sent) > 0 {
		t.Fatalf("refused at %v of %v, come back after %v", q.endedAt, h.now, h.rejected[q.Query.ID])
	}
	half := h.submit(1, 0, 3)
	h.runRound()
	h.advance(3500, h.replyAfter(20))
	if h.requireEnd(half, "answer"); half.complete {
		t.Fatal("marked whole")
	}
}

// TestQueryWithTooLittleTimeIsRejected: one of 300, or of 6, holds nothing when a query comes, and the fleet takes
// 160 ms for a part. A query that is left 90 ms is refused at once, one of twelve parts with 220 ms too; with 300 brokers
// one that is left 150 ms, of twelve parts 400 ms, as well; with six, where queries were seen to take no more, 220 and 700 ms
// are enough. Where the last part of queries takes 480 ms, one of two parts with 400 ms is refused, though the median has
// hardly moved. With time all are taken. One of three goes by what it holds itself, as ever.
func TestQueryWithTooLittleTimeIsRejected(t *testing.T) {
	for _, peers := range []int{3, 6, 300} {
		settings := testSettings()
		settings.BrokerCount, settings.AllowHedging = peers, false
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		for i := range 120 {
			h.submit(0, i%6)
			h.runRound()
			h.advance(200, h.replyAfter(160))
		}
		take := func(left float64, shards ...int) bool {
			h.nextID++
			q := &testQuery{Query: Query{ID: h.nextID, QueryGroup: int(h.nextID), Deadline: h.now + left}}
			h.queries[q.Query.ID] = q
			h.scheduler.QueryArrived(h.now, q.Query)
			for _, sh := range shards {
				h.addPart(q, sh, 100, 1/float64(len(shards)))
			}
			h.runRound()
			at := q.end
			h.advance(500, h.replyAfter(160))
			return at == ""
		}
		all := []int{0, 1, 2, 3, 4, 5}
		twelve := append(all, all...)
		assert.Equal(t, peers == 3, take(90, 0), peers)
		assert.Equal(t, peers == 3, take(220, twelve...), peers)
		assert.Equal(t, peers == 3, take(150, 0) && peers != 6, peers)
		assert.Equal(t, peers == 3, take(400, twelve...) && peers != 6, peers)
		assert.Equal(t, peers != 300, take(220, 0), peers)
		assert.True(t, take(700, twelve...), peers)
		assert.True(t, take(3000, 0), peers)
		assert.True(t, take(3000, all...), peers)
		for range 40 {
			h.submit(0, 0, 3)
			h.runRound()
			h.advance(600, func(a *sentAttempt) {
				if a.part.Part.Shard == 0 {
					h.replyAfter(480)(a)
				} else {
					h.replyAfter(160)(a)
				}
			})
		}
		assert.Equal(t, peers == 3, take(400, 2, 4), peers)
	}
}

// TestShardWithoutWarmupQuotaIsRejectedAtOnce: all replicas of a shard are cold and their allowance, or its turn, is another's. What
// needs it is refused at the door with advice, and what does not is served; a broker of the first turns has it served.
func TestShardWithoutWarmupQuotaIsRejectedAtOnce(t *testing.T) {
	ends := map[string]int{}
	for me := range 300 {
		settings := testSettings()
		settings.BrokerCount, settings.BrokerIndex, settings.SlowStart.WorkMultiple = 300, me, 10
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		h.advance(2000, h.replyAfter(40))
		h.scheduler.slowStart.quota = fleetshare.NewSlowStartQuota(300) // with its even share, under a tenth of a part
		for i := 1; i <= 3; i++ {
			h.updateEndpoints(UpdateDelta, Endpoint{Replica: uint32(i), Cell: i - 1, State: Ready, StartedAt: h.now})
		}
		closed, open := h.submit(0, 0), h.submit(0, 3) // held by 1 to 3, and by 4 to 6
		h.runRound()
		if closed.end == "reject" {
			assert.Positive(t, h.rejected[closed.Query.ID], "with advice")
		}
		h.advance(200, h.replyAfter(40))
		assert.Equal(t, "answer", open.end)
		ends[closed.end]++
	}
	assert.Greater(t, ends["reject"], 150, ends)
	assert.Greater(t, ends["answer"], 10, ends)
	assert.Equal(t, 300, ends["reject"]+ends["answer"], "none waits: %v", ends)
}

// TestRejectedConnectionsDoNotThrottleClients: one of 30 has a third of its parts turned away since nodes hold no more
// connections. That says nothing of what the fleet serves, so nothing is refused for it; as many turned away by full
// queues do close the door in part.
func TestRejectedConnectionsDoNotThrottleClients(t *testing.T) {
	for _, alone := range []bool{true, false} {
		settings := testSettings()
		settings.BrokerCount, settings.RetryBudget.Spare = 30, 1e6
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		n := 0
		for range 400 {
			h.submit(0, n%6)
			h.runRound()
			h.advance(60, func(a *sentAttempt) {
				if a.number == 0 && n%2 == 0 {
					n++
					h.endAttemptWith(a, AttemptResult{Outcome: Rejected, ConnectionOnly: alone})
					return
				}
				h.replyAfter(40)(a)
			})
			n++
		}
		assert.Equal(t, alone, h.scheduler.throttle.RejectedShare() == 0, "excess %v, by connection %v", h.scheduler.throttle.RejectedShare(), alone)
	}
}

// TestCongestedShardIsOmittedFromPartialQueries: all replicas of shard 0 are jammed, the others are quick. A query of twelve parts whose answer
// may lack some is let in without asking shard 0, and answered in part as soon as the others are in; one that has to be
// whole is refused; and where the others are held too, so is the first.
func TestCongestedShardIsOmittedFromPartialQueries(t *testing.T) {
	settings := testSettings()
	settings.Shards, settings.Cells, settings.CellsPerShard, settings.CanCancel = 12, 12, 1, false
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	stuck := map[uint32]bool{1: true}
	reply := func(a *sentAttempt) {
		if !stuck[a.replica] {
			h.replyAfter(40)(a)
		}
	}
	jam := func() {
		for range 6 {
			h.submit(0, 0)
			h.runRound()
		}
		h.advance(300, reply)
	}
	jam()
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	part, whole := h.submit(1, all...), h.submit(0, 0, 1)
	h.runRound()
	assert.Equal(t, "reject", whole.end)
	assert.Empty(t, part.parts[0].attempts, "shard 0 is not asked")
	assert.Empty(t, part.end)
	begin := h.now
	h.advance(200, reply)
	assert.Equal(t, "answer", part.end)
	assert.False(t, part.complete)
	assert.Less(t, part.endedAt-begin, 150.0, "it does not wait for what was not asked")

	for _, r := range []uint32{3, 5, 7, 9, 11} { // now half of the others are held, under the bound
		stuck[r] = true
		for range 6 {
			h.submit(0, int(r-1))
		}
	}
	h.runRound()
	h.advance(220, reply)
	busy := h.submit(1, all...)
	h.runRound()
	assert.Equal(t, "reject", busy.end)
}

// Many replicas lost at one moment with parts of a popular key: the key did not do it, and its queries go on.
func TestMassResetDoesNotBlockQueriesOfSameKey(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.decided(h.submitWithKey(77, 0, 2, 4))
	h.decided(h.submitWithKey(5, 1, 3, 5))
	h.advance(20, nil)
	for _, a := range append([]*sentAttempt(nil), h.inFlight...) {
		h.endAttempt(a, ConnectionReset)
	}
	h.runRound()
	h.advance(400, h.replyAfter(60))
	if q := h.decided(h.submitWithKey(77, 0, 2, 4)); q.end != "" {
		t.Fatalf("the key's next query was ended at once: %s", q.end)
	}
}
