package scheduler

import (
	"math"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDrainingReplicaGetsNothingUntilReadyAgain checks that nothing more is sent to draining and removed replicas,
// and that a replica that is ready again is used.
func TestDrainingReplicaGetsNothingUntilReadyAgain(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.updateEndpoints(UpdateDelta,
		Endpoint{Replica: 1, Cell: 0, State: Draining},
		Endpoint{Replica: 2, Cell: 1, State: Removed})
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
		t.Fatal("no part sent to a replica that is ready again")
	}
}

// TestFailedPollBacksOff checks that a failed poll is followed by exactly one poll after a delay, and that the
// endpoint list is not polled while a watch runs.
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

// TestOverriddenEndpointsKeepPollScheduled checks that a suspension changes neither when the endpoint list is polled
// after a failure nor that it is not polled while a watch runs.
func TestOverriddenEndpointsKeepPollScheduled(t *testing.T) {
	settings := testSettings()
	settings.PollEndpoints = true
	settings.MaxStaleness = 10000
	h := newHarness(t, settings)
	h.listFleet(UpdateCached)
	suspended := []Endpoint{{Replica: 1, Cell: 0, State: Draining}}
	h.updateEndpoints(UpdateFailed)
	h.runRound()
	h.scheduler.EndpointsOverridden(h.now, suspended)
	before := h.polls
	h.advance(pollBackoffMaxMs, nil)
	assert.Equal(t, before+1, h.polls, "the poll after a failure")

	h.updateEndpoints(UpdateDelta)
	h.scheduler.EndpointsOverridden(h.now, suspended)
	h.runRound()
	before = h.polls
	h.advance(20000, nil)
	assert.Equal(t, before, h.polls, "polled while a watch runs")
}

// TestRecoversFromStaleListWithSpentRetryBudget checks that queries are answered again soon after an update names the
// new processes of replicas, although failures at the old processes have spent the retry budget.
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
		t.Fatalf("%d of 40 queries answered after the update, want at least 36", answered)
	}
}

// TestReplacingMostReplicasAtOnceLosesNoQuery checks that an update that replaces four of six replicas loses neither
// the queries with parts in flight at the old replicas nor later queries, and that the new replicas are used.
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
			t.Errorf("no part sent to replica %d", id)
		}
	}
}

// TestLongEndpointListAndUnsetBrokerCount checks that queries are answered if the list names far more replicas than
// the settings suggest, some in cells that hold no shard, and if BrokerCount is 0, which means one broker.
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

// TestArbitraryZoneNumbersAreAccepted checks that zone numbers may be negative or large.
func TestArbitraryZoneNumbersAreAccepted(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(UpdateFull,
		Endpoint{Replica: 1, State: Ready, Zone: -7},
		Endpoint{Replica: 2, State: Ready, Zone: 1 << 40})
	q := h.decide(h.submit(classDefault, 0))
	h.advance(200, h.replyAfter(100))
	h.requireEnd(q, endAnswer)
}

// TestSuspendedShardIsRejectedUntilReplicaReturns checks that a query of a shard whose replicas are all suspended is
// rejected at once with a retry-after, while other shards are served. Once one of the replicas is back and warming
// up, it serves the shard within its slow-start allowance; the other replica is still sent nothing.
func TestSuspendedShardIsRejectedUntilReplicaReturns(t *testing.T) {
	settings := testSettings()
	settings.Shards = 6
	settings.Cells = 6
	settings.CellsPerShard = 2
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.updateEndpoints(UpdateDelta,
		Endpoint{Replica: 1, Cell: 0, State: Draining},
		Endpoint{Replica: 2, Cell: 1, State: Draining})
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
	// The allowance in parts of 100 ms, at the capacity 5 s after the start.
	slowStart := settings.SlowStart
	allowed := slowStart.WorkMultiple * slowStart.Window * (slowStart.InitialCapacity + 5000/slowStart.Duration) / 100
	peak := peakWindowCountAt(h.sent, 2, slowStart.Window)
	if served == 0 || float64(peak) > allowed {
		t.Fatalf("%d queries served by a warming replica, %d parts in a window, want at most %v", served, peak, allowed)
	}
}

// TestManyBrokersShareASlowDiscoveryService checks that all brokers of a large fleet that start at the same time
// receive their endpoint lists from a discovery service that serves 10 polls per second. Polls that time out in its
// queue still take service time, so a poll rate that suits one broker would starve all of them.
func TestManyBrokersShareASlowDiscoveryService(t *testing.T) {
	for _, brokers := range []int{3, 20, 80, 200} {
		t.Run(strconv.Itoa(brokers), func(t *testing.T) {
			seconds := 3 + brokers*int(2*discoveryServiceMs)/1000 + 12 // twice the service time of all polls, and a delay
			counts := countWatchingBrokers(t, brokers, brokers, seconds)
			last := counts[len(counts)-1]
			if last < brokers*9/10 {
				t.Fatalf("%d of %d brokers watch after %d s: %v", last, brokers, seconds, counts)
			}
			t.Log(counts)
		})
	}
	// The model can show the failure: most of 80 brokers that poll as often as brokers of a fleet of 3 would starve.
	counts := countWatchingBrokers(t, 80, 3, 25)
	if counts[len(counts)-1] > 60 {
		t.Fatalf("80 brokers that poll too often watch the list: %v", counts)
	}
}

// TestFirstPollPrecedesMaxStaleness checks that even a broker of a very large fleet first polls before MaxStaleness
// has passed since its start, at which it counts as notified of changes.
func TestFirstPollPrecedesMaxStaleness(t *testing.T) {
	counts := countWatchingBrokers(t, 1, 2000, 9)
	if counts[len(counts)-1] != 1 {
		t.Fatalf("not polled within 9 s: %v", counts)
	}
}

// TestPollBackoffGrows checks that delays after failed polls grow up to a bound, which is higher in a large fleet
// that has a list. They are jittered by at most half and start again after a success.
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
