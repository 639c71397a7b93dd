package fleetshare

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestSharesOfColdNodesStayWithinTheAllowance: whatever traffic each of any number of brokers has, and however wrong they
// are about their number, what all may send a cold node is within the allowance, as long as no warm node does more than it
// can. One that is told too many is not less than even.
func TestSharesOfColdNodesStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(5, 400).Draw(t, "brokers")
		told := max(5, int(float64(n)*rapid.Float64Range(0.9, 4).Draw(t, "told, by their number")))
		cores := rapid.Float64Range(1, 8).Draw(t, "cores")
		warm := rapid.IntRange(1, 200).Draw(t, "warm nodes")
		uneven := rapid.SampledFrom([]float64{0, 1, 3, 8}).Draw(t, "unevenness")
		dice := rapid.Float64Range(0, 1)
		weights, sum := make([]float64, n), 0.0
		for i := range weights {
			weights[i] = 1
			if uneven > 0 {
				weights[i] = 1 / (0.01 + uneven*dice.Draw(t, "weight"))
			}
			sum += weights[i]
		}
		all := make([]SlowStartQuota, n)
		for i := range all {
			all[i] = NewSlowStartQuota(told)
		}
		const step = 250.0
		for k := range rapid.IntRange(8, 60).Draw(t, "steps") {
			used := rapid.Float64Range(0, 1).Draw(t, "of what they can do, done")
			for i := range all {
				all[i].Advance(1000+step*float64(k), func(float64) int { return warm })
				all[i].RecordServed(weights[i] / sum * used * cores * step * float64(warm))
			}
		}
		const one = 1000.0
		shares := 0.0
		for i := range all {
			all[i].Advance(1e6, func(float64) int { return 0 }) // none is warm: what was served before tells
			shares += all[i].QuotaMs(0.7*one/float64(told), one)
		}
		// (1 - weight) x even is 4/told of 0.7, and for all of them 0.7 x 4/told x n/told.
		few := 0.7 * one * 4 / float64(told) * float64(n) / float64(told)
		assert.LessOrEqual(t, shares, ownWorkShare*one*cores+idleShare*0.7*one*float64(n)/float64(told)+few+1e-6)
	})
}

// TestShareGoesWithTraffic: a broker that gets eight times as much served may send a cold node eight times as much; one
// that gets nothing keeps a part of the even share; before there is any history the share is even, and for few brokers ever.
func TestShareGoesWithTraffic(t *testing.T) {
	const even, one = 2.0, 1000.0
	share := func(n int, work float64, steps int) float64 {
		c := NewSlowStartQuota(n)
		for k := range steps {
			c.Advance(float64(k+1)*250, func(float64) int { return 10 })
			c.RecordServed(work)
		}
		return c.QuotaMs(even, one)
	}
	assert.Equal(t, even, share(300, 100, 3))
	assert.Equal(t, even, share(4, 100, 100))
	w := 1 - 4.0/300
	mean, much := share(300, 10, 40), share(300, 80, 40)
	assert.InDelta(t, 8, (much-(1-w)*even)/(mean-(1-w)*even), 1e-6)
	assert.InDelta(t, ownWorkShare*one*10/2500, (mean-(1-w)*even)/w, 0.2)
	assert.InDelta(t, idleShare*even*w+(1-w)*even, share(300, 0, 40), 1e-9)
}
