package fleetshare

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// fleet plays n brokers before a fleet that serves so much work a second and holds 0.4 s of it: what is sent over that is
// lost, each broker's parts in equal share. It gives what was sent and served in the last half, by what can be served.
func fleet(n int, rate func(broker int) float64, serves float64, seconds int) (sent, served float64) {
	dice := rand.New(rand.NewPCG(uint64(n), 1))
	brokers := make([]ClientThrottle, n)
	for i := range brokers {
		brokers[i] = NewClientThrottle(n)
	}
	const parts, step = 10, 0.1
	held := 0.0
	for k := range int(float64(seconds) / step) {
		in := make([]int, n)
		sum := 0.0
		for i := range brokers {
			for q := rate(i) * step / parts; q > dice.Float64(); q-- {
				if !brokers[i].ShouldReject(0.5, dice.Float64) {
					in[i], sum = in[i]+1, sum+parts
				}
			}
		}
		held = math.Max(0, held-serves*step)
		share := math.Min(1, (0.4*serves-held)/math.Max(sum, 1e-9))
		held += sum * share
		for i := range brokers {
			for range in[i] * parts {
				brokers[i].RecordResult(1, dice.Float64() < share)
			}
		}
		if k >= int(float64(seconds)/step/2) {
			sent, served = sent+sum, served+sum*share
		}
	}
	whole := serves * float64(seconds) / 2
	return sent / whole, served / whole
}

// TestSumStaysWithinWhatIsServed: whatever the number of brokers and however their traffic is split, what they send
// together at twice to three times what the fleet serves stays near that, and most of the fleet is used.
func TestSumStaysWithinWhatIsServed(t *testing.T) {
	for _, n := range []int{30, 300, 1000} {
		for name, rate := range map[string]func(int) float64{
			"even":                  func(int) float64 { return 30 },
			"a tenth asks for most": func(i int) float64 { return map[bool]float64{true: 240, false: 20.0 / 3}[i%10 == 0] },
		} {
			for _, over := range []float64{0.8, 1.5, 2.5} {
				serves := 30 * float64(n) / over
				sent, served := fleet(n, rate, serves, 120)
				assert.LessOrEqual(t, sent, 1.5, "%d brokers, %s, asked for %v", n, name, over)
				assert.GreaterOrEqual(t, served, 0.93*math.Min(1, over), "%d brokers, %s, asked for %v", n, name, over)
			}
		}
	}
}

// TestFewBrokersTurnNothingAway: their own results by node tell more.
func TestFewBrokersTurnNothingAway(t *testing.T) {
	for n := range 5 {
		th := NewClientThrottle(n)
		for range 1000 {
			th.RecordResult(5, false)
		}
		assert.Zero(t, th.RejectedShare(), n)
	}
}

// TestThrottleIsBounded: whatever ends how, a share is always let in, worth more is refused no sooner, nothing is refused
// where all is served, and a fleet that is sound again is found so within 100 work.
func TestThrottleIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		th := NewClientThrottle(rapid.IntRange(0, 2000).Draw(t, "n"))
		for range rapid.IntRange(0, 300).Draw(t, "parts") {
			th.RecordResult(rapid.Float64Range(0, 1e6).Draw(t, "work"), rapid.Bool().Draw(t, "served"))
			assert.LessOrEqual(t, th.RejectedShare(), 1-minAdmittedShare+1e-9)
			assert.GreaterOrEqual(t, th.RejectedShare(), 0.0)
			dice := rapid.Float64Range(0, 1).Draw(t, "dice")
			fix := func() float64 { return dice }
			if th.ShouldReject(1, fix) {
				assert.True(t, th.ShouldReject(0.2, fix), "what is worth more was refused first")
			}
		}
		for range 100 * int(math.Ceil(-math.Log(minAdmittedShare)/throttleRise/100)) {
			th.RecordResult(1, true)
		}
		assert.Zero(t, th.RejectedShare())
		assert.False(t, th.ShouldReject(0, func() float64 { t.Fatal("dice rolled where nothing is turned away"); return 0 }))
	})
}
