package fleetshare

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestNeedsLearnsWhatQueriesTake: queries take a time that is spread about a median of so many times their last part's, and
// have as much left as any: a third, or nearly all, less than they take. From the first value for 5 to 1,000 brokers the
// factor comes within 0.65 to 1.5 of the quantile in 300 that are let in, whatever the share that could not be whole, and is
// within its bounds.
func TestNeedsLearnsWhatQueriesTake(t *testing.T) {
	for _, n := range []int{5, 6, 24, 48, 80, 300, 1000} {
		for _, median := range []float64{0.8, 1.5, 3} {
			for _, short := range []float64{0.3, 0.9} {
				dice := rand.New(rand.NewPCG(uint64(n), uint64(median*10)))
				needs, sum, seen := NewDeadlineAdmission(n), 0.0, 0.0
				for let := 0; let < 900; {
					last := 20 + 100*dice.Float64()
					takes := last * median * math.Exp(0.7*dice.NormFloat64())
					left := takes * (1 + 5*dice.Float64())
					if dice.Float64() < short {
						left = takes * dice.Float64()
					}
					if needs.IsTooLate(left, last) {
						continue
					}
					let++
					needs.QueryEnded(math.Min(takes, left), last, takes <= left)
					if let > 300 {
						sum, seen = sum+math.Log(needs.factor), seen+1
					}
				}
				at, want := math.Exp(sum/seen), math.Min(needs.maxFactor, math.Max(needs.minFactor, median*math.Exp(0.7*-0.385))) // the normal quantile of 0.35
				if short < 0.5 {
					assert.InDelta(t, 0, math.Log(at/want), math.Log(1.5), "%d brokers, median %v: %v, not %v", n, median, at, want)
				}
				assert.GreaterOrEqual(t, at, 0.65*want, "%d brokers, median %v, %v short: %v", n, median, short, at)
			}
		}
	}
}

// TestNeedsIsBounded: whatever ends how, the factor stays in its bounds, and what ended short of it without an answer, or
// tells no time, moves nothing.
func TestNeedsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := NewDeadlineAdmission(rapid.IntRange(1, 2000).Draw(t, "n"))
		for range rapid.IntRange(0, 200).Draw(t, "queries") {
			age, last := rapid.Float64Range(0, 1e5).Draw(t, "age"), rapid.Float64Range(0, 1e3).Draw(t, "last")
			whole, was := rapid.Bool().Draw(t, "whole"), needs.factor
			needs.QueryEnded(age, last, whole)
			assert.GreaterOrEqual(t, needs.factor, needs.minFactor)
			assert.LessOrEqual(t, needs.factor, needs.maxFactor)
			if last == 0 || !whole && age < was*last {
				assert.Equal(t, was, needs.factor)
			}
		}
	})
}
