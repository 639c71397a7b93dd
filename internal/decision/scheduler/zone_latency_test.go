package scheduler

import "testing"

// A slow way to another zone is told from slow replicas by all of that zone being slow from here: its replicas leave the
// choice within seconds, though each has had but a few parts, and come back when the way is sound.
func TestSlowWayToAZoneIsLeftAndComesBack(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Shards, s.Cells, s.CellsPerShard, s.LocalZone = 40, 10, 10, 1, 2 // two other zones, equally good
	g := newRig(t, s)
	var es []Endpoint
	for i := range uint32(200) {
		es = append(es, Endpoint{Replica: i + 1, Cell: int(i % 10), Zone: int(i/10) % 2, State: Ready})
	}
	g.list(UpdateFull, es...)
	g.turn()
	across := func(n int, ms float64) (sent int) {
		before := len(g.sends)
		for i := range n {
			g.query(0, i%10, (i+3)%10)
			g.turn()
			g.pass(50, func(a *rigSend) {
				if zone := (a.replica - 1) / 10 % 2; g.now >= a.at+100 && zone == 0 || g.now >= a.at+ms {
					g.end(a, Succeeded)
				}
			})
		}
		for _, a := range g.sends[before:] {
			if (a.replica-1)/10%2 == 1 {
				sent++
			}
		}
		return sent
	}
	across(100, 110)
	across(60, 700) // 3 s: about one part at each tenth replica there
	if n := across(60, 700); n > 10 {
		t.Fatalf("%d of 120 parts still went the slow way", n)
	}
	across(600, 110)
	if n := across(60, 110); n < 12 {
		t.Fatalf("%d of 120 parts go there after the way is sound", n)
	}
}

// One replica that stood still brings many late parts back at once: they say nothing of the others in its zone.
func TestAStallIsNoSlowWay(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	r := g.b.replicas.byID[3]
	for range 40 {
		g.b.zones.observe(g.now, r, 30)
	}
	if way := g.b.zones.latency(g.now, r.Zone); way > 1.2 || !r.outliers.countedAsSlow {
		t.Fatalf("40 parts out of one stall make the way %v", way)
	}
	g.b.zones.observe(g.now, r, 1)
	if r.outliers.countedAsSlow {
		t.Fatal("an answer as usual leaves it slow")
	}
}

// A zone that goes silent shows in what is late there, long before a time-out tells of it.
func TestSilentZoneIsLeftBeforeAnyTimeOut(t *testing.T) {
	s := settings()
	s.BrokerCount, s.Shards, s.Cells, s.CellsPerShard, s.LocalZone = 40, 10, 10, 1, 2
	s.Classes[0].LatencyObjective, s.Classes[0].Deadline, s.AllowHedging = 2900, 3000, false
	g := newRig(t, s)
	var es []Endpoint
	for i := range uint32(200) {
		es = append(es, Endpoint{Replica: i + 1, Cell: int(i % 10), Zone: int(i/10) % 2, State: Ready})
	}
	g.list(UpdateFull, es...)
	g.turn()
	silent := func(a *rigSend) bool { return (a.replica-1)/10%2 == 1 }
	ask := func(n int, lost bool) (sent int) {
		before := len(g.sends)
		for i := range n {
			g.query(0, i%10, (i+3)%10)
			g.turn()
			g.pass(25, func(a *rigSend) {
				if g.now >= a.at+100 && (!lost || !silent(a)) {
					g.end(a, Succeeded)
				}
			})
		}
		for _, a := range g.sends[before:] {
			if silent(a) {
				sent++
			}
		}
		return sent
	}
	ask(200, false)
	first := ask(30, true) // less than a second
	if n := ask(30, true); first < 8 || n > first/3 {
		t.Fatalf("%d parts to the silent zone at first, then %d", first, n)
	}
}
