package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestWarmingReplicaStaysWithinAllowance(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	for i := uint32(1); i <= 3; i++ {
		h.updateEndpoints(UpdateDelta, Endpoint{Replica: i, Cell: int(i) - 1, State: Ready, StartedAt: h.now})
	}
	for range 100 { // the rig checks the allowance on every send
		h.submit(0, 0)
		h.runRound()
		h.advance(20, h.replyAfter(15))
	}
}

// A co-ordinator that restarts has forgotten what it sent a cold replica, which still counts there: for one window it
// sends it nothing, then as usual.
func TestRestartedBrokerWaitsOneAllowanceWindow(t *testing.T) {
	settings := testSettings()
	settings.Cells, settings.Shards, settings.CellsPerShard = 1, 1, 1
	h := newHarness(t, settings)
	h.updateEndpoints(UpdateCached, Endpoint{Replica: 1, State: Ready, StartedAt: h.now - 2000}, Endpoint{Replica: 2, State: Ready})
	sent := func(ms float64) (n int) {
		before := len(h.sent)
		for range int(ms / 50) {
			h.submit(0, 0)
			h.runRound()
			h.advance(50, h.replyAfter(100))
		}
		for _, a := range h.sent[before:] {
			if a.replica == 1 {
				n++
			}
		}
		return n
	}
	if n := sent(950); n > 0 {
		t.Fatalf("%d parts sent to a cold replica in the first window after a restart", n)
	}
	sent(100)
	if n := sent(2000); n == 0 {
		t.Fatal("a cold replica is left out for good")
	}
}

// Tens of co-ordinators together stay within a cold replica's allowance in every window, and each gets a turn.
func TestBrokersTogetherStayWithinAllowance(t *testing.T) {
	for _, peers := range []int{2, 22, 84} {
		settings := testSettings()
		settings.BrokerCount, settings.CellsPerShard, settings.SlowStart.Window = peers, 1, 3000
		sent := []workSample{}
		ready := 1e6 - 100.0
		fed := 0
		for me := 0; me < peers; me++ {
			settings.BrokerIndex = me
			h := newHarness(t, settings)
			var endpoints []Endpoint
			for i := 0; i < settings.Cells; i++ {
				endpoints = append(endpoints, Endpoint{Replica: uint32(i + 1), Cell: i, State: Ready, StartedAt: ready})
			}
			h.updateEndpoints(UpdateFull, endpoints...)
			for end := h.now + settings.SlowStart.Duration; h.now < end; {
				h.submit(0, 0)
				h.runRound()
				h.advance(250, h.replyAfter(100))
			}
			n := 0
			for _, a := range h.sent {
				if a.replica == 1 && a.number == 0 {
					sent = append(sent, workSample{a.sentAt, 100})
					n++
				}
			}
			if n > 0 {
				fed++
			}
		}
		if 3*fed < 2*peers { // the allowance of the whole ramp holds no more than about 80 turns of two parts
			t.Errorf("%d peers: only %d ever used the cold replica, the last of its shard", peers, fed)
		}
		total := 0.0
		for _, x := range sent {
			sum := 0.0
			for _, y := range sent {
				if y.at > x.at-settings.SlowStart.Window && y.at <= x.at {
					sum += y.workMs
				}
			}
			total = math.Max(total, sum/(maxReplicaSpeed*settings.SlowStart.WorkMultiple*(settings.SlowStart.InitialCapacity+(1-settings.SlowStart.InitialCapacity)*math.Min(1, (x.at-ready)/settings.SlowStart.Duration))*settings.SlowStart.Window))
		}
		if total > 1 || total == 0 {
			t.Errorf("%d peers: %v of what a cold replica may be sent", peers, total)
		}
	}
}

// Beside other fit replicas of its shard a cold one is used by more co-ordinators, as each sends it little; what all
// send stays inside the rule also when every one of them is busy and half of a shard is cold.
func TestWarmingReplicasBesideWarmOnesStayWithinAllowance(t *testing.T) {
	settings := testSettings()
	settings.BrokerCount, settings.SlowStart.Window = 84, 3000
	ready, sent := 1e6-100.0, []float64{}
	for me := 0; me < settings.BrokerCount; me++ {
		settings.BrokerIndex = me
		h := newHarness(t, settings)
		for i := 0; i < settings.Cells; i++ {
			e := Endpoint{Replica: uint32(i + 1), Cell: i, State: Ready}
			if i%2 == 0 {
				e.StartedAt = ready
			}
			h.updateEndpoints(UpdateDelta, e)
		}
		for end := h.now + settings.SlowStart.Duration; h.now < end; {
			h.submit(0, me%6, (me+3)%6) // 84 co-ordinators: 6 ms of work in a ms, what three warm replicas can just do
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
		t.Errorf("the cold replica got %d parts of all co-ordinators", len(sent))
	}
	for _, x := range sent {
		able := maxReplicaSpeed * (settings.SlowStart.InitialCapacity + (1-settings.SlowStart.InitialCapacity)*math.Min(1, (x-ready)/settings.SlowStart.Duration))
		if work := 100 * float64(countAfter(sent, x-settings.SlowStart.Window)-countAfter(sent, x)); work > able*settings.SlowStart.WorkMultiple*settings.SlowStart.Window {
			t.Fatalf("%v ms of work sent in the window to %v", work, x-ready)
		}
	}
}

// TestFleetUsesWarmingReplicaWithinAllowance: 80 co-ordinators hear at one moment that a replica has started, as
// cold and as slow to warm as the rules let it be. Summed over all of them it stays within the rule in every
// window, also where a second holder is gone, and it is used for what it can do.
func TestFleetUsesWarmingReplicaWithinAllowance(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  float64 // queries a second of six parts: 100 replica parts a second are what a warm one can do
		least float64 // share of what it can do that it is given in its first 6 s
		cold  []int
	}{{"alone", 60, 0.35, []int{0}}, {"all holders of a shard", 60, 0.35, []int{0, 1, 2}}, {"busy", 80, 0.4, []int{0}},
		{"jammed", 105, 0.4, []int{0}}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleetModel(t, 80)
			f.run(6000, c.rate, 6)
			for _, i := range c.cold {
				f.replicas[i].startedAt, f.replicas[i].attempts = f.now-500, 0
				f.replicas[i].received = nil
			}
			f.updateEndpoints()
			at := f.now
			f.run(6000, c.rate, 6)
			for _, i := range c.cold {
				r := f.replicas[i]
				could := 0.0
				for x := at; x < f.now; x++ {
					could += f.capacityAt(r, x)
				}
				used, most := float64(r.attempts)*modelPartWorkMs/could, f.peakAllowanceUse(r, at)
				t.Logf("replica %d: %.2f of what it could do, %.2f of the rule at most", i, used, most)
				if most > 0.9 || used < c.least {
					t.Errorf("replica %d: %.2f of what the rule allows, %.2f of what it could do", i, most, used)
				}
			}
		})
	}
}

// TestSlowStartQuotasFollowServedWork: 80 co-ordinators share the allowance of a replica that starts by what each gets
// served. The busier has the larger share, and even if all used all of it in one window, that is within the rule.
func TestSlowStartQuotasFollowServedWork(t *testing.T) {
	f := newFleetModel(t, 80)
	f.run(4000, 80, 6)
	f.replicas[0].startedAt = f.now
	f.updateEndpoints()
	f.run(2000, 80, 6)
	one := f.settings.SlowStart.WorkMultiple * f.settings.SlowStart.Window * (f.settings.SlowStart.InitialCapacity + (1-f.settings.SlowStart.InitialCapacity)*(2000-f.settings.SlowStart.Window/2)/f.settings.SlowStart.Duration)
	sum, least, most := 0.0, 1e9, 0.0
	for _, m := range f.brokers {
		x := m.scheduler.slowStart.quota.QuotaMs(allowanceMargin*one/80, one)
		sum, least, most = sum+x, min(least, x), max(most, x)
	}
	rule := f.capacityAt(f.replicas[0], f.now-f.settings.SlowStart.Window/2) * f.settings.SlowStart.WorkMultiple * f.settings.SlowStart.Window
	t.Logf("%.2f of the rule in all, shares from %.1f to %.1f ms", sum/rule, least, most)
	if sum > rule || sum < 0.4*rule || most < 2*least {
		t.Fatalf("shares of %v ms of work in all, from %v to %v, the rule allows %v", sum, least, most, rule)
	}
}

// quotaInParts is what coldMay gives a broker, in parts, of an even share of so many.
func quotaInParts(parts float64, me, n int, node uint32) float64 {
	const ramp, window, unit = 18_000.0, 1500.0, 100.0
	s := Settings{BrokerIndex: me, BrokerCount: n, SlowStart: SlowStartSettings{InitialCapacity: 1, Duration: ramp, Window: window}}
	s.SlowStart.WorkMultiple = parts * unit * float64(n) / allowanceMargin / s.SlowStart.Window
	b := &Scheduler{settings: s, costs: costModel{meanHint: unit}, slowStart: newSlowStart(s.SlowStart, n)}
	b.slowStart.startedAt = -ramp
	may, _ := b.warmupQuotaMs(1, &replica{Endpoint: Endpoint{Replica: node}, warmup: warmupState{startedAt: 1}}, 1)
	return may / unit
}

// TestRoundedQuotasAddUpToAllowance: all brokers that use whatever their turns give them send no more in any window than
// what their shares add up to, and a part; with a tenth more of them than each is told, a tenth more and a part. A turn is of
// the node and the broker alone: it does not move, so that no window sees more than one, whatever their clocks say.
func TestRoundedQuotasAddUpToAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.IntRange(5, 1000).Draw(t, "told")
		n := told + rapid.IntRange(0, told/10).Draw(t, "more")
		parts := rapid.Float64Range(0.001, 1.999).Draw(t, "parts")
		node := rapid.Uint32().Draw(t, "node")
		sum := 0.0
		for me := range n {
			sum += quotaInParts(parts, me%told, told, node)
		}
		assert.LessOrEqual(t, sum, float64(told)*parts+float64(n-told)*(math.Floor(parts)+1)+1, "%d brokers", n)
		assert.GreaterOrEqual(t, sum, float64(told)*parts-1, "none of it is lost to rounding")
	})
}

// TestSlotsAreSpreadOverBrokers: of many nodes that start at one moment each broker may send some a part, and none has many more than
// another.
func TestSlotsAreSpreadOverBrokers(t *testing.T) {
	const n, nodes, parts = 300, 120, 0.1
	least, most := math.Inf(1), 0.0
	for me := range n {
		sum := 0.0
		for node := range uint32(nodes) {
			sum += quotaInParts(parts, me, n, node)
		}
		least, most = math.Min(least, sum), math.Max(most, sum)
	}
	assert.GreaterOrEqual(t, least, 0.8*nodes*parts)
	assert.LessOrEqual(t, most, 1.2*nodes*parts)
}
