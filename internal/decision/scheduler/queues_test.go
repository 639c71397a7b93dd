package scheduler

import (
	"math"
	"testing"
)

func TestBottleneckQueueIsIndependentOfHintUnit(t *testing.T) {
	for _, unit := range []float64{0.001, 1, 5000} {
		b := newHarness(t, testSettings())
		b.listFleet(UpdateFull)
		for range 200 {
			b.submitWithHint(0, unit, 0)
			b.submitWithHint(0, unit, 1)
			b.submitWithHint(0, 4*unit, 2)
			b.runRound()
			b.advance(10, b.replyAfter(0))
		}
		cheap, dear := b.submitWithHint(0, unit, 0), b.submitWithHint(0, 4*unit, 2)
		if a, c := bottleneckQueue(b.scheduler.parts[cheap.parts[0].Part.ID].cost), bottleneckQueue(b.scheduler.parts[dear.parts[0].Part.ID].cost); a >= c {
			t.Fatalf("unit %v: cheap in queue %d, dear in %d", unit, a, c)
		}
	}
	if bottleneckQueue(1) != 0 || bottleneckQueue(queueThresholdRatio) != 1 || bottleneckQueue(0.2) != 0 || bottleneckQueue(1e9) != queueCount-1 {
		t.Fatal("thresholds")
	}
}

func TestCallSizeSelectsQueueWithoutHints(t *testing.T) {
	settings := testSettings()
	settings.MaxPartsPerCall, settings.Shards = 16, 24
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	p := func(shards ...int) (ps []*part) {
		q := &query{class: &settings.Classes[0]}
		for i, sh := range shards {
			ps = append(ps, &part{Part: Part{ID: uint64(i), Shard: sh}, query: q, cost: 1})
		}
		return ps
	}
	h.scheduler.enqueue(h.now, p(0))
	h.scheduler.enqueue(h.now, p(1, 7, 13, 19)) // the same holders: one call of cost 4
	if len(h.scheduler.queues.dense[0].fifo[0]) != 1 || len(h.scheduler.queues.dense[1].fifo[3]) != 1 {
		t.Fatal("one part belongs in the fastest queue, a call of four in the slowest")
	}
}

func TestSlackQueueMatchesCostRatio(t *testing.T) {
	for _, c := range []struct {
		b     int
		ratio float64
		want  int
	}{{0, 1, 0}, {0, 0.8, 1}, {0, 0.59, 2}, {0, 0.1, 3}, {1, 1, 1}, {1, 0.5, 3}, {3, 0.1, 3}} {
		if got := slackQueue(c.b, c.ratio); got != c.want {
			t.Errorf("bottleneck in %d, ratio %v: queue %d, want %d", c.b, c.ratio, got, c.want)
		}
	}
}

func TestDeficitRoundRobinFollowsQueueRates(t *testing.T) {
	queues := &shardQueues{}
	for i := range queues.fifo {
		for range 1000 {
			queues.fifo[i] = append(queues.fifo[i], &queuedCall{cost: 1.5})
		}
	}
	var got [queueCount]float64
	for range 1000 {
		i := queues.next()
		queues.deficit[i] -= 1.5
		queues.fifo[i] = queues.fifo[i][1:]
		got[i]++
	}
	for i, n := range got {
		if want := 1000 * queueRates[i] / 14; math.Abs(n-want) > 15 {
			t.Errorf("queue %d released %v of 1000, want about %v", i, n, want)
		}
	}
}

func TestPartsAreQueuedOnlyWhileEveryReplicaIsBusy(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var queries []*testQuery
	for range 100 {
		queries = append(queries, h.submit(0, 0))
	}
	h.runRound()
	sent := len(h.inFlight)
	if sent < 3 || sent >= 100 {
		t.Fatalf("%d of 100 parts of one shard let go at once", sent)
	}
	h.advance(150, nil)
	if len(h.inFlight) > 30 {
		t.Fatalf("%d out at stalled replicas", len(h.inFlight))
	}
	for _, a := range append([]*sentAttempt(nil), h.inFlight...) {
		if a.replica == 1 {
			h.endAttempt(a, Succeeded)
		}
	}
	before := len(h.sent)
	h.runRound()
	if len(h.sent) == before {
		t.Fatal("a replica with nothing of ours out was held against")
	}
	h.advance(3000, h.replyAfter(100))
	for _, q := range queries {
		if q.endedAt == 0 {
			t.Fatalf("query %d never ended", q.Query.ID)
		}
	}
}

func TestCallIsPromotedAfterHalfTheObjective(t *testing.T) {
	queues, class := &shardQueues{}, testSettings().Classes[0]
	q := &query{class: &class, arrivedAt: 0}
	c := &queuedCall{parts: []*part{{query: q, queued: true}}, cost: 9}
	queues.fifo[3] = []*queuedCall{c}
	if queues.refresh(class.LatencyObjective * promotionObjectiveShare); len(queues.fifo[3]) != 1 {
		t.Fatal("promoted too early")
	}
	if queues.refresh(class.LatencyObjective*promotionObjectiveShare + 1); len(queues.fifo[0]) != 1 || len(queues.fifo[3]) != 0 {
		t.Fatal("not promoted")
	}
}

// Among many co-ordinators own counts do not show a queue: a query's parts are spread over a set's replicas.
func TestLargeFleetDoesNotBatchCheapCalls(t *testing.T) {
	for _, peers := range []int{2, 40} {
		settings := testSettings()
		settings.BrokerCount, settings.MaxPartsPerCall, settings.Shards, settings.Cells, settings.CellsPerShard = peers, 16, 3, 1, 1
		h := newHarness(t, settings)
		h.updateEndpoints(UpdateFull, Endpoint{Replica: 1, State: Ready}, Endpoint{Replica: 2, State: Ready}, Endpoint{Replica: 3, State: Ready})
		h.runRound()
		h.submit(0, 0, 1, 2)
		h.runRound()
		used := map[uint32]bool{}
		for _, a := range h.inFlight {
			used[a.replica] = true
		}
		if want := map[int]int{2: 1, 40: 3}[peers]; len(used) != want {
			t.Errorf("%d peers: parts at %d replicas, %d wanted", peers, len(used), want)
		}
	}
}
