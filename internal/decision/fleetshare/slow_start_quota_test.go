package fleetshare

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestQuotasTogetherStayWithinAllowance checks the bound on the sum of all brokers' quotas for a warming backend, as
// the doc comment of SlowStartQuota has it. The number of brokers, their shares of the traffic and the number of
// brokers that they assume are random. Warm backends never do more work than they can.
func TestQuotasTogetherStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		brokerCount := rapid.IntRange(5, 400).Draw(t, "brokers")
		assumedRatio := rapid.Float64Range(0.9, 4).Draw(t, "assumed brokers per broker")
		assumedCount := max(5, int(float64(brokerCount)*assumedRatio))
		cores := rapid.Float64Range(1, 8).Draw(t, "cores")
		warmCount := rapid.IntRange(1, 200).Draw(t, "warm backends")
		unevenness := rapid.SampledFrom([]float64{0, 1, 3, 8}).Draw(t, "unevenness")
		weights := make([]float64, brokerCount)
		totalWeight := 0.0
		for i := range weights {
			weights[i] = 1
			if unevenness > 0 {
				weights[i] = 1 / (0.01 + unevenness*rapid.Float64Range(0, 1).Draw(t, "weight"))
			}
			totalWeight += weights[i]
		}
		quotas := make([]SlowStartQuota, brokerCount)
		for i := range quotas {
			quotas[i] = NewSlowStartQuota(assumedCount)
		}
		const stepMs = 250.0
		for step := range rapid.IntRange(8, 60).Draw(t, "steps") {
			utilization := rapid.Float64Range(0, 1).Draw(t, "utilization of warm backends")
			for i := range quotas {
				quotas[i].Advance(1000+stepMs*float64(step), func(float64) int { return warmCount })
				quotas[i].RecordServed(weights[i] / totalWeight * utilization * cores * stepMs * float64(warmCount))
			}
		}
		const allowanceMs = 1000.0 // of a backend with one core
		sumMs := 0.0
		for i := range quotas {
			quotas[i].Advance(1e6, func(float64) int { return 0 }) // none is warm: the history stays as it was
			sumMs += quotas[i].QuotaMs(0.7*allowanceMs/float64(assumedCount), allowanceMs)
		}
		// The even shares have the weight 4/assumedCount. Each is 0.7/assumedCount of the allowance.
		ownWorkMs := ownWorkShare * allowanceMs * cores
		idleMs := idleShare * 0.7 * allowanceMs * float64(brokerCount) / float64(assumedCount)
		evenMs := 0.7 * allowanceMs * 4 / float64(assumedCount) * float64(brokerCount) / float64(assumedCount)
		assert.LessOrEqual(t, sumMs, ownWorkMs+idleMs+evenMs+1e-6)
	})
}

// TestQuotaFollowsServedWork checks that a broker for which eight times as much work was served has eight times the
// quota, and that a broker without served work keeps a part of the even share. Before there is enough history, and in
// small fleets, the quota is the even share.
func TestQuotaFollowsServedWork(t *testing.T) {
	const evenShareMs, allowanceMs = 2.0, 1000.0
	quota := func(brokerCount int, workMs float64, steps int) float64 {
		q := NewSlowStartQuota(brokerCount)
		for step := range steps {
			q.Advance(float64(step+1)*250, func(float64) int { return 10 })
			q.RecordServed(workMs)
		}
		return q.QuotaMs(evenShareMs, allowanceMs)
	}
	assert.Equal(t, evenShareMs, quota(300, 100, 3))
	assert.Equal(t, evenShareMs, quota(4, 100, 100))
	weight := 1 - 4.0/300
	meanQuotaMs := quota(300, 10, 40)
	busyQuotaMs := quota(300, 80, 40)
	assert.InDelta(t, 8, (busyQuotaMs-(1-weight)*evenShareMs)/(meanQuotaMs-(1-weight)*evenShareMs), 1e-6)
	assert.InDelta(t, ownWorkShare*allowanceMs*10/2500, (meanQuotaMs-(1-weight)*evenShareMs)/weight, 0.2)
	assert.InDelta(t, idleShare*evenShareMs*weight+(1-weight)*evenShareMs, quota(300, 0, 40), 1e-9)
}
