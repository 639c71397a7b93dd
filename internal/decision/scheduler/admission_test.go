package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/fleetshare"
)

func TestOverloadShedsLowWorthFirstWithRetryAfter(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var low, high []*rigQuery
	for range 300 {
		low, high = append(low, g.query(0, 0, 1)), append(high, g.query(1, 0, 1))
		g.turn()
		g.pass(10, g.after(150))
	}
	g.pass(3000, g.after(150))
	done := func(qs []*rigQuery) (n int) {
		for _, q := range qs {
			if q.how == "answer" {
				n++
			}
		}
		return n
	}
	if l, h := done(low), done(high); h <= l || h == 300 {
		t.Fatalf("answered %d of low worth and %d of high", l, h)
	}
	for id, after := range g.refused {
		if after <= 0 || after > g.s.MaxRetryAfter {
			t.Fatalf("query %d refused with retry-after %v", id, after)
		}
	}
}

func TestHeldLateRepeatsGoFirst(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	q := Query{ID: 900000, QueryGroup: 900000, Deadline: g.now + 1500, ClientRetry: true} // half of its time is gone
	g.b.QueryArrived(g.now, q)
	if v := g.b.queries[q.ID].priority; v >= 0.3 {
		t.Fatalf("a repeat past its aim is valued at %v", v)
	}
	delete(g.queries, q.ID)
	g.b.ClientDisconnected(g.now, q.ID)
	if len(g.b.queries) != 0 {
		t.Fatal("a query is left behind")
	}
}

// A query larger than the fleet's room is let in once in the time in which the room could have carried it.
func TestQueryLargerThanTheRoomWaitsForItsPace(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Shards = 40, 60
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm() // calls take 100 ms
	shards := make([]int, 40)
	for k := range shards {
		shards[k] = k
	}
	g.b.fleet.cost = 8
	g.turned(g.query(0, shards...))
	g.pass(200, g.after(5))
	g.b.fleet.cost = 8
	if early := g.turned(g.query(0, shards...)); early.how != "refuse" {
		t.Fatalf("a second query of 40 parts was let in after 200 ms: %q", early.how)
	}
	g.pass(400, g.after(5))
	g.b.fleet.cost = 8
	if later := g.turned(g.query(0, shards...)); later.how != "" {
		t.Fatalf("still turned away after 600 ms: %q", later.how)
	}
}

// TestNoHolderListed: what the list names no holder for is refused at once, with advice when to come back; where
// enough of a query is held, it is answered in part as ever.
func TestNoHolderListed(t *testing.T) {
	g := newRig(t, settings())
	g.list(UpdateFull, Endpoint{Replica: 4, Cell: 3, State: Ready})
	q := g.query(0, 0)
	g.turn()
	g.mustEnd(q, "refuse")
	if q.finished != g.now || g.refused[q.q.ID] <= 0 || len(g.sends) > 0 {
		t.Fatalf("refused at %v of %v, come back after %v", q.finished, g.now, g.refused[q.q.ID])
	}
	half := g.query(1, 0, 3)
	g.turn()
	g.pass(3500, g.after(20))
	if g.mustEnd(half, "answer"); half.whole {
		t.Fatal("marked whole")
	}
}

// TestTooLittleTimeIsRefusedAtTheDoorOfMany: one of 300, or of 6, holds nothing when a query comes, and the fleet takes
// 160 ms for a part. A query that is left 90 ms is refused at once, one of twelve parts with 220 ms too; with 300 brokers
// one that is left 150 ms, of twelve parts 400 ms, as well; with six, where queries were seen to take no more, 220 and 700 ms
// are enough. Where the last part of queries takes 480 ms, one of two parts with 400 ms is refused, though the median has
// hardly moved. With time all are taken. One of three goes by what it holds itself, as ever.
func TestTooLittleTimeIsRefusedAtTheDoorOfMany(t *testing.T) {
	for _, peers := range []int{3, 6, 300} {
		s := settings()
		s.BrokerCount, s.AllowHedging = peers, false
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.warm()
		for i := range 120 {
			g.query(0, i%6)
			g.turn()
			g.pass(200, g.after(160))
		}
		take := func(left float64, shards ...int) bool {
			g.next++
			q := &rigQuery{q: Query{ID: g.next, QueryGroup: int(g.next), Deadline: g.now + left}}
			g.queries[q.q.ID] = q
			g.b.QueryArrived(g.now, q.q)
			for _, sh := range shards {
				g.part(q, sh, 100, 1/float64(len(shards)))
			}
			g.turn()
			at := q.how
			g.pass(500, g.after(160))
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
			g.query(0, 0, 3)
			g.turn()
			g.pass(600, func(a *rigSend) {
				if a.part.p.Shard == 0 {
					g.after(480)(a)
				} else {
					g.after(160)(a)
				}
			})
		}
		assert.Equal(t, peers == 3, take(400, 2, 4), peers)
	}
}

// TestClosedShardIsRefusedAtOnce: all replicas of a shard are cold and their allowance, or its turn, is another's. What
// needs it is refused at the door with advice, and what does not is served; a broker of the first turns has it served.
func TestClosedShardIsRefusedAtOnce(t *testing.T) {
	ends := map[string]int{}
	for me := range 300 {
		s := settings()
		s.BrokerCount, s.BrokerIndex, s.SlowStart.WorkMultiple = 300, me, 10
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.warm()
		g.pass(2000, g.after(40))
		g.b.slowStart.quota = fleetshare.NewSlowStartQuota(300) // with its even share, under a tenth of a part
		for i := 1; i <= 3; i++ {
			g.list(UpdateDelta, Endpoint{Replica: uint32(i), Cell: i - 1, State: Ready, StartedAt: g.now})
		}
		closed, open := g.query(0, 0), g.query(0, 3) // held by 1 to 3, and by 4 to 6
		g.turn()
		if closed.how == "refuse" {
			assert.Positive(t, g.refused[closed.q.ID], "with advice")
		}
		g.pass(200, g.after(40))
		assert.Equal(t, "answer", open.how)
		ends[closed.how]++
	}
	assert.Greater(t, ends["refuse"], 150, ends)
	assert.Greater(t, ends["answer"], 10, ends)
	assert.Equal(t, 300, ends["refuse"]+ends["answer"], "none waits: %v", ends)
}

// TestConnectionsTurnedAwayDoNotCloseTheDoor: one of 30 has a third of its parts turned away since nodes hold no more
// connections. That says nothing of what the fleet serves, so nothing is refused for it; as many turned away by full
// queues do close the door in part.
func TestConnectionsTurnedAwayDoNotCloseTheDoor(t *testing.T) {
	for _, alone := range []bool{true, false} {
		s := settings()
		s.BrokerCount, s.RetryBudget.Spare = 30, 1e6
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.warm()
		n := 0
		for range 400 {
			g.query(0, n%6)
			g.turn()
			g.pass(60, func(a *rigSend) {
				if a.no == 0 && n%2 == 0 {
					n++
					g.finish(a, AttemptResult{Outcome: Rejected, ConnectionOnly: alone})
					return
				}
				g.after(40)(a)
			})
			n++
		}
		assert.Equal(t, alone, g.b.throttle.RejectedShare() == 0, "excess %v, by connection %v", g.b.throttle.RejectedShare(), alone)
	}
}

// TestJammedShardIsLeftOut: all replicas of shard 0 are jammed, the others are quick. A query of twelve parts whose answer
// may lack some is let in without asking shard 0, and answered in part as soon as the others are in; one that has to be
// whole is refused; and where the others are held too, so is the first.
func TestJammedShardIsLeftOut(t *testing.T) {
	s := settings()
	s.Shards, s.Cells, s.CellsPerShard, s.CanCancel = 12, 12, 1, false
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	stuck := map[uint32]bool{1: true}
	reply := func(a *rigSend) {
		if !stuck[a.replica] {
			g.after(40)(a)
		}
	}
	jam := func() {
		for range 6 {
			g.query(0, 0)
			g.turn()
		}
		g.pass(300, reply)
	}
	jam()
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	part, whole := g.query(1, all...), g.query(0, 0, 1)
	g.turn()
	assert.Equal(t, "refuse", whole.how)
	assert.Empty(t, part.parts[0].sends, "shard 0 is not asked")
	assert.Empty(t, part.how)
	begin := g.now
	g.pass(200, reply)
	assert.Equal(t, "answer", part.how)
	assert.False(t, part.whole)
	assert.Less(t, part.finished-begin, 150.0, "it does not wait for what was not asked")

	for _, r := range []uint32{3, 5, 7, 9, 11} { // now half of the others are held, under the bound
		stuck[r] = true
		for range 6 {
			g.query(0, int(r-1))
		}
	}
	g.turn()
	g.pass(220, reply)
	busy := g.query(1, all...)
	g.turn()
	assert.Equal(t, "refuse", busy.how)
}

// Many replicas lost at one moment with parts of a popular key: the key did not do it, and its queries go on.
func TestKeyIsNotBlamedForReplicasLostAtOnce(t *testing.T) {
	s := settings()
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	g.turned(g.keyed(77, 0, 2, 4))
	g.turned(g.keyed(5, 1, 3, 5))
	g.pass(20, nil)
	for _, a := range append([]*rigSend(nil), g.open...) {
		g.end(a, ConnectionReset)
	}
	g.turn()
	g.pass(400, g.after(60))
	if q := g.turned(g.keyed(77, 0, 2, 4)); q.how != "" {
		t.Fatalf("the key's next query was ended at once: %s", q.how)
	}
}
