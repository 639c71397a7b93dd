package merge

import (
	"math"
	"math/big"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Aggregates are the same however the values are split into shards and in whatever order these arrive. Sums of floats
// are the exact ones, rounded once, which no order of float additions yields.
func TestAggregatesDoNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		column := Column{Name: "risk", Kind: Float}
		values := rapid.SliceOfN(rapid.Float64Range(-1e300, 1e300), 1, 40).Draw(t, "values")
		whole, err := NewPartialAggregate(column)
		require.NoError(t, err)
		exact := new(big.Rat)
		for _, x := range values {
			require.NoError(t, whole.Add(FloatOf(x)))
			exact.Add(exact, new(big.Rat).SetFloat64(x))
		}
		parts := make([]*PartialAggregate, rapid.IntRange(1, 6).Draw(t, "slices"))
		for i := range parts {
			parts[i], _ = NewPartialAggregate(column)
		}
		for _, x := range values {
			require.NoError(t, parts[rapid.IntRange(0, len(parts)-1).Draw(t, "slice")].Add(FloatOf(x)))
		}
		// A tree of any shape: two of them become one until one is left.
		for len(parts) > 1 {
			i := rapid.IntRange(0, len(parts)-1).Draw(t, "i")
			p := parts[i]
			parts = slices.Delete(parts, i, i+1)
			j := rapid.IntRange(0, len(parts)-1).Draw(t, "j")
			require.NoError(t, parts[j].Combine(p))
		}
		got := parts[0]
		a, err := whole.Sum()
		require.NoError(t, err)
		b, err := got.Sum()
		require.NoError(t, err)
		want, _ := exact.Float64()
		require.Equal(t, want, b.Float)
		require.Equal(t, a, b)
		require.Equal(t, whole.Count, got.Count)
		require.Equal(t, whole.Min, got.Min)
		require.Equal(t, whole.Max, got.Max)
		require.Equal(t, whole.Distinct(), got.Distinct())
		for _, q := range []float64{0, 0.5, 0.99, 1} {
			x, err := whole.Quantile(q)
			require.NoError(t, err)
			y, err := got.Quantile(q)
			require.NoError(t, err)
			require.Equal(t, x, y)
		}
		// And so after a way over the wire.
		quantile, distinct, err := got.Sketches()
		require.NoError(t, err)
		back, err := RestorePartialAggregate(column, got.Count, b, got.Min, got.Max, quantile, distinct)
		require.NoError(t, err)
		require.Equal(t, got.Distinct(), back.Distinct())
	})
}

func TestRejectedIntegersChangeNothing(t *testing.T) {
	p, err := NewPartialAggregate(Column{Name: "premium", Kind: Int, Currency: "INR"})
	require.NoError(t, err)
	require.NoError(t, p.Add(IntOf(math.MaxInt64-5)))
	require.NoError(t, p.Add(Value{}), "null counts for nothing")
	require.ErrorIs(t, p.Add(IntOf(6)), ErrOverflow)
	require.ErrorIs(t, p.Add(FloatOf(6)), ErrSchemaMismatch)
	o, err := NewPartialAggregate(Column{Name: "premium", Kind: Int, Currency: "INR"})
	require.NoError(t, err)
	require.NoError(t, o.Add(IntOf(7)))
	require.ErrorIs(t, p.Combine(o), ErrOverflow)
	o.Column.Currency = "USD"
	require.ErrorIs(t, p.Combine(o), ErrCurrencyMismatch)
	sum, err := p.Sum()
	require.NoError(t, err)
	require.Equal(t, IntOf(math.MaxInt64-5), sum)
	require.EqualValues(t, 1, p.Count)
	mean, err := p.Mean()
	require.NoError(t, err)
	require.InEpsilon(t, float64(math.MaxInt64), mean.Float, 1e-9)
	f, err := NewPartialAggregate(Column{Name: "risk", Kind: Float})
	require.NoError(t, err)
	require.ErrorIs(t, f.Add(FloatOf(math.NaN())), ErrInvalidNumber)
	require.ErrorIs(t, f.Add(FloatOf(math.Inf(1))), ErrInvalidNumber)
	require.ErrorIs(t, f.Add(FloatOf(math.MaxFloat64)), ErrInvalidSketch, "more than quantiles can hold")
	sum, err = f.Sum()
	require.NoError(t, err)
	require.Zero(t, sum.Float)
	require.NoError(t, f.Add(FloatOf(1.2e308)))
	require.NoError(t, f.Add(FloatOf(1.2e308)))
	_, err = f.Sum()
	require.ErrorIs(t, err, ErrOverflow)
}
