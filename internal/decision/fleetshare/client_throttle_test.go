package fleetshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	partsPerQuery = 10
	stepSeconds   = 0.1
	queueSeconds  = 0.4 // capacity of the fleet's queue, in seconds of its work
)

// throttledFleet simulates brokers that send to a fleet with a fixed capacity and a bounded queue. The fleet rejects
// what exceeds both, the same share of each broker's parts.
type throttledFleet struct {
	brokers       []ClientThrottle
	random        *rand.Rand
	workPerSecond float64 // capacity
	queuedWork    float64
}

func newThrottledFleet(brokerCount int, workPerSecond float64) *throttledFleet {
	f := &throttledFleet{
		brokers:       make([]ClientThrottle, brokerCount),
		random:        rand.New(rand.NewPCG(uint64(brokerCount), 1)),
		workPerSecond: workPerSecond,
	}
	for i := range f.brokers {
		f.brokers[i] = NewClientThrottle(brokerCount)
	}
	return f
}

// step lets the brokers send for one step. rate returns the work per second that clients ask a broker for. step
// returns the work that was sent and the work that was accepted.
func (f *throttledFleet) step(rate func(broker int) float64) (sent, accepted float64) {
	queryCounts := make([]int, len(f.brokers))
	for i := range f.brokers {
		for dueQueries := rate(i) * stepSeconds / partsPerQuery; dueQueries > f.random.Float64(); dueQueries-- {
			if !f.brokers[i].ShouldReject(0.5, f.random.Float64) {
				queryCounts[i]++
				sent += partsPerQuery
			}
		}
	}
	f.queuedWork = math.Max(0, f.queuedWork-f.workPerSecond*stepSeconds)
	acceptedShare := math.Min(1, (queueSeconds*f.workPerSecond-f.queuedWork)/math.Max(sent, 1e-9))
	f.queuedWork += sent * acceptedShare
	for i := range f.brokers {
		for range queryCounts[i] * partsPerQuery {
			f.brokers[i].RecordResult(1, f.random.Float64() < acceptedShare)
		}
	}
	return sent, sent * acceptedShare
}

// runThrottledFleet returns the work that is sent and accepted in the second half of a run, as shares of the capacity
// of the fleet.
func runThrottledFleet(
	brokerCount int, rate func(broker int) float64, workPerSecond float64, seconds int,
) (sent, accepted float64) {
	f := newThrottledFleet(brokerCount, workPerSecond)
	steps := int(float64(seconds) / stepSeconds)
	firstCountedStep := int(float64(seconds) / stepSeconds / 2)
	for i := range steps {
		stepSent, stepAccepted := f.step(rate)
		if i >= firstCountedStep {
			sent += stepSent
			accepted += stepAccepted
		}
	}
	capacity := workPerSecond * float64(seconds) / 2
	return sent / capacity, accepted / capacity
}

// TestThrottledBrokersSendNearCapacity checks, for fleets with many brokers and for even and uneven traffic, that the
// brokers together send little more than the fleet accepts, and that most of the fleet's capacity is used.
func TestThrottledBrokersSendNearCapacity(t *testing.T) {
	rates := map[string]func(broker int) float64{
		"even": func(int) float64 { return 30 },
		"mostly from a tenth of the brokers": func(broker int) float64 {
			if broker%10 == 0 {
				return 240
			}
			return 20.0 / 3
		},
	}
	for _, brokerCount := range []int{30, 300, 1000} {
		for name, rate := range rates {
			for _, overload := range []float64{0.8, 1.5, 2.5} {
				workPerSecond := 30 * float64(brokerCount) / overload
				sent, accepted := runThrottledFleet(brokerCount, rate, workPerSecond, 120)
				run := fmt.Sprintf("%d brokers, traffic %s, overload %v", brokerCount, name, overload)
				assert.LessOrEqual(t, sent, 1.5, run)
				assert.GreaterOrEqual(t, accepted, 0.93*math.Min(1, overload), run)
			}
		}
	}
}

// TestSmallFleetIsNotThrottled checks that the throttle of a broker in a small fleet rejects nothing. There the
// broker decides by its own results of each backend.
func TestSmallFleetIsNotThrottled(t *testing.T) {
	for brokerCount := range 5 {
		throttle := NewClientThrottle(brokerCount)
		for range 1000 {
			throttle.RecordResult(5, false)
		}
		assert.Zero(t, throttle.RejectedShare(), "%d brokers", brokerCount)
	}
}

// TestThrottleIsBoundedAndRecovers checks, for any sequence of results, that minAdmittedShare is always admitted and
// that a query of lower priority is rejected whenever one of higher priority is. It also checks that nothing is
// rejected after enough work has been accepted in a row, and that no random number is drawn then.
func TestThrottleIsBoundedAndRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		throttle := NewClientThrottle(rapid.IntRange(0, 2000).Draw(t, "brokers"))
		for range rapid.IntRange(0, 300).Draw(t, "parts") {
			throttle.RecordResult(rapid.Float64Range(0, 1e6).Draw(t, "work"), rapid.Bool().Draw(t, "accepted"))
			assert.LessOrEqual(t, throttle.RejectedShare(), 1-minAdmittedShare+1e-9)
			assert.GreaterOrEqual(t, throttle.RejectedShare(), 0.0)
			number := rapid.Float64Range(0, 1).Draw(t, "random number")
			random := func() float64 { return number }
			if throttle.ShouldReject(1, random) {
				assert.True(t, throttle.ShouldReject(0.2, random), "only the query of higher priority was rejected")
			}
		}
		for range 100 * int(math.Ceil(-math.Log(minAdmittedShare)/logShareRise/100)) {
			throttle.RecordResult(1, true)
		}
		assert.Zero(t, throttle.RejectedShare())
		noRandom := func() float64 {
			t.Fatal("a random number is drawn although nothing is rejected")
			return 0
		}
		assert.False(t, throttle.ShouldReject(0, noRandom))
	})
}
