package scheduler

import (
	"fmt"
	"testing"
)

func TestDrainsAreKeptAndReplicasComeBack(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.list(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Draining}, Endpoint{Replica: 2, Cell: 1, State: Removed})
	for range 40 {
		g.query(0, 0)
		g.turn()
		g.pass(50, g.after(40))
	}
	for _, a := range g.sends {
		if a.replica != 3 {
			t.Fatalf("replica %d got a part", a.replica)
		}
	}
	g.list(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Ready})
	n := len(g.sends)
	for range 10 {
		g.query(0, 0)
		g.turn()
		g.pass(20, nil)
	}
	back := false
	for _, a := range g.sends[n:] {
		back = back || a.replica == 1
	}
	if !back {
		t.Fatal("a replica that is ready again gets nothing")
	}
}

func TestWatchIsRenewedWithGrowingDelay(t *testing.T) {
	s := settings()
	s.PollEndpoints, s.MaxStaleness = true, 10000
	g := newRig(t, s)
	g.fleet(UpdateCached)
	if g.watches != 1 {
		t.Fatalf("%d calls after a start with a cached list", g.watches)
	}
	for range 5 { // every call fails
		g.list(UpdateFailed)
		g.turn()
		n := g.watches
		g.pass(100, nil)
		if g.watches != n {
			t.Fatal("asked again at once")
		}
		g.pass(4000, nil)
		if g.watches != n+1 {
			t.Fatalf("%d calls in 4 s after a failure", g.watches-n)
		}
	}
	g.list(UpdateDelta)
	n := g.watches
	g.turn()
	g.pass(20000, nil)
	if g.watches != n {
		t.Fatal("asked again while subscribed")
	}
}

func TestStaleListDuringReleaseAndBudgetSpent(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	for range 10 { // budget spent on failures while replicas 2 and 3 are replaced without the list saying so
		g.query(0, 0, 1, 2)
		g.turn()
		g.pass(20, func(a *rigSend) { g.end(a, ConnectFailed) })
	}
	g.list(UpdateFull, Endpoint{Replica: 1, Cell: 0, State: Ready}, Endpoint{Replica: 22, Cell: 1, State: Ready, StartedAt: g.now},
		Endpoint{Replica: 33, Cell: 2, State: Ready, StartedAt: g.now}, Endpoint{Replica: 4, Cell: 3, State: Ready},
		Endpoint{Replica: 5, Cell: 4, State: Ready}, Endpoint{Replica: 6, Cell: 5, State: Ready})
	g.turn()
	g.pass(4000, g.after(50))
	answered := 0
	for range 40 {
		q := g.query(0, 0, 1, 2)
		g.turn()
		g.pass(150, g.after(50))
		if q.how == "answer" {
			answered++
		}
	}
	if answered < 36 {
		t.Fatalf("%d of 40 answered after the release", answered)
	}
}

// TestTwoThirdsOfTheListReplacedAtOnce: one answer names other machines in the place of four of six; what was out
// at the old ones and what comes next is answered, by the new ones too.
func TestTwoThirdsOfTheListReplacedAtOnce(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var qs []*rigQuery
	for i := range 4 {
		qs = append(qs, g.query(0, i, i+1, i+2))
	}
	g.turn()
	es := []Endpoint{{Replica: 5, Cell: 4, State: Ready}, {Replica: 6, Cell: 5, State: Ready}}
	for i := range 4 {
		es = append(es, Endpoint{Replica: uint32(101 + i), Cell: i, State: Ready, StartedAt: g.now - 100})
	}
	g.list(UpdateFull, es...)
	old := len(g.sends)
	g.pass(100, g.after(20))
	for i := range 100 {
		qs = append(qs, g.query(0, i%6))
		g.turn()
		g.pass(30, g.after(20))
	}
	g.pass(200, g.after(20))
	used := map[uint32]bool{}
	for _, a := range g.sends[old:] {
		if used[a.replica] = true; a.replica <= 4 && a.at > 1e6+g.s.DrainGrace+1e5 {
			t.Fatalf("sent to %d, which is gone", a.replica)
		}
	}
	for _, q := range qs {
		g.mustEnd(q, "answer")
	}
	for id := uint32(101); id <= 104; id++ {
		if !used[id] {
			t.Errorf("replica %d is never used", id)
		}
	}
}

// A list that names far more replicas than the settings suggest is taken as it is; no peers means one co-ordinator.
func TestManyReplicasAndNoPeers(t *testing.T) {
	s := settings()
	s.BrokerCount, s.BrokerIndex = 0, 0
	g := newRig(t, s)
	var es []Endpoint
	for i := 0; i < 3000; i++ {
		es = append(es, Endpoint{Replica: uint32(i + 1), Cell: i % 9, State: Ready}) // cells 6 to 8 hold nothing
	}
	g.list(UpdateFull, es...)
	q := g.query(0, 0, 1, 2)
	g.turn()
	g.pass(200, g.after(90))
	g.mustEnd(q, "answer")
}

// Zones of any number in the list are taken as they are.
func TestOddZonesInTheList(t *testing.T) {
	g := newRig(t, settings())
	g.list(UpdateFull, Endpoint{Replica: 1, State: Ready, Zone: -7}, Endpoint{Replica: 2, State: Ready, Zone: 1 << 40})
	q := g.turned(g.query(0, 0))
	g.pass(200, g.after(100))
	g.mustEnd(q, "answer")
}

// TestAllReplicasOfASetSuspended: a query for a set whose replicas are all suspended is refused at once with advice, others are
// served; with one of the last two back and cold it is served within the cold share, and nothing goes to the other.
func TestAllReplicasOfASetSuspended(t *testing.T) {
	s := settings()
	s.Shards, s.Cells, s.CellsPerShard = 6, 6, 2
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	g.list(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Draining}, Endpoint{Replica: 2, Cell: 1, State: Draining})
	g.pass(s.DrainGrace+100, g.after(40))
	g.sends = nil
	gone, whole := g.query(0, 0), g.query(0, 3)
	g.turn()
	if gone.how != "refuse" || g.refused[gone.q.ID] <= 0 {
		t.Fatalf("a query without a replica ended as %q, to come back after %v", gone.how, g.refused[gone.q.ID])
	}
	g.pass(200, g.after(40))
	if whole.how != "answer" {
		t.Fatalf("a query elsewhere ended as %q", whole.how)
	}
	g.list(UpdateDelta, Endpoint{Replica: 2, Cell: 1, State: Ready, StartedAt: g.now - 200})
	served := 0
	for range 100 {
		q := g.query(0, 0)
		g.turn()
		g.pass(50, g.after(40))
		if q.how == "answer" {
			served++
		}
	}
	for _, a := range g.sends {
		if a.replica == 1 {
			t.Fatal("a suspended replica was sent to")
		}
	}
	most := s.SlowStart.WorkMultiple * s.SlowStart.Window * (s.SlowStart.InitialCapacity + 5000/s.SlowStart.Duration) / 100 // parts of 100 ms, as it is 5 s on
	if got := windowMostTo(g.sends, 2, s.SlowStart.Window); served == 0 || float64(got) > most {
		t.Fatalf("%d served by the cold one, %d in a window, %v allowed", served, got, most)
	}
}

// TestCrowdGetsItsListFromANarrowService: all of a large fleet start at once before a list service that can
// take 10 calls a second. Calls that wait until they fail use it up all the same, so what each may do alone
// starves all of them.
func TestCrowdGetsItsListFromANarrowService(t *testing.T) {
	for _, peers := range []int{3, 20, 80, 200} {
		t.Run(fmt.Sprint(peers), func(t *testing.T) {
			within := 3 + peers*int(2*listServes)/1000 + 12 // 2 x in turn, and a delay
			counts := subscribe(t, peers, peers, within)
			if last := counts[len(counts)-1]; last < peers*9/10 {
				t.Fatalf("%d of %d watch after %d s: %v", last, peers, within, counts)
			}
			t.Log(counts)
		})
	}
	// The check is seen to fail: 80 that pace themselves as if they were few never get through.
	if counts := subscribe(t, 80, 3, 25); counts[len(counts)-1] > 60 {
		t.Fatalf("80 unpaced co-ordinators got through: %v", counts)
	}
}

// TestFirstCallIsWithinTheRule: however many peers there are, a start asks before silence counts as being told.
func TestFirstCallIsWithinTheRule(t *testing.T) {
	if counts := subscribe(t, 1, 2000, 9); counts[len(counts)-1] != 1 {
		t.Fatalf("not asked within 9 s: %v", counts)
	}
}
