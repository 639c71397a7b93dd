package scheduler

import (
	"fmt"
	"testing"
)

func TestDrainingReplicaGetsNothingUntilReadyAgain(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.updateEndpoints(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Draining}, Endpoint{Replica: 2, Cell: 1, State: Removed})
	for range 40 {
		h.submit(0, 0)
		h.runRound()
		h.advance(50, h.replyAfter(40))
	}
	for _, a := range h.sent {
		if a.replica != 3 {
			t.Fatalf("replica %d got a part", a.replica)
		}
	}
	h.updateEndpoints(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Ready})
	n := len(h.sent)
	for range 10 {
		h.submit(0, 0)
		h.runRound()
		h.advance(20, nil)
	}
	back := false
	for _, a := range h.sent[n:] {
		back = back || a.replica == 1
	}
	if !back {
		t.Fatal("a replica that is ready again gets nothing")
	}
}

func TestFailedPollBacksOff(t *testing.T) {
	settings := testSettings()
	settings.PollEndpoints, settings.MaxStaleness = true, 10000
	h := newHarness(t, settings)
	h.listFleet(UpdateCached)
	if h.polls != 1 {
		t.Fatalf("%d calls after a start with a cached list", h.polls)
	}
	for range 5 { // every call fails
		h.updateEndpoints(UpdateFailed)
		h.runRound()
		n := h.polls
		h.advance(100, nil)
		if h.polls != n {
			t.Fatal("asked again at once")
		}
		h.advance(4000, nil)
		if h.polls != n+1 {
			t.Fatalf("%d calls in 4 s after a failure", h.polls-n)
		}
	}
	h.updateEndpoints(UpdateDelta)
	n := h.polls
	h.runRound()
	h.advance(20000, nil)
	if h.polls != n {
		t.Fatal("asked again while subscribed")
	}
}

func TestRecoversFromStaleListWithSpentRetryBudget(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	for range 10 { // budget spent on failures while replicas 2 and 3 are replaced without the list saying so
		h.submit(0, 0, 1, 2)
		h.runRound()
		h.advance(20, func(a *sentAttempt) { h.endAttempt(a, ConnectFailed) })
	}
	h.updateEndpoints(UpdateFull, Endpoint{Replica: 1, Cell: 0, State: Ready}, Endpoint{Replica: 22, Cell: 1, State: Ready, StartedAt: h.now},
		Endpoint{Replica: 33, Cell: 2, State: Ready, StartedAt: h.now}, Endpoint{Replica: 4, Cell: 3, State: Ready},
		Endpoint{Replica: 5, Cell: 4, State: Ready}, Endpoint{Replica: 6, Cell: 5, State: Ready})
	h.runRound()
	h.advance(4000, h.replyAfter(50))
	answered := 0
	for range 40 {
		q := h.submit(0, 0, 1, 2)
		h.runRound()
		h.advance(150, h.replyAfter(50))
		if q.end == "answer" {
			answered++
		}
	}
	if answered < 36 {
		t.Fatalf("%d of 40 answered after the release", answered)
	}
}

// TestReplacingMostReplicasAtOnceLosesNoQuery: one answer names other machines in the place of four of six; what was out
// at the old ones and what comes next is answered, by the new ones too.
func TestReplacingMostReplicasAtOnceLosesNoQuery(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var queries []*testQuery
	for i := range 4 {
		queries = append(queries, h.submit(0, i, i+1, i+2))
	}
	h.runRound()
	endpoints := []Endpoint{{Replica: 5, Cell: 4, State: Ready}, {Replica: 6, Cell: 5, State: Ready}}
	for i := range 4 {
		endpoints = append(endpoints, Endpoint{Replica: uint32(101 + i), Cell: i, State: Ready, StartedAt: h.now - 100})
	}
	h.updateEndpoints(UpdateFull, endpoints...)
	old := len(h.sent)
	h.advance(100, h.replyAfter(20))
	for i := range 100 {
		queries = append(queries, h.submit(0, i%6))
		h.runRound()
		h.advance(30, h.replyAfter(20))
	}
	h.advance(200, h.replyAfter(20))
	used := map[uint32]bool{}
	for _, a := range h.sent[old:] {
		if used[a.replica] = true; a.replica <= 4 && a.sentAt > 1e6+h.settings.DrainGrace+1e5 {
			t.Fatalf("sent to %d, which is gone", a.replica)
		}
	}
	for _, q := range queries {
		h.requireEnd(q, "answer")
	}
	for id := uint32(101); id <= 104; id++ {
		if !used[id] {
			t.Errorf("replica %d is never used", id)
		}
	}
}

// A list that names far more replicas than the settings suggest is taken as it is; no peers means one co-ordinator.
func TestLongEndpointListAndUnsetBrokerCount(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount, settings.BrokerIndex = 0, 0
	h := newHarness(t, settings)
	var endpoints []Endpoint
	for i := 0; i < 3000; i++ {
		endpoints = append(endpoints, Endpoint{Replica: uint32(i + 1), Cell: i % 9, State: Ready}) // cells 6 to 8 hold nothing
	}
	h.updateEndpoints(UpdateFull, endpoints...)
	q := h.submit(0, 0, 1, 2)
	h.runRound()
	h.advance(200, h.replyAfter(90))
	h.requireEnd(q, "answer")
}

// Zones of any number in the list are taken as they are.
func TestArbitraryZoneNumbersAreAccepted(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateFull, Endpoint{Replica: 1, State: Ready, Zone: -7}, Endpoint{Replica: 2, State: Ready, Zone: 1 << 40})
	q := h.decided(h.submit(0, 0))
	h.advance(200, h.replyAfter(100))
	h.requireEnd(q, "answer")
}

// TestSuspendedShardIsRejectedUntilReplicaReturns: a query for a set whose replicas are all suspended is refused at once with advice, others are
// served; with one of the last two back and cold it is served within the cold share, and nothing goes to the other.
func TestSuspendedShardIsRejectedUntilReplicaReturns(t *testing.T) {
	settings := testSettings()
	settings.Shards, settings.Cells, settings.CellsPerShard = 6, 6, 2
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.updateEndpoints(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Draining}, Endpoint{Replica: 2, Cell: 1, State: Draining})
	h.advance(settings.DrainGrace+100, h.replyAfter(40))
	h.sent = nil
	gone, whole := h.submit(0, 0), h.submit(0, 3)
	h.runRound()
	if gone.end != "reject" || h.rejected[gone.Query.ID] <= 0 {
		t.Fatalf("a query without a replica ended as %q, to come back after %v", gone.end, h.rejected[gone.Query.ID])
	}
	h.advance(200, h.replyAfter(40))
	if whole.end != "answer" {
		t.Fatalf("a query elsewhere ended as %q", whole.end)
	}
	h.updateEndpoints(UpdateDelta, Endpoint{Replica: 2, Cell: 1, State: Ready, StartedAt: h.now - 200})
	served := 0
	for range 100 {
		q := h.submit(0, 0)
		h.runRound()
		h.advance(50, h.replyAfter(40))
		if q.end == "answer" {
			served++
		}
	}
	for _, a := range h.sent {
		if a.replica == 1 {
			t.Fatal("a suspended replica was sent to")
		}
	}
	most := settings.SlowStart.WorkMultiple * settings.SlowStart.Window * (settings.SlowStart.InitialCapacity + 5000/settings.SlowStart.Duration) / 100 // parts of 100 ms, as it is 5 s on
	if got := peakWindowCountAt(h.sent, 2, settings.SlowStart.Window); served == 0 || float64(got) > most {
		t.Fatalf("%d served by the cold one, %d in a window, %v allowed", served, got, most)
	}
}

// TestManyBrokersShareASlowDiscoveryService: all of a large fleet start at once before a list service that can
// take 10 calls a second. Calls that wait until they fail use it up all the same, so what each may do alone
// starves all of them.
func TestManyBrokersShareASlowDiscoveryService(t *testing.T) {
	for _, peers := range []int{3, 20, 80, 200} {
		t.Run(fmt.Sprint(peers), func(t *testing.T) {
			within := 3 + peers*int(2*discoveryServiceMs)/1000 + 12 // 2 x in turn, and a delay
			counts := countWatchingBrokers(t, peers, peers, within)
			if last := counts[len(counts)-1]; last < peers*9/10 {
				t.Fatalf("%d of %d watch after %d s: %v", last, peers, within, counts)
			}
			t.Log(counts)
		})
	}
	// The check is seen to fail: 80 that pace themselves as if they were few never get through.
	if counts := countWatchingBrokers(t, 80, 3, 25); counts[len(counts)-1] > 60 {
		t.Fatalf("80 unpaced co-ordinators got through: %v", counts)
	}
}

// TestFirstPollPrecedesMaxStaleness: however many peers there are, a start asks before silence counts as being told.
func TestFirstPollPrecedesMaxStaleness(t *testing.T) {
	if counts := countWatchingBrokers(t, 1, 2000, 9); counts[len(counts)-1] != 1 {
		t.Fatalf("not asked within 9 s: %v", counts)
	}
}
