package fleetshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// learnFactor lets one broker in a fleet of brokerCount admit 900 queries. It returns the broker's admission and the
// geometric mean of its factor after the first 300 queries. The time that queries take has a lognormal distribution
// whose median is medianFactor times the expected time of their last part. The fraction shortShare of the queries has
// less time left than it takes.
func learnFactor(brokerCount int, medianFactor, shortShare float64) (DeadlineAdmission, float64) {
	random := rand.New(rand.NewPCG(uint64(brokerCount), uint64(medianFactor*10)))
	admission := NewDeadlineAdmission(brokerCount)
	logSum := 0.0
	count := 0.0
	for admitted := 0; admitted < 900; {
		lastPartMs := 20 + 100*random.Float64()
		durationMs := lastPartMs * medianFactor * math.Exp(0.7*random.NormFloat64())
		remainingMs := durationMs * (1 + 5*random.Float64())
		if random.Float64() < shortShare {
			remainingMs = durationMs * random.Float64()
		}
		if admission.IsTooLate(remainingMs, lastPartMs) {
			continue
		}
		admitted++
		admission.QueryEnded(math.Min(durationMs, remainingMs), lastPartMs, durationMs <= remainingMs)
		if admitted > 300 {
			logSum += math.Log(admission.factor)
			count++
		}
	}
	return admission, math.Exp(logSum / count)
}

// TestDeadlineAdmissionLearnsTheTimeNeeded checks, for 5 to 1,000 brokers, that the factor approaches the quantile of
// the times that queries take. It must be within a factor of 1.5 of the quantile if few queries are short of time,
// and at least 0.65 times the quantile if nearly all are.
func TestDeadlineAdmissionLearnsTheTimeNeeded(t *testing.T) {
	for _, brokerCount := range []int{5, 6, 24, 48, 80, 300, 1000} {
		for _, medianFactor := range []float64{0.8, 1.5, 3} {
			for _, shortShare := range []float64{0.3, 0.9} {
				admission, factor := learnFactor(brokerCount, medianFactor, shortShare)
				quantile := medianFactor * math.Exp(0.7*-0.385) // -0.385 is the normal quantile of 0.35
				want := math.Min(admission.maxFactor, math.Max(admission.minFactor, quantile))
				run := fmt.Sprintf("%d brokers, median %v, %v short of time: factor %v, want %v",
					brokerCount, medianFactor, shortShare, factor, want)
				if shortShare < 0.5 {
					assert.InDelta(t, 0, math.Log(factor/want), math.Log(1.5), run)
				}
				assert.GreaterOrEqual(t, factor, 0.65*want, run)
			}
		}
	}
}

// TestDeadlineAdmissionIsBounded checks, for any sequence of queries, that the factor stays within its bounds. It
// also checks that a query does not change the factor if it has no expected time, or if it ended incomplete sooner
// than the factor allows.
func TestDeadlineAdmissionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admission := NewDeadlineAdmission(rapid.IntRange(1, 2000).Draw(t, "brokers"))
		for range rapid.IntRange(0, 200).Draw(t, "queries") {
			ageMs := rapid.Float64Range(0, 1e5).Draw(t, "age")
			lastPartMs := rapid.Float64Range(0, 1e3).Draw(t, "last part")
			complete := rapid.Bool().Draw(t, "complete")
			previousFactor := admission.factor
			admission.QueryEnded(ageMs, lastPartMs, complete)
			assert.GreaterOrEqual(t, admission.factor, admission.minFactor)
			assert.LessOrEqual(t, admission.factor, admission.maxFactor)
			if lastPartMs == 0 || !complete && ageMs < previousFactor*lastPartMs {
				assert.Equal(t, previousFactor, admission.factor)
			}
		}
	})
}
