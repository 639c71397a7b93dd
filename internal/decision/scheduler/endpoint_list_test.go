package scheduler

import (
	"math"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDrainingReplicaGetsNothingUntilReadyAgain guarantees that draining and removed replicas get nothing new, and
// that a replica that is ready again is used like the others.
func TestDrainingReplicaGetsNothingUntilReadyAgain(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.updateEndpoints(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Draining}, Endpoint{Replica: 2, Cell: 1, State: Removed})
	for range 40 {
		h.submit(classDefault, 0)
		h.runRound()
		h.advance(50, h.replyAfter(40))
	}
	for _, a := range h.sent {
		if a.replica != 3 {
			t.Fatalf("part sent to replica %d, want only 3", a.replica)
		}
	}
	h.updateEndpoints(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Ready})
	before := len(h.sent)
	for range 10 {
		h.submit(classDefault, 0)
		h.runRound()
		h.advance(20, nil)
	}
	if countSentTo(1, h.sent[before:]) == 0 {
		t.Fatal("nothing sent to a replica that is ready again")
	}
}

// TestFailedPollBacksOff guarantees that a failed poll is repeated, after a delay and once only, and that nothing is
// polled while a watch runs.
func TestFailedPollBacksOff(t *testing.T) {
	settings := testSettings()
	settings.PollEndpoints = true
	settings.MaxStaleness = 10000
	h := newHarness(t, settings)
	h.listFleet(UpdateCached)
	if h.polls != 1 {
		t.Fatalf("%d polls after a start with a cached list, want 1", h.polls)
	}
	for range 5 {
		h.updateEndpoints(UpdateFailed)
		h.runRound()
		before := h.polls
		h.advance(100, nil)
		if h.polls != before {
			t.Fatal("polled again at once after a failure")
		}
		h.advance(4000, nil)
		if h.polls != before+1 {
			t.Fatalf("%d polls in 4 s after a failure, want 1", h.polls-before)
		}
	}
	h.updateEndpoints(UpdateDelta)
	before := h.polls
	h.runRound()
	h.advance(20000, nil)
	if h.polls != before {
		t.Fatal("polled while a watch runs")
	}
}

// TestRecoversFromStaleListWithSpentRetryBudget guarantees that queries are answered soon after an update that
// names the new processes, although failures at the old ones have spent the retry budget by then.
func TestRecoversFromStaleListWithSpentRetryBudget(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	for range 10 { // replicas 2 and 3 have been replaced, which the endpoint list does not show yet
		h.submit(classDefault, 0, 1, 2)
		h.runRound()
		h.advance(20, func(a *sentAttempt) { h.endAttempt(a, ConnectFailed) })
	}
	h.updateEndpoints(UpdateFull,
		Endpoint{Replica: 1, Cell: 0, State: Ready},
		Endpoint{Replica: 22, Cell: 1, State: Ready, StartedAt: h.now},
		Endpoint{Replica: 33, Cell: 2, State: Ready, StartedAt: h.now},
		Endpoint{Replica: 4, Cell: 3, State: Ready},
		Endpoint{Replica: 5, Cell: 4, State: Ready},
		Endpoint{Replica: 6, Cell: 5, State: Ready})
	h.runRound()
	h.advance(4000, h.replyAfter(50))
	answered := 0
	for range 40 {
		q := h.submit(classDefault, 0, 1, 2)
		h.runRound()
		h.advance(150, h.replyAfter(50))
		if q.end == endAnswer {
			answered++
		}
	}
	if answered < 36 {
		t.Fatalf("%d of 40 queries answered after the update, want 36 at least", answered)
	}
}

// TestReplacingMostReplicasAtOnceLosesNoQuery guarantees that an update which replaces four of six replicas loses
// neither what is in flight at the old ones nor what comes next, and that the new ones are used.
func TestReplacingMostReplicasAtOnceLosesNoQuery(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var queries []*testQuery
	for i := range 4 {
		queries = append(queries, h.submit(classDefault, i, i+1, i+2))
	}
	h.runRound()
	endpoints := []Endpoint{{Replica: 5, Cell: 4, State: Ready}, {Replica: 6, Cell: 5, State: Ready}}
	for i := range 4 {
		endpoints = append(endpoints, Endpoint{Replica: uint32(101 + i), Cell: i, State: Ready, StartedAt: h.now - 100})
	}
	h.updateEndpoints(UpdateFull, endpoints...)
	before := len(h.sent)
	h.advance(100, h.replyAfter(20))
	for i := range 100 {
		queries = append(queries, h.submit(classDefault, i%6))
		h.runRound()
		h.advance(30, h.replyAfter(20))
	}
	h.advance(200, h.replyAfter(20))
	used := replicasUsed(h.sent[before:])
	for _, a := range h.sent[before:] {
		if a.replica <= 4 && a.sentAt > 1e6+h.settings.DrainGrace+1e5 {
			t.Fatalf("part sent to replica %d, which has been removed", a.replica)
		}
	}
	for _, q := range queries {
		h.requireEnd(q, endAnswer)
	}
	for id := uint32(101); id <= 104; id++ {
		if !used[id] {
			t.Errorf("replica %d is never used", id)
		}
	}
}

// TestLongEndpointListAndUnsetBrokerCount guarantees that a list may name far more replicas than the settings
// suggest, also in cells that hold nothing, and that a BrokerCount of 0 means one broker.
func TestLongEndpointListAndUnsetBrokerCount(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount = 0
	settings.BrokerIndex = 0
	h := newHarness(t, settings)
	var endpoints []Endpoint
	for i := 0; i < 3000; i++ {
		endpoints = append(endpoints, Endpoint{Replica: uint32(i + 1), Cell: i % 9, State: Ready})
	}
	h.updateEndpoints(UpdateFull, endpoints...)
	q := h.submit(classDefault, 0, 1, 2)
	h.runRound()
	h.advance(200, h.replyAfter(90))
	h.requireEnd(q, endAnswer)
}

// TestArbitraryZoneNumbersAreAccepted guarantees that the numbers of zones need not be small or positive.
func TestArbitraryZoneNumbersAreAccepted(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateFull, Endpoint{Replica: 1, State: Ready, Zone: -7}, Endpoint{Replica: 2, State: Ready, Zone: 1 << 40})
	q := h.decide(h.submit(classDefault, 0))
	h.advance(200, h.replyAfter(100))
	h.requireEnd(q, endAnswer)
}

// TestSuspendedShardIsRejectedUntilReplicaReturns guarantees that a query for a shard whose replicas are all
// suspended is rejected at once with a retry-after, while others are served; and that, once one replica is back and
// warming up, it serves within its slow-start allowance and the other still gets nothing.
func TestSuspendedShardIsRejectedUntilReplicaReturns(t *testing.T) {
	settings := testSettings()
	settings.Shards = 6
	settings.Cells = 6
	settings.CellsPerShard = 2
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.updateEndpoints(UpdateDelta, Endpoint{Replica: 1, Cell: 0, State: Draining}, Endpoint{Replica: 2, Cell: 1, State: Draining})
	h.advance(settings.DrainGrace+100, h.replyAfter(40))
	h.sent = nil
	suspended := h.submit(classDefault, 0)
	elsewhere := h.submit(classDefault, 3)
	h.runRound()
	retryAfter := h.rejected[suspended.Query.ID]
	if suspended.end != endReject || retryAfter <= 0 {
		t.Fatalf("a query without a replica ended with %q, retry-after %v ms", suspended.end, retryAfter)
	}
	h.advance(200, h.replyAfter(40))
	if elsewhere.end != endAnswer {
		t.Fatalf("a query of another shard ended with %q", elsewhere.end)
	}
	h.updateEndpoints(UpdateDelta, Endpoint{Replica: 2, Cell: 1, State: Ready, StartedAt: h.now - 200})
	served := 0
	for range 100 {
		q := h.submit(classDefault, 0)
		h.runRound()
		h.advance(50, h.replyAfter(40))
		if q.end == endAnswer {
			served++
		}
	}
	for _, a := range h.sent {
		if a.replica == 1 {
			t.Fatal("part sent to a suspended replica")
		}
	}
	// In parts of 100 ms, by the capacity 5 s after the start.
	slowStart := settings.SlowStart
	allowed := slowStart.WorkMultiple * slowStart.Window * (slowStart.InitialCapacity + 5000/slowStart.Duration) / 100
	peak := peakWindowCountAt(h.sent, 2, slowStart.Window)
	if served == 0 || float64(peak) > allowed {
		t.Fatalf("%d queries served by a warming replica, %d parts in a window, want at most %v", served, peak, allowed)
	}
}

// TestManyBrokersShareASlowDiscoveryService guarantees that a large fleet that starts at one moment gets its
// endpoint lists from a discovery service that serves 10 polls a second. Polls that wait until they fail use the
// service up all the same, so a pace that is fine for one broker starves all of them.
func TestManyBrokersShareASlowDiscoveryService(t *testing.T) {
	for _, brokers := range []int{3, 20, 80, 200} {
		t.Run(strconv.Itoa(brokers), func(t *testing.T) {
			seconds := 3 + brokers*int(2*discoveryServiceMs)/1000 + 12 // twice the service time of all, and a delay
			counts := countWatchingBrokers(t, brokers, brokers, seconds)
			last := counts[len(counts)-1]
			if last < brokers*9/10 {
				t.Fatalf("%d of %d brokers watch after %d s: %v", last, brokers, seconds, counts)
			}
			t.Log(counts)
		})
	}
	// The model can fail: 80 brokers that pace themselves as if they were 3 do not get through.
	counts := countWatchingBrokers(t, 80, 3, 25)
	if counts[len(counts)-1] > 60 {
		t.Fatalf("80 unpaced brokers got through: %v", counts)
	}
}

// TestFirstPollPrecedesMaxStaleness guarantees that, however many brokers there are, the first poll after a start
// comes before the broker counts as notified of changes.
func TestFirstPollPrecedesMaxStaleness(t *testing.T) {
	counts := countWatchingBrokers(t, 1, 2000, 9)
	if counts[len(counts)-1] != 1 {
		t.Fatalf("not polled within 9 s: %v", counts)
	}
}

// TestPollBackoffGrows guarantees that delays after failed polls grow to a bound, which is higher in a large fleet
// that has a list, are jittered by half at most, and start again after a success.
func TestPollBackoffGrows(t *testing.T) {
	for name, test := range map[string]struct {
		brokers  int
		replicas []*replica
		want     []float64
	}{
		"small fleet":                {2, []*replica{{}}, []float64{500, 1000, 1500, 1500}},
		"large fleet":                {300, []*replica{{}}, []float64{1500, 1800, 3600, 14400, 20000, 20000}},
		"large fleet without a list": {300, nil, []float64{500, 1000, 1500, 1500}},
	} {
		s := &Scheduler{settings: Settings{BrokerCount: test.brokers, MaxStaleness: 10000}}
		s.replicas.ordered = test.replicas
		for i, want := range test.want {
			s.schedulePollAfterFailure(0)
			assert.InDelta(t, want, s.poll.backoffMs, 1e-6, "%s, failure %d", name, i)
			assert.GreaterOrEqual(t, s.poll.dueAt, 0.5*want, "%s, failure %d", name, i)
			assert.LessOrEqual(t, s.poll.dueAt, want, "%s, failure %d", name, i)
		}
		s.schedulePollAfterUpdate(0, UpdateDelta, 1)
		assert.Equal(t, endpointPoll{dueAt: math.Inf(1)}, s.poll, name)
	}
}
