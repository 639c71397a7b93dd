package fleetshare

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// meanLearnedFactor has one of so many brokers admit 900 queries and returns the geometric mean of its factor after
// the first 300. Queries take a time that is spread about medianFactor times their last part's; a share of them has
// less time left than it takes.
func meanLearnedFactor(brokers int, medianFactor, shortShare float64) (DeadlineAdmission, float64) {
	random := rand.New(rand.NewPCG(uint64(brokers), uint64(medianFactor*10)))
	admission := NewDeadlineAdmission(brokers)
	sum := 0.0
	count := 0.0
	for admitted := 0; admitted < 900; {
		lastPartMs := 20 + 100*random.Float64()
		takesMs := lastPartMs * medianFactor * math.Exp(0.7*random.NormFloat64())
		remainingMs := takesMs * (1 + 5*random.Float64())
		if random.Float64() < shortShare {
			remainingMs = takesMs * random.Float64()
		}
		if admission.IsTooLate(remainingMs, lastPartMs) {
			continue
		}
		admitted++
		admission.QueryEnded(math.Min(takesMs, remainingMs), lastPartMs, takesMs <= remainingMs)
		if admitted > 300 {
			sum += math.Log(admission.factor)
			count++
		}
	}
	return admission, math.Exp(sum / count)
}

// TestDeadlineAdmissionLearnsWhatQueriesTake guarantees that, for 5 to 1,000 brokers, the factor comes near the
// quantile of the times that queries take: within a factor of 1.5 where few queries are short of time, and not below
// 0.65 of it where nearly all are.
func TestDeadlineAdmissionLearnsWhatQueriesTake(t *testing.T) {
	for _, brokers := range []int{5, 6, 24, 48, 80, 300, 1000} {
		for _, medianFactor := range []float64{0.8, 1.5, 3} {
			for _, shortShare := range []float64{0.3, 0.9} {
				admission, factor := meanLearnedFactor(brokers, medianFactor, shortShare)
				quantile := medianFactor * math.Exp(0.7*-0.385) // -0.385 is the normal quantile of 0.35
				want := math.Min(admission.maxFactor, math.Max(admission.minFactor, quantile))
				if shortShare < 0.5 {
					assert.InDelta(t, 0, math.Log(factor/want), math.Log(1.5), "%d brokers, median %v: factor %v, want %v", brokers, medianFactor, factor, want)
				}
				assert.GreaterOrEqual(t, factor, 0.65*want, "%d brokers, median %v, %v short of time: factor %v", brokers, medianFactor, shortShare, factor)
			}
		}
	}
}

// TestDeadlineAdmissionIsBounded guarantees, whatever the queries, that the factor stays within its bounds, and that a
// query that ended incomplete before the factor, or without an expected time, does not move it.
func TestDeadlineAdmissionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admission := NewDeadlineAdmission(rapid.IntRange(1, 2000).Draw(t, "brokers"))
		for range rapid.IntRange(0, 200).Draw(t, "queries") {
			ageMs := rapid.Float64Range(0, 1e5).Draw(t, "age")
			lastPartMs := rapid.Float64Range(0, 1e3).Draw(t, "last part")
			complete := rapid.Bool().Draw(t, "complete")
			before := admission.factor
			admission.QueryEnded(ageMs, lastPartMs, complete)
			assert.GreaterOrEqual(t, admission.factor, admission.minFactor)
			assert.LessOrEqual(t, admission.factor, admission.maxFactor)
			if lastPartMs == 0 || !complete && ageMs < before*lastPartMs {
				assert.Equal(t, before, admission.factor)
			}
		}
	})
}
