package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestBottleneckQueueIsIndependentOfHintUnit checks that cheap and expensive queries are assigned to different queues
// in any unit of the cost hints, as the unit of cost is the mean hint.
func TestBottleneckQueueIsIndependentOfHintUnit(t *testing.T) {
	for _, unit := range []float64{0.001, 1, 5000} {
		h := newHarness(t, testSettings())
		h.listFleet(UpdateFull)
		for range 200 {
			h.submitWithHint(classDefault, unit, 0)
			h.submitWithHint(classDefault, unit, 1)
			h.submitWithHint(classDefault, 4*unit, 2)
			h.runRound()
			h.advance(10, h.replyAfter(0))
		}
		cheap := h.submitWithHint(classDefault, unit, 0)
		expensive := h.submitWithHint(classDefault, 4*unit, 2)
		cheapQueue := bottleneckQueue(h.scheduler.parts[cheap.parts[0].Part.ID].cost)
		expensiveQueue := bottleneckQueue(h.scheduler.parts[expensive.parts[0].Part.ID].cost)
		if cheapQueue >= expensiveQueue {
			t.Fatalf("unit %v: cheap query in queue %d, expensive one in %d", unit, cheapQueue, expensiveQueue)
		}
	}
	if bottleneckQueue(1) != 0 || bottleneckQueue(queueThresholdRatio) != 1 ||
		bottleneckQueue(0.2) != 0 || bottleneckQueue(1e9) != queueCount-1 {
		t.Fatal("the thresholds of the queues are not the powers of their ratio")
	}
}

// TestCallSizeSelectsQueueWithoutHints checks that the number of parts in a call determines its queue if all parts
// cost the same.
func TestCallSizeSelectsQueueWithoutHints(t *testing.T) {
	settings := testSettings()
	settings.MaxPartsPerCall = 16
	settings.Shards = 24
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	queryParts := func(shards ...int) []*part {
		var parts []*part
		q := &query{class: &settings.Classes[classDefault]}
		for i, shard := range shards {
			parts = append(parts, &part{Part: Part{ID: uint64(i), Shard: shard}, query: q, cost: 1})
		}
		return parts
	}
	h.scheduler.enqueue(h.now, queryParts(0))
	h.scheduler.enqueue(h.now, queryParts(1, 7, 13, 19)) // the same replicas: one call of cost 4
	if len(h.scheduler.queues.dense[0].fifo[0]) != 1 || len(h.scheduler.queues.dense[1].fifo[3]) != 1 {
		t.Fatal("want a call of one part in the fastest queue and a call of four in the slowest")
	}
}

// TestSlackQueueMatchesCostRatio checks that a call that costs less than its query's bottleneck is assigned to a
// slower queue, so that both finish together, and never to a faster one.
func TestSlackQueueMatchesCostRatio(t *testing.T) {
	for _, test := range []struct {
		bottleneck int
		ratio      float64
		want       int
	}{
		{0, 1, 0},
		{0, 0.8, 1},
		{0, 0.59, 2},
		{0, 0.1, 3},
		{1, 1, 1},
		{1, 0.5, 3},
		{3, 0.1, 3},
	} {
		got := slackQueue(test.bottleneck, test.ratio)
		if got != test.want {
			t.Errorf("bottleneck in queue %d, ratio %v: queue %d, want %d", test.bottleneck, test.ratio, got, test.want)
		}
	}
}

// TestDeficitRoundRobinFollowsQueueRates checks that full queues are drained in proportion to their rates, so that
// none starves.
func TestDeficitRoundRobinFollowsQueueRates(t *testing.T) {
	queues := &shardQueues{}
	for i := range queues.fifo {
		for range 1000 {
			queues.fifo[i] = append(queues.fifo[i], &queuedCall{cost: 1.5})
		}
	}
	var released [queueCount]float64
	for range 1000 {
		i := queues.nextQueue()
		queues.deficit[i] -= 1.5
		queues.fifo[i] = queues.fifo[i][1:]
		released[i]++
	}
	for i, got := range released {
		want := 1000 * queueRates[i] / 14
		if math.Abs(got-want) > 15 {
			t.Errorf("queue %d released %v of 1000 calls, want about %v", i, got, want)
		}
	}
}

// TestPartsAreQueuedOnlyWhileEveryReplicaIsBusy checks that parts wait at the broker while their replicas are stalled
// or at their limit. They do not wait for a replica with nothing in flight, so queueing cannot deadlock.
func TestPartsAreQueuedOnlyWhileEveryReplicaIsBusy(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var queries []*testQuery
	for range 100 {
		queries = append(queries, h.submit(classDefault, 0))
	}
	h.runRound()
	sent := len(h.inFlight)
	if sent < 3 || sent >= 100 {
		t.Fatalf("%d of 100 parts of one shard sent at once", sent)
	}
	h.advance(150, nil)
	if len(h.inFlight) > 30 {
		t.Fatalf("%d attempts in flight at stalled replicas", len(h.inFlight))
	}
	for _, a := range append([]*sentAttempt(nil), h.inFlight...) {
		if a.replica == 1 {
			h.endAttempt(a, Succeeded)
		}
	}
	before := len(h.sent)
	h.runRound()
	if len(h.sent) == before {
		t.Fatal("nothing sent to a replica with nothing in flight")
	}
	h.advance(3000, h.replyAfter(100))
	for _, q := range queries {
		if q.endedAt == 0 {
			t.Fatalf("query %d never ended", q.Query.ID)
		}
	}
}

// TestCallIsPromotedAfterHalfTheObjective checks that an expensive call is promoted to the fastest queue once half of
// the objective has passed. Otherwise a steady flow of cheap calls could make it miss its objective.
func TestCallIsPromotedAfterHalfTheObjective(t *testing.T) {
	queues := &shardQueues{}
	class := testSettings().Classes[classDefault]
	q := &query{class: &class, arrivedAt: 0}
	call := &queuedCall{parts: []*part{{query: q, queued: true}}, cost: 9}
	queues.fifo[3] = []*queuedCall{call}
	queues.refresh(class.LatencyObjective * promotionObjectiveShare)
	if len(queues.fifo[3]) != 1 {
		t.Fatal("call promoted too early")
	}
	queues.refresh(class.LatencyObjective*promotionObjectiveShare + 1)
	if len(queues.fifo[0]) != 1 || len(queues.fifo[3]) != 0 {
		t.Fatal("call not promoted")
	}
}

// TestLargeFleetDoesNotBatchCheapCalls checks that a broker of a large fleet spreads the parts of a query over the
// replicas of a shard: it cannot see from its own attempts how long the queue is that a large call would join.
func TestLargeFleetDoesNotBatchCheapCalls(t *testing.T) {
	for _, test := range []struct{ brokers, wantReplicas int }{
		{brokers: 2, wantReplicas: 1},
		{brokers: 40, wantReplicas: 3},
	} {
		settings := testSettings()
		settings.BrokerCount = test.brokers
		settings.MaxPartsPerCall = 16
		settings.Shards = 3
		settings.Cells = 1
		settings.CellsPerShard = 1
		h := newHarness(t, settings)
		h.updateEndpoints(UpdateFull, Endpoint{Replica: 1, State: Ready}, Endpoint{Replica: 2, State: Ready},
			Endpoint{Replica: 3, State: Ready})
		h.runRound()
		h.submit(classDefault, 0, 1, 2)
		h.runRound()
		used := replicasUsed(h.inFlight)
		if len(used) != test.wantReplicas {
			t.Errorf("%d brokers: parts sent to %d replicas, want %d", test.brokers, len(used), test.wantReplicas)
		}
	}
}

// TestQueueTableKeepsActiveShardsInOrder checks that rounds visit the active shards in order of their ids and that a
// shard without queued calls is no longer active. The queues of shards beyond the dense ids are then deleted.
func TestQueueTableKeepsActiveShardsInOrder(t *testing.T) {
	table := newQueueTable()
	for _, shard := range []int{denseShards, 3, 1, 3} {
		queues := table.activate(shard, 1000)
		queues.fifo[0] = append(queues.fifo[0], &queuedCall{})
	}
	table.sortActive()
	assert.Equal(t, []*shardQueues{table.queuesOf(1), table.queuesOf(3), table.queuesOf(denseShards)}, table.active)
	for _, queues := range table.active {
		queues.pop(0)
	}
	table.dropIdle()
	assert.Equal(t, []*shardQueues{table.queuesOf(3)}, table.active)
	assert.NotNil(t, table.queuesOf(1))
	assert.Nil(t, table.queuesOf(denseShards))
}
