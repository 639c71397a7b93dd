package fleetshare

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	partsPerQuery = 10
	stepSeconds   = 0.1
	queueSeconds  = 0.4 // how much of its work the fleet queues
)

// throttledFleet is a number of brokers before a fleet that serves so much work a second and queues some of it. What
// is sent beyond that is rejected, the same share of each broker's parts.
type throttledFleet struct {
	brokers []ClientThrottle
	random  *rand.Rand
	serves  float64 // work a second
	queued  float64 // work
}

func newThrottledFleet(brokers int, serves float64) *throttledFleet {
	f := &throttledFleet{
		brokers: make([]ClientThrottle, brokers),
		random:  rand.New(rand.NewPCG(uint64(brokers), 1)),
		serves:  serves,
	}
	for i := range f.brokers {
		f.brokers[i] = NewClientThrottle(brokers)
	}
	return f
}

// step lets the brokers send for one step, at a rate of work a second for each, and returns the work that was sent and
// served.
func (f *throttledFleet) step(rate func(broker int) float64) (sent, served float64) {
	queries := make([]int, len(f.brokers))
	for i := range f.brokers {
		for due := rate(i) * stepSeconds / partsPerQuery; due > f.random.Float64(); due-- {
			if !f.brokers[i].ShouldReject(0.5, f.random.Float64) {
				queries[i]++
				sent += partsPerQuery
			}
		}
	}
	f.queued = math.Max(0, f.queued-f.serves*stepSeconds)
	acceptedShare := math.Min(1, (queueSeconds*f.serves-f.queued)/math.Max(sent, 1e-9))
	f.queued += sent * acceptedShare
	for i := range f.brokers {
		for range queries[i] * partsPerQuery {
			f.brokers[i].RecordResult(1, f.random.Float64() < acceptedShare)
		}
	}
	return sent, sent * acceptedShare
}

// runThrottledFleet returns the work that is sent and served in the last half of a run, as shares of what the fleet
// can serve.
func runThrottledFleet(brokers int, rate func(broker int) float64, serves float64, seconds int) (sent, served float64) {
	f := newThrottledFleet(brokers, serves)
	steps := int(float64(seconds) / stepSeconds)
	half := int(float64(seconds) / stepSeconds / 2)
	for i := range steps {
		stepSent, stepServed := f.step(rate)
		if i >= half {
			sent += stepSent
			served += stepServed
		}
	}
	capacity := serves * float64(seconds) / 2
	return sent / capacity, served / capacity
}

// TestThrottledBrokersSendWhatIsServed guarantees that, whatever the number of brokers and however their traffic is
// split, what they send together stays near what the fleet serves, and that most of the fleet is used.
func TestThrottledBrokersSendWhatIsServed(t *testing.T) {
	rates := map[string]func(broker int) float64{
		"even": func(int) float64 { return 30 },
		"a tenth has most": func(broker int) float64 {
			if broker%10 == 0 {
				return 240
			}
			return 20.0 / 3
		},
	}
	for _, brokers := range []int{30, 300, 1000} {
		for name, rate := range rates {
			for _, overload := range []float64{0.8, 1.5, 2.5} {
				serves := 30 * float64(brokers) / overload
				sent, served := runThrottledFleet(brokers, rate, serves, 120)
				assert.LessOrEqual(t, sent, 1.5, "%d brokers, traffic %s, overload %v", brokers, name, overload)
				assert.GreaterOrEqual(t, served, 0.93*math.Min(1, overload), "%d brokers, traffic %s, overload %v", brokers, name, overload)
			}
		}
	}
}

// TestSmallFleetIsNotThrottled guarantees that brokers of small fleets reject nothing by this rule: their own results
// by backend tell more.
func TestSmallFleetIsNotThrottled(t *testing.T) {
	for brokers := range 5 {
		throttle := NewClientThrottle(brokers)
		for range 1000 {
			throttle.RecordResult(5, false)
		}
		assert.Zero(t, throttle.RejectedShare(), "%d brokers", brokers)
	}
}

// TestThrottleIsBoundedAndRecovers guarantees, whatever the results, that a share of queries is always admitted, that
// a higher priority is not rejected sooner, and that nothing is rejected once so much work has been accepted in a row;
// then no random number is drawn.
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
				assert.True(t, throttle.ShouldReject(0.2, random), "the higher priority was rejected first")
			}
		}
		for range 100 * int(math.Ceil(-math.Log(minAdmittedShare)/throttleRise/100)) {
			throttle.RecordResult(1, true)
		}
		assert.Zero(t, throttle.RejectedShare())
		noRandom := func() float64 {
			t.Fatal("random number drawn although nothing is rejected")
			return 0
		}
		assert.False(t, throttle.ShouldReject(0, noRandom))
	})
}
