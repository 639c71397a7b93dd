package scheduler

import "testing"

// A slow way to another zone is told from slow replicas by all of that zone being slow from here: its replicas leave the
// choice within seconds, though each has had but a few parts, and come back when the way is sound.
func TestSlowZoneIsAvoidedAndReadmitted(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount, settings.Shards, settings.Cells, settings.CellsPerShard, settings.LocalZone = 40, 10, 10, 1, 2 // two other zones, equally good
	h := newHarness(t, settings)
	var endpoints []Endpoint
	for i := range uint32(200) {
		endpoints = append(endpoints, Endpoint{Replica: i + 1, Cell: int(i % 10), Zone: int(i/10) % 2, State: Ready})
	}
	h.updateEndpoints(UpdateFull, endpoints...)
	h.runRound()
	across := func(n int, ms float64) (sent int) {
		before := len(h.sent)
		for i := range n {
			h.submit(0, i%10, (i+3)%10)
			h.runRound()
			h.advance(50, func(a *sentAttempt) {
				if zone := (a.replica - 1) / 10 % 2; h.now >= a.sentAt+100 && zone == 0 || h.now >= a.sentAt+ms {
					h.endAttempt(a, Succeeded)
				}
			})
		}
		for _, a := range h.sent[before:] {
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
func TestStalledReplicaDoesNotSlowItsZone(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	r := h.scheduler.replicas.byID[3]
	for range 40 {
		h.scheduler.zones.observe(h.now, r, 30)
	}
	if way := h.scheduler.zones.latency(h.now, r.Zone); way > 1.2 || !r.outliers.countedAsSlow {
		t.Fatalf("40 parts out of one stall make the way %v", way)
	}
	h.scheduler.zones.observe(h.now, r, 1)
	if r.outliers.countedAsSlow {
		t.Fatal("an answer as usual leaves it slow")
	}
}

// A zone that goes silent shows in what is late there, long before a time-out tells of it.
func TestSilentZoneIsAvoidedBeforeTimeouts(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount, settings.Shards, settings.Cells, settings.CellsPerShard, settings.LocalZone = 40, 10, 10, 1, 2
	settings.Classes[0].LatencyObjective, settings.Classes[0].Deadline, settings.AllowHedging = 2900, 3000, false
	h := newHarness(t, settings)
	var endpoints []Endpoint
	for i := range uint32(200) {
		endpoints = append(endpoints, Endpoint{Replica: i + 1, Cell: int(i % 10), Zone: int(i/10) % 2, State: Ready})
	}
	h.updateEndpoints(UpdateFull, endpoints...)
	h.runRound()
	silent := func(a *sentAttempt) bool { return (a.replica-1)/10%2 == 1 }
	ask := func(n int, lost bool) (sent int) {
		before := len(h.sent)
		for i := range n {
			h.submit(0, i%10, (i+3)%10)
			h.runRound()
			h.advance(25, func(a *sentAttempt) {
				if h.now >= a.sentAt+100 && (!lost || !silent(a)) {
					h.endAttempt(a, Succeeded)
				}
			})
		}
		for _, a := range h.sent[before:] {
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
