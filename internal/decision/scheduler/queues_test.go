package scheduler

import (
	"math"
	"testing"
)

func TestQueueThresholdsSeparateWhateverTheUnit(t *testing.T) {
	for _, unit := range []float64{0.001, 1, 5000} {
		b := newRig(t, settings())
		b.fleet(UpdateFull)
		for range 200 {
			b.hinted(0, unit, 0)
			b.hinted(0, unit, 1)
			b.hinted(0, 4*unit, 2)
			b.turn()
			b.pass(10, b.after(0))
		}
		cheap, dear := b.hinted(0, unit, 0), b.hinted(0, 4*unit, 2)
		if a, c := bottleneckQueue(b.b.parts[cheap.parts[0].p.ID].cost), bottleneckQueue(b.b.parts[dear.parts[0].p.ID].cost); a >= c {
			t.Fatalf("unit %v: cheap in queue %d, dear in %d", unit, a, c)
		}
	}
	if bottleneckQueue(1) != 0 || bottleneckQueue(queueThresholdRatio) != 1 || bottleneckQueue(0.2) != 0 || bottleneckQueue(1e9) != queueCount-1 {
		t.Fatal("thresholds")
	}
}

func TestWithoutHintsCallSizesSeparate(t *testing.T) {
	s := settings()
	s.MaxPartsPerCall, s.Shards = 16, 24
	g := newRig(t, s)
	g.fleet(UpdateFull)
	p := func(shards ...int) (ps []*part) {
		q := &query{class: &s.Classes[0]}
		for i, sh := range shards {
			ps = append(ps, &part{Part: Part{ID: uint64(i), Shard: sh}, query: q, cost: 1})
		}
		return ps
	}
	g.b.enqueue(g.now, p(0))
	g.b.enqueue(g.now, p(1, 7, 13, 19)) // the same holders: one call of cost 4
	if len(g.b.queues.dense[0].fifo[0]) != 1 || len(g.b.queues.dense[1].fifo[3]) != 1 {
		t.Fatal("one part belongs in the fastest queue, a call of four in the slowest")
	}
}

func TestRatioRule(t *testing.T) {
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

func TestDeficitRoundRobinSharesByRate(t *testing.T) {
	s := &shardQueues{}
	for i := range s.fifo {
		for range 1000 {
			s.fifo[i] = append(s.fifo[i], &queuedCall{cost: 1.5})
		}
	}
	var got [queueCount]float64
	for range 1000 {
		i := s.next()
		s.deficit[i] -= 1.5
		s.fifo[i] = s.fifo[i][1:]
		got[i]++
	}
	for i, n := range got {
		if want := 1000 * queueRates[i] / 14; math.Abs(n-want) > 15 {
			t.Errorf("queue %d released %v of 1000, want about %v", i, n, want)
		}
	}
}

func TestHoldOnlyWhileEveryReplicaIsSlowAndNeverWithNothingOut(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var qs []*rigQuery
	for range 100 {
		qs = append(qs, g.query(0, 0))
	}
	g.turn()
	sent := len(g.open)
	if sent < 3 || sent >= 100 {
		t.Fatalf("%d of 100 parts of one shard let go at once", sent)
	}
	g.pass(150, nil)
	if len(g.open) > 30 {
		t.Fatalf("%d out at stalled replicas", len(g.open))
	}
	for _, a := range append([]*rigSend(nil), g.open...) {
		if a.replica == 1 {
			g.end(a, Succeeded)
		}
	}
	before := len(g.sends)
	g.turn()
	if len(g.sends) == before {
		t.Fatal("a replica with nothing of ours out was held against")
	}
	g.pass(3000, g.after(100))
	for _, q := range qs {
		if q.finished == 0 {
			t.Fatalf("query %d never ended", q.q.ID)
		}
	}
}

func TestPromotionAtHalfTheAim(t *testing.T) {
	s, class := &shardQueues{}, settings().Classes[0]
	q := &query{class: &class, arrivedAt: 0}
	c := &queuedCall{parts: []*part{{query: q, queued: true}}, cost: 9}
	s.fifo[3] = []*queuedCall{c}
	if s.refresh(class.LatencyObjective * promotionObjectiveShare); len(s.fifo[3]) != 1 {
		t.Fatal("promoted too early")
	}
	if s.refresh(class.LatencyObjective*promotionObjectiveShare + 1); len(s.fifo[0]) != 1 || len(s.fifo[3]) != 0 {
		t.Fatal("not promoted")
	}
}

// Among many co-ordinators own counts do not show a queue: a query's parts are spread over a set's replicas.
func TestManyPeersDoNotSendBatches(t *testing.T) {
	for _, peers := range []int{2, 40} {
		s := settings()
		s.BrokerCount, s.MaxPartsPerCall, s.Shards, s.Cells, s.CellsPerShard = peers, 16, 3, 1, 1
		g := newRig(t, s)
		g.list(UpdateFull, Endpoint{Replica: 1, State: Ready}, Endpoint{Replica: 2, State: Ready}, Endpoint{Replica: 3, State: Ready})
		g.turn()
		g.query(0, 0, 1, 2)
		g.turn()
		used := map[uint32]bool{}
		for _, a := range g.open {
			used[a.replica] = true
		}
		if want := map[int]int{2: 1, 40: 3}[peers]; len(used) != want {
			t.Errorf("%d peers: parts at %d replicas, %d wanted", peers, len(used), want)
		}
	}
}
