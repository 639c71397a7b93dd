package merge

import (
	"math"
	"math/big"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newPartial(t require.TestingT, column Column) *PartialAggregate {
	if helper, ok := t.(interface{ Helper() }); ok {
		helper.Helper()
	}
	partial, err := NewPartialAggregate(column)
	require.NoError(t, err)
	return partial
}

// requireEqualAggregates checks that both aggregates have the same sum, count, minimum, maximum, quantiles and
// distinct count. It returns the sum.
func requireEqualAggregates(t *rapid.T, want, got *PartialAggregate) Value {
	t.Helper()
	wantSum, err := want.Sum()
	require.NoError(t, err)
	gotSum, err := got.Sum()
	require.NoError(t, err)
	require.Equal(t, wantSum, gotSum)
	require.Equal(t, want.Count, got.Count)
	require.Equal(t, want.Min, got.Min)
	require.Equal(t, want.Max, got.Max)
	require.Equal(t, want.Distinct(), got.Distinct())
	for _, share := range []float64{0, 0.5, 0.99, 1} {
		wantQuantile, err := want.Quantile(share)
		require.NoError(t, err)
		gotQuantile, err := got.Quantile(share)
		require.NoError(t, err)
		require.Equal(t, wantQuantile, gotQuantile)
	}
	return gotSum
}

// Aggregates must not depend on how values are split into shards or in which order the shards answer. Adding floats
// one by one depends on the order, so sums of floats must be exact and rounded once.
func TestAggregatesDoNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		column := Column{Name: "risk", Kind: Float}
		values := rapid.SliceOfN(rapid.Float64Range(-1e300, 1e300), 1, 40).Draw(t, "values")
		unsplit := newPartial(t, column)
		exact := new(big.Rat)
		for _, x := range values {
			require.NoError(t, unsplit.Add(FloatOf(x)))
			exact.Add(exact, new(big.Rat).SetFloat64(x))
		}
		partials := make([]*PartialAggregate, rapid.IntRange(1, 6).Draw(t, "shards"))
		for i := range partials {
			partials[i] = newPartial(t, column)
		}
		for _, x := range values {
			require.NoError(t, partials[rapid.IntRange(0, len(partials)-1).Draw(t, "shard")].Add(FloatOf(x)))
		}
		// Combine any two until one is left, which tests combination trees of any shape.
		for len(partials) > 1 {
			i := rapid.IntRange(0, len(partials)-1).Draw(t, "i")
			partial := partials[i]
			partials = slices.Delete(partials, i, i+1)
			j := rapid.IntRange(0, len(partials)-1).Draw(t, "j")
			require.NoError(t, partials[j].Combine(partial))
		}
		combined := partials[0]
		sum := requireEqualAggregates(t, unsplit, combined)
		want, _ := exact.Float64()
		require.Equal(t, want, sum.Float)

		quantiles, distinct, err := combined.EncodeSketches()
		require.NoError(t, err)
		restored, err := RestorePartialAggregate(column, combined.Count, sum, combined.Min, combined.Max, quantiles, distinct)
		require.NoError(t, err)
		require.Equal(t, combined.Distinct(), restored.Distinct())
	})
}

func TestRejectedIntegersChangeNothing(t *testing.T) {
	column := Column{Name: "premium", Kind: Int, Currency: "INR"}
	partial := newPartial(t, column)
	require.NoError(t, partial.Add(IntOf(math.MaxInt64-5)))
	require.NoError(t, partial.Add(Value{}), "null is ignored")
	require.ErrorIs(t, partial.Add(IntOf(6)), ErrOverflow)
	require.ErrorIs(t, partial.Add(FloatOf(6)), ErrSchemaMismatch)
	other := newPartial(t, column)
	require.NoError(t, other.Add(IntOf(7)))
	require.ErrorIs(t, partial.Combine(other), ErrOverflow)
	other.Column.Currency = "USD"
	require.ErrorIs(t, partial.Combine(other), ErrCurrencyMismatch)
	sum, err := partial.Sum()
	require.NoError(t, err)
	require.Equal(t, IntOf(math.MaxInt64-5), sum)
	require.EqualValues(t, 1, partial.Count)
	mean, err := partial.Mean()
	require.NoError(t, err)
	require.InEpsilon(t, float64(math.MaxInt64), mean.Float, 1e-9)
}

func TestRejectedFloatsChangeNothing(t *testing.T) {
	partial := newPartial(t, Column{Name: "risk", Kind: Float})
	require.ErrorIs(t, partial.Add(FloatOf(math.NaN())), ErrInvalidNumber)
	require.ErrorIs(t, partial.Add(FloatOf(math.Inf(1))), ErrInvalidNumber)
	require.ErrorIs(t, partial.Add(FloatOf(math.MaxFloat64)), ErrInvalidSketch, "beyond the range of the quantile sketch")
	sum, err := partial.Sum()
	require.NoError(t, err)
	require.Zero(t, sum.Float)
	require.NoError(t, partial.Add(FloatOf(1.2e308)))
	require.NoError(t, partial.Add(FloatOf(1.2e308)))
	_, err = partial.Sum()
	require.ErrorIs(t, err, ErrOverflow)
}
