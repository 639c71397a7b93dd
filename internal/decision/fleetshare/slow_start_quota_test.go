package fleetshare

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestQuotasTogetherStayWithinAllowance guarantees that, whatever traffic each of any number of brokers has and
// however wrong they are about their number, what all may send a warming backend is within the bound that the
// package derives, as long as no warm backend does more than it can.
func TestQuotasTogetherStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		brokers := rapid.IntRange(5, 400).Draw(t, "brokers")
		assumed := max(5, int(float64(brokers)*rapid.Float64Range(0.9, 4).Draw(t, "assumed brokers, by their number")))
		cores := rapid.Float64Range(1, 8).Draw(t, "cores")
		warm := rapid.IntRange(1, 200).Draw(t, "warm backends")
		unevenness := rapid.SampledFrom([]float64{0, 1, 3, 8}).Draw(t, "unevenness")
		weights := make([]float64, brokers)
		totalWeight := 0.0
		for i := range weights {
			weights[i] = 1
			if unevenness > 0 {
				weights[i] = 1 / (0.01 + unevenness*rapid.Float64Range(0, 1).Draw(t, "weight"))
			}
			totalWeight += weights[i]
		}
		quotas := make([]SlowStartQuota, brokers)
		for i := range quotas {
			quotas[i] = NewSlowStartQuota(assumed)
		}
		const stepMs = 250.0
		for step := range rapid.IntRange(8, 60).Draw(t, "steps") {
			utilization := rapid.Float64Range(0, 1).Draw(t, "utilization of warm backends")
			for i := range quotas {
				quotas[i].Advance(1000+stepMs*float64(step), func(float64) int { return warm })
				quotas[i].RecordServed(weights[i] / totalWeight * utilization * cores * stepMs * float64(warm))
			}
		}
		const allowance = 1000.0 // of a backend with one core
		sum := 0.0
		for i := range quotas {
			quotas[i].Advance(1e6, func(float64) int { return 0 }) // none is warm: the history stays as it was
			sum += quotas[i].QuotaMs(0.7*allowance/float64(assumed), allowance)
		}
		// The even shares count with 1 - weight, which is 4/assumed; each is 0.7/assumed of the allowance.
		ownWork := ownWorkShare * allowance * cores
		idle := idleShare * 0.7 * allowance * float64(brokers) / float64(assumed)
		even := 0.7 * allowance * 4 / float64(assumed) * float64(brokers) / float64(assumed)
		assert.LessOrEqual(t, sum, ownWork+idle+even+1e-6)
	})
}

// TestQuotaFollowsServedWork guarantees that a broker that had eight times as much work served has eight times the
// quota, that one without any keeps a part of the even share, and that the share is even before there is any history
// and in small fleets.
func TestQuotaFollowsServedWork(t *testing.T) {
	const evenShare, allowance = 2.0, 1000.0
	quota := func(brokers int, workMs float64, steps int) float64 {
		q := NewSlowStartQuota(brokers)
		for step := range steps {
			q.Advance(float64(step+1)*250, func(float64) int { return 10 })
			q.RecordServed(workMs)
		}
		return q.QuotaMs(evenShare, allowance)
	}
	assert.Equal(t, evenShare, quota(300, 100, 3))
	assert.Equal(t, evenShare, quota(4, 100, 100))
	weight := 1 - 4.0/300
	mean := quota(300, 10, 40)
	busy := quota(300, 80, 40)
	assert.InDelta(t, 8, (busy-(1-weight)*evenShare)/(mean-(1-weight)*evenShare), 1e-6)
	assert.InDelta(t, ownWorkShare*allowance*10/2500, (mean-(1-weight)*evenShare)/weight, 0.2)
	assert.InDelta(t, idleShare*evenShare*weight+(1-weight)*evenShare, quota(300, 0, 40), 1e-9)
}
