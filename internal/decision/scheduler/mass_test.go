package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/fleetshare"
)

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

// TestFullReplicasElsewhereBarNoMove: some replicas turn parts away all the time while another hangs. What hangs moves,
// as the fleet is quick and nothing waits at its set; in a fleet that is slow it keeps still.
func TestFullReplicasElsewhereBarNoMove(t *testing.T) {
	for _, slow := range []bool{false, true} {
		s := settings()
		s.AllowHedging, s.BrokerCount = false, 300
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.warm()
		took := 40.0
		if slow {
			took = 400
		}
		reply := func(a *rigSend) {
			switch {
			case a.replica >= 4 && a.no == 0:
				g.end(a, Rejected)
			case a.replica != 1:
				g.after(took)(a)
			case slow:
				g.after(took)(a)
			}
		}
		for range 30 {
			g.query(0, 3)
			g.turn()
			g.pass(50, reply)
		}
		moved := 0
		for range 20 { // the ties' dice send some of them to the one that hangs
			g.query(0, 3) // at 4, 5 and 6 all are turned away at first
			q := g.query(0, 0)
			g.turn()
			g.pass(500, reply)
			if sends := q.parts[0].sends; len(sends) > 1 && sends[0].cancel {
				moved++
			}
		}
		assert.Equal(t, !slow, moved > 0, "%d moved, slow %v", moved, slow)
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

// TestSameSuspicionAtOnce: 80 co-ordinators see one sound replica stand still for 400 ms at the same moment. All leave it;
// it is not left for long, and they do not come back to it all at once.
func TestSameSuspicionAtOnce(t *testing.T) {
	f := newFleet(t, 80)
	f.run(5000, 60, 6)
	r := f.replicas[0]
	per := func(ms float64) float64 { // parts sent to it in so long, by what a neighbour gets
		r.sent, f.replicas[3].sent = 0, 0
		f.run(ms, 60, 6)
		return float64(r.sent) / max(1, float64(f.replicas[3].sent))
	}
	before := per(2000)
	r.busy = f.now + 400
	_ = per(1000)
	back, most := -1, 0.0
	for i := range 12 {
		x := per(500)
		if most = max(most, x); back < 0 && x > 0.5*before {
			back = i
		}
	}
	t.Logf("%.2f of a neighbour's before, back to half of that %d ms after, %.2f at most", before, back*500, most)
	assert.True(t, back >= 0 && back <= 6, "left for %d half seconds", back)
	assert.Less(t, most, 2.5*before, "all came back at once")
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
