package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestWarmingReplicaStaysWithinAllowance checks that replicas of a shard that have all just started are sent no more
// than this broker's share of their allowance. The harness checks it on every attempt.
func TestWarmingReplicaStaysWithinAllowance(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	for i := uint32(1); i <= 3; i++ {
		h.updateEndpoints(UpdateDelta, Endpoint{Replica: i, Cell: int(i) - 1, State: Ready, StartedAt: h.now})
	}
	for range 100 {
		h.submit(classDefault, 0)
		h.runRound()
		h.advance(20, h.replyAfter(15))
	}
}

// TestRestartedBrokerWaitsOneAllowanceWindow checks that a restart of the broker does not spend an allowance twice.
// The work that the previous process sent to a warming replica is unknown and still counts, so the new process sends
// the replica nothing for one window. After that it does.
func TestRestartedBrokerWaitsOneAllowanceWindow(t *testing.T) {
	settings := testSettings()
	settings.Cells = 1
	settings.Shards = 1
	settings.CellsPerShard = 1
	h := newHarness(t, settings)
	h.updateEndpoints(UpdateCached,
		Endpoint{Replica: 1, State: Ready, StartedAt: h.now - 2000},
		Endpoint{Replica: 2, State: Ready})
	sentToWarming := func(ms float64) int {
		before := len(h.sent)
		for range int(ms / 50) {
			h.submit(classDefault, 0)
			h.runRound()
			h.advance(50, h.replyAfter(100))
		}
		return countSentTo(1, h.sent[before:])
	}
	sent := sentToWarming(950)
	if sent > 0 {
		t.Fatalf("%d parts sent to a warming replica in the first window after a restart", sent)
	}
	sentToWarming(100)
	sent = sentToWarming(2000)
	if sent == 0 {
		t.Fatal("nothing sent to a warming replica after the first window")
	}
}

// fullAllowance returns the work in ms that all brokers together may send a warming replica of the highest speed in
// the window that ends ageMs after its start.
func fullAllowance(slowStart SlowStartSettings, ageMs float64) float64 {
	ramp := math.Min(1, ageMs/slowStart.Duration)
	capacity := slowStart.InitialCapacity + (1-slowStart.InitialCapacity)*ramp
	return maxReplicaSpeed * slowStart.WorkMultiple * capacity * slowStart.Window
}

// TestBrokersTogetherStayWithinAllowance checks that all brokers together send a warming replica no more than its
// allowance in any window, in fleets of 2 to 84 brokers, and that most brokers use the replica.
func TestBrokersTogetherStayWithinAllowance(t *testing.T) {
	for _, brokers := range []int{2, 22, 84} {
		settings := testSettings()
		settings.BrokerCount = brokers
		settings.CellsPerShard = 1
		settings.SlowStart.Window = 3000
		slowStart := settings.SlowStart
		startedAt := 1e6 - 100.0
		sent := []workSample{}
		brokersThatSent := 0
		for broker := range brokers {
			settings.BrokerIndex = broker
			h := newHarness(t, settings)
			var endpoints []Endpoint
			for i := 0; i < settings.Cells; i++ {
				endpoints = append(endpoints, Endpoint{Replica: uint32(i + 1), Cell: i, State: Ready, StartedAt: startedAt})
			}
			h.updateEndpoints(UpdateFull, endpoints...)
			for end := h.now + slowStart.Duration; h.now < end; {
				h.submit(classDefault, 0)
				h.runRound()
				h.advance(250, h.replyAfter(100))
			}
			hasSent := false
			for _, a := range h.sent {
				if a.replica == 1 && a.number == 0 {
					sent = append(sent, workSample{a.sentAt, 100})
					hasSent = true
				}
			}
			if hasSent {
				brokersThatSent++
			}
		}
		// Not all 84 brokers need to: the allowance of the whole slow start is about 80 slots of two parts at most.
		if 3*brokersThatSent < 2*brokers {
			t.Errorf("%d brokers: only %d sent to the warming replica", brokers, brokersThatSent)
		}
		peak := 0.0 // work in a window as a share of the allowance
		for _, last := range sent {
			sum := 0.0
			for _, sample := range sent {
				if sample.at > last.at-slowStart.Window && sample.at <= last.at {
					sum += sample.workMs
				}
			}
			peak = math.Max(peak, sum/fullAllowance(slowStart, last.at-startedAt))
		}
		if peak > 1 || peak == 0 {
			t.Errorf("%d brokers: %v of the allowance sent in a window, want more than 0 and at most 1", brokers, peak)
		}
	}
}

// TestWarmingReplicasBesideWarmOnesStayWithinAllowance checks the same if half of the replicas are warm and all
// replicas are busy. More brokers then use a warming replica, as each sends it little.
func TestWarmingReplicasBesideWarmOnesStayWithinAllowance(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount = 84
	settings.SlowStart.Window = 3000
	startedAt := 1e6 - 100.0
	sent := []float64{}
	for broker := range settings.BrokerCount {
		settings.BrokerIndex = broker
		h := newHarness(t, settings)
		for i := 0; i < settings.Cells; i++ {
			e := Endpoint{Replica: uint32(i + 1), Cell: i, State: Ready}
			if i%2 == 0 {
				e.StartedAt = startedAt
			}
			h.updateEndpoints(UpdateDelta, e)
		}
		for end := h.now + settings.SlowStart.Duration; h.now < end; {
			// All brokers together request 6 ms of work per ms, the most that three warm replicas can do.
			h.submit(classDefault, broker%6, (broker+3)%6)
			h.runRound()
			h.advance(2800, h.replyAfter(100))
		}
		for _, a := range h.sent {
			if a.replica == 1 {
				sent = append(sent, a.sentAt)
			}
		}
	}
	if len(sent) < 40 {
		t.Errorf("%d parts of all brokers sent to the warming replica, want at least 40", len(sent))
	}
	for _, at := range sent {
		work := 100 * float64(countAfter(sent, at-settings.SlowStart.Window)-countAfter(sent, at))
		if work > fullAllowance(settings.SlowStart, at-startedAt) {
			t.Fatalf("%v ms of work sent in the window that ends %v ms after the start, want at most %v", work,
				at-startedAt, fullAllowance(settings.SlowStart, at-startedAt))
		}
	}
}

// TestFleetUsesWarmingReplicaWithinAllowance checks 80 brokers that are informed of a replica's start at the same
// time. Together they stay within its allowance in every window, also if no replica of a shard is warm, and they use
// its capacity. The replica warms up as slowly as the rules allow.
func TestFleetUsesWarmingReplicaWithinAllowance(t *testing.T) {
	for _, test := range []struct {
		name    string
		rate    float64 // queries of six parts per second; a warm replica serves 100 parts per second
		minUse  float64 // least share of its capacity that a warming replica is sent in its first 6 s
		warming []int   // indices of the warming replicas
	}{
		{"one replica", 60, 0.35, []int{0}},
		{"all replicas of a shard", 60, 0.35, []int{0, 1, 2}},
		{"busy", 80, 0.4, []int{0}},
		{"congested", 105, 0.4, []int{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleetModel(t, 80)
			f.run(6000, test.rate, 6)
			for _, i := range test.warming {
				f.restart(f.replicas[i])
			}
			f.updateEndpoints()
			begin := f.now
			f.run(6000, test.rate, 6)
			for _, i := range test.warming {
				r := f.replicas[i]
				capacity := 0.0
				for at := begin; at < f.now; at++ {
					capacity += f.capacityAt(r, at)
				}
				use := float64(r.attempts) * modelPartWorkMs / capacity
				peak := f.peakAllowanceUse(r, begin)
				t.Logf("replica %d: %.2f of its capacity used, at most %.2f of its allowance", i, use, peak)
				if peak > 0.9 || use < test.minUse {
					t.Errorf("replica %d: %.2f of its allowance used, want at most 0.9; %.2f of its capacity used, "+
						"want at least %.2f", i, peak, use, test.minUse)
				}
			}
		})
	}
}

// TestSlowStartQuotasFollowServedWork checks that the busier of 80 brokers have larger quotas of a warming replica's
// allowance, and that all quotas together are within it.
func TestSlowStartQuotasFollowServedWork(t *testing.T) {
	f := newFleetModel(t, 80)
	f.run(4000, 80, 6)
	f.replicas[0].startedAt = f.now
	f.updateEndpoints()
	f.run(2000, 80, 6)
	slowStart := f.settings.SlowStart
	capacity := slowStart.InitialCapacity + (1-slowStart.InitialCapacity)*(2000-slowStart.Window/2)/slowStart.Duration
	allowanceOfOneCore := slowStart.WorkMultiple * slowStart.Window * capacity
	sum := 0.0
	smallest := 1e9
	largest := 0.0
	for _, broker := range f.brokers {
		quota := broker.scheduler.slowStart.quota.QuotaMs(usedAllowanceShare*allowanceOfOneCore/80, allowanceOfOneCore)
		sum += quota
		smallest = min(smallest, quota)
		largest = max(largest, quota)
	}
	allowance := f.allowanceAt(f.replicas[0], f.now)
	t.Logf("quotas of %.2f of the allowance in total, from %.1f to %.1f ms", sum/allowance, smallest, largest)
	if sum > allowance || sum < 0.4*allowance || largest < 2*smallest {
		t.Fatalf("quotas of %v ms of work in total, from %v to %v; want 0.4 to 1 of the allowance of %v and the largest "+
			"at least twice the smallest", sum, smallest, largest, allowance)
	}
}

// quotaInParts returns a broker's quota of a warming replica, in parts, if the even share is evenShare parts.
func quotaInParts(evenShare float64, broker, brokers int, replicaID uint32) float64 {
	const durationMs, windowMs, partWorkMs = 18_000.0, 1500.0, 100.0
	settings := Settings{
		BrokerIndex: broker,
		BrokerCount: brokers,
		SlowStart: SlowStartSettings{
			InitialCapacity: 1,
			Duration:        durationMs,
			Window:          windowMs,
			WorkMultiple:    evenShare * partWorkMs * float64(brokers) / usedAllowanceShare / windowMs,
		},
	}
	s := &Scheduler{
		settings:  settings,
		costs:     costModel{meanHint: partWorkMs},
		slowStart: newSlowStart(settings.SlowStart, brokers),
	}
	s.slowStart.sentWorkKnownSince = -durationMs
	r := &replica{Endpoint: Endpoint{Replica: replicaID}, warmup: warmupState{startedAt: 1}}
	quotaMs, _ := s.warmupQuotaMs(1, r, 1)
	return quotaMs / partWorkMs
}

// TestRoundedQuotasAddUpToAllowance checks that the rounded quotas of all brokers exceed the sum of their even shares
// by at most one part. If there are up to a tenth more brokers than each assumes, they exceed it by at most the
// rounded-up quotas of the additional brokers and one part. A slot depends only on the replica and the broker, so it
// is the same in every window and does not depend on the clocks of the brokers.
func TestRoundedQuotasAddUpToAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assumed := rapid.IntRange(5, 1000).Draw(t, "assumed brokers")
		brokers := assumed + rapid.IntRange(0, assumed/10).Draw(t, "more brokers")
		evenShare := rapid.Float64Range(0.001, 1.999).Draw(t, "even share in parts")
		replicaID := rapid.Uint32().Draw(t, "replica")
		sum := 0.0
		for broker := range brokers {
			sum += quotaInParts(evenShare, broker%assumed, assumed, replicaID)
		}
		allowance := float64(assumed) * evenShare
		excess := float64(brokers-assumed) * (math.Floor(evenShare) + 1)
		assert.LessOrEqual(t, sum, allowance+excess+1, "quotas of %d brokers", brokers)
		assert.GreaterOrEqual(t, sum, allowance-1, "more than one part is lost by rounding")
	})
}

// TestSlotsAreSpreadOverBrokers checks that each broker has slots at some of many replicas that start at the same
// time, and that no broker has many more slots than another.
func TestSlotsAreSpreadOverBrokers(t *testing.T) {
	const brokers, replicas, evenShare = 300, 120, 0.1
	fewest := math.Inf(1)
	most := 0.0
	for broker := range brokers {
		sum := 0.0
		for replicaID := range uint32(replicas) {
			sum += quotaInParts(evenShare, broker, brokers, replicaID)
		}
		fewest = math.Min(fewest, sum)
		most = math.Max(most, sum)
	}
	assert.GreaterOrEqual(t, fewest, 0.8*replicas*evenShare)
	assert.LessOrEqual(t, most, 1.2*replicas*evenShare)
}
