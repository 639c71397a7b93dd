package merge

import (
	"flag"
	"fmt"
	"math"
	"math/big"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
)

// CI must say the same every time; -rapid.seed=0 on the command line draws new tables.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var table = Schema{{Name: "premium", Kind: Int, Currency: "INR"}, {Name: "risk", Kind: Float}, {Name: "insurer", Kind: Text}}

func row(district int, key string, premium int64, risk float64) Row {
	return Row{District: district, Key: key, Values: []Value{IntOf(premium), FloatOf(risk), TextOf("a")}}
}

func order(t require.TestingT, by ...By) *Order {
	o, err := NewOrder(table, by)
	require.NoError(t, err)
	return o
}

// node answers as a slice's node does: its rows in order, after a place, so many at most.
func node(o *Order, all []Row, r shardmap.Range, after *Place, most int) *Batch {
	b := &Batch{Districts: r, Version: 1, Schema: table}
	for _, x := range all {
		if x.District >= r.Start && x.District < r.End && (after == nil || o.Compare(o.PlaceOf(x), *after) > 0) {
			if len(b.Rows) == most {
				b.More = true
				break
			}
			b.Rows = append(b.Rows, x)
		}
	}
	return b
}

// Pages of any size, over any cut of the districts that may change between pages and between two fetches of one page,
// give every row once and in order, with as many rounds as it takes.
func TestPagesAgreeHoweverDistrictsAreCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := order(t, By{"premium", rapid.Bool().Draw(t, "down")}, By{"risk", false})
		var all []Row
		for i := range rapid.IntRange(0, 60).Draw(t, "rows") {
			// Few premiums: ties run over slices and page borders.
			all = append(all, row(rapid.IntRange(0, 19).Draw(t, "district"), fmt.Sprint("k", i),
				int64(rapid.IntRange(1, 4).Draw(t, "premium")), float64(rapid.IntRange(0, 1).Draw(t, "risk"))))
		}
		slices.SortFunc(all, func(a, b Row) int { return o.rows(&a, &b) })
		cut := func() (out []shardmap.Range) {
			for at := 0; at < 20; {
				n := rapid.IntRange(1, 20-at).Draw(t, "cut")
				out = append(out, shardmap.Range{Start: at, End: at + n})
				at += n
			}
			return out
		}
		var got []Row
		var after *Place
		for pages := 0; ; pages++ {
			require.Less(t, pages, 70)
			limit, first := rapid.IntRange(1, 12).Draw(t, "limit"), rapid.IntRange(0, 5).Draw(t, "first")
			var batches []*Batch
			for _, r := range cut() {
				batches = append(batches, node(o, all, r, after, first))
			}
			var p Page
			for round := 0; ; round++ {
				require.Less(t, round, 70)
				for _, b := range batches {
					require.NoError(t, o.Check(b, after, limit+first))
				}
				rand.New(rand.NewPCG(uint64(round), 1)).Shuffle(len(batches), func(i, j int) {
					batches[i], batches[j] = batches[j], batches[i]
				})
				if p = o.Merge(batches, limit); len(p.Need) == 0 {
					break
				}
				for _, r := range p.Need {
					i := slices.IndexFunc(batches, func(b *Batch) bool { return b.Districts == r })
					require.True(t, batches[i].More, "only who has more is asked")
					batches[i] = node(o, all, r, after, len(batches[i].Rows)+max(first, 1))
				}
			}
			got = append(got, p.Rows...)
			if !p.More {
				break
			}
			require.Len(t, p.Rows, limit, "a page that is not the last is full")
			at := o.PlaceOf(p.Rows[len(p.Rows)-1])
			after = &at
		}
		require.Equal(t, all, got)
	})
}

func TestEdgesOfAPage(t *testing.T) {
	o := order(t, By{"premium", false})
	p := o.Merge(nil, 5)
	require.True(t, len(p.Rows) == 0 && !p.More && len(p.Need) == 0)
	empty := &Batch{Districts: shardmap.Range{Start: 0, End: 5}, Schema: table}
	p = o.Merge([]*Batch{empty, empty}, 5)
	require.True(t, len(p.Rows) == 0 && !p.More && len(p.Need) == 0, "all slices are empty")
	one := &Batch{Districts: shardmap.Range{Start: 5, End: 9}, Schema: table, Rows: []Row{row(5, "a", 1, 0)}}
	p = o.Merge([]*Batch{empty, one}, 0)
	require.True(t, len(p.Rows) == 0 && p.More, "limit 0 tells that there is something")
	p = o.Merge([]*Batch{empty, one}, 99)
	require.True(t, len(p.Rows) == 1 && !p.More)
	require.Equal(t, one.Districts, p.From[0])
}

func TestFaultsOfABatch(t *testing.T) {
	o := order(t, By{"premium", false}, By{"risk", true})
	good := func() *Batch {
		return &Batch{Districts: shardmap.Range{Start: 0, End: 9}, Schema: slices.Clone(table),
			Rows: []Row{row(1, "a", 1, 5), row(2, "b", 1, 4), row(2, "c", 3, 9)}}
	}
	require.NoError(t, o.Check(good(), nil, 3))
	for name, c := range map[string]struct {
		f   func(b *Batch)
		err error
	}{
		"another column":   {func(b *Batch) { b.Schema[2].Name = "x" }, ErrSchema},
		"another kind":     {func(b *Batch) { b.Schema[2].Kind = Int }, ErrSchema},
		"a column less":    {func(b *Batch) { b.Schema = b.Schema[:2] }, ErrSchema},
		"another currency": {func(b *Batch) { b.Schema[0].Currency = "USD" }, ErrCurrency},
		"a value less":     {func(b *Batch) { b.Rows[1].Values = b.Rows[1].Values[:2] }, ErrSchema},
		"no number":        {func(b *Batch) { b.Rows[1].Values[0] = TextOf("dear") }, ErrSchema},
		"null":             {func(b *Batch) { b.Rows[1].Values[0] = Value{} }, ErrNull},
		"NaN":              {func(b *Batch) { b.Rows[1].Values[1] = FloatOf(math.NaN()) }, ErrNaN},
		"out of order":     {func(b *Batch) { b.Rows[2].Values[0] = IntOf(0) }, ErrOrder},
		"wrong way":        {func(b *Batch) { b.Rows[0].Values[1] = FloatOf(1) }, ErrOrder},
		"a row twice":      {func(b *Batch) { b.Rows[2] = b.Rows[1] }, ErrTwice},
		"too many":         {func(b *Batch) { b.Rows = append(b.Rows, row(3, "d", 9, 1)) }, ErrTooMany},
		"another's row":    {func(b *Batch) { b.Rows[2].District = 9 }, ErrDistrict},
	} {
		b := good()
		c.f(b)
		err := o.Check(b, nil, 3)
		var f *Fault
		require.ErrorAs(t, err, &f, name)
		require.ErrorIs(t, err, c.err, name)
	}
	at := o.PlaceOf(row(1, "a", 1, 5))
	require.ErrorIs(t, o.Check(good(), &at, 3), ErrBefore, "the place itself is not after it")
	_, err := NewOrder(table, []By{{"age", false}})
	require.ErrorIs(t, err, ErrSchema)
}

// Aggregates are the same over any cut of the values into slices and any order in which these arrive, and so are exact
// sums of floats that no order of float additions gives.
func TestAggregatesDoNotDependOnTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		column := Column{Name: "risk", Kind: Float}
		values := rapid.SliceOfN(rapid.Float64Range(-1e300, 1e300), 1, 40).Draw(t, "values")
		whole, err := NewPartial(column)
		require.NoError(t, err)
		exact := new(big.Rat)
		for _, x := range values {
			require.NoError(t, whole.Add(FloatOf(x)))
			exact.Add(exact, new(big.Rat).SetFloat64(x))
		}
		parts := make([]*Partial, rapid.IntRange(1, 6).Draw(t, "slices"))
		for i := range parts {
			parts[i], _ = NewPartial(column)
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
		back, err := Restore(column, got.Count, b, got.Min, got.Max, quantile, distinct)
		require.NoError(t, err)
		require.Equal(t, got.Distinct(), back.Distinct())
	})
}

func TestWhatCannotBeAddedChangesNothing(t *testing.T) {
	p, err := NewPartial(Column{Name: "premium", Kind: Int, Currency: "INR"})
	require.NoError(t, err)
	require.NoError(t, p.Add(IntOf(math.MaxInt64-5)))
	require.NoError(t, p.Add(Value{}), "null counts for nothing")
	require.ErrorIs(t, p.Add(IntOf(6)), ErrOverflow)
	require.ErrorIs(t, p.Add(FloatOf(6)), ErrSchema)
	o, err := NewPartial(Column{Name: "premium", Kind: Int, Currency: "INR"})
	require.NoError(t, err)
	require.NoError(t, o.Add(IntOf(7)))
	require.ErrorIs(t, p.Combine(o), ErrOverflow)
	o.Column.Currency = "USD"
	require.ErrorIs(t, p.Combine(o), ErrCurrency)
	sum, err := p.Sum()
	require.NoError(t, err)
	require.Equal(t, IntOf(math.MaxInt64-5), sum)
	require.EqualValues(t, 1, p.Count)
	mean, err := p.Mean()
	require.NoError(t, err)
	require.InEpsilon(t, float64(math.MaxInt64), mean.Float, 1e-9)
	f, err := NewPartial(Column{Name: "risk", Kind: Float})
	require.NoError(t, err)
	require.ErrorIs(t, f.Add(FloatOf(math.NaN())), ErrNaN)
	require.ErrorIs(t, f.Add(FloatOf(math.Inf(1))), ErrNaN)
	require.ErrorIs(t, f.Add(FloatOf(math.MaxFloat64)), ErrSketch, "more than quantiles can hold")
	sum, err = f.Sum()
	require.NoError(t, err)
	require.Zero(t, sum.Float)
	require.NoError(t, f.Add(FloatOf(1.2e308)))
	require.NoError(t, f.Add(FloatOf(1.2e308)))
	_, err = f.Sum()
	require.ErrorIs(t, err, ErrOverflow)
}

func TestGroupsAreBoundedAndCombineAllOrNone(t *testing.T) {
	column := []Column{{Name: "premium", Kind: Int}}
	make := func(names ...string) *Groups {
		g := NewGroups(column, 3)
		for _, n := range names {
			x, err := g.Of([]Value{TextOf(n)})
			require.NoError(t, err)
			require.NoError(t, x.Partials[0].Add(IntOf(2)))
		}
		return g
	}
	a := make("x", "y")
	require.NoError(t, a.Combine(make("y", "z")))
	require.Len(t, a.All(), 3)
	require.EqualValues(t, 2, a.All()[1].Partials[0].Count)
	require.ErrorIs(t, a.Combine(make("x", "w")), ErrTooMany)
	require.EqualValues(t, 1, a.All()[0].Partials[0].Count, "none of it is in")
}

// FuzzRestore: whatever a node sends as its aggregates is usable or an error.
func FuzzRestore(f *testing.F) {
	p, _ := NewPartial(Column{Name: "risk", Kind: Float})
	for i := range 50 {
		_ = p.Add(FloatOf(float64(i)))
	}
	quantile, distinct, _ := p.Sketches()
	f.Add(uint64(50), 1225.0, 0.0, 49.0, quantile, distinct)
	f.Add(uint64(1), math.NaN(), 2.0, 1.0, []byte{1, 2, 3}, []byte{2, 14, 0, 1, 0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, n uint64, sum, least, most float64, quantile, distinct []byte) {
		p, err := Restore(Column{Name: "risk", Kind: Float}, n, FloatOf(sum), FloatOf(least), FloatOf(most), quantile, distinct)
		if err != nil {
			return
		}
		q, err := NewPartial(Column{Name: "risk", Kind: Float})
		if err != nil {
			t.Fatal(err)
		}
		if err := q.Combine(p); err == nil && q.Count != p.Count {
			t.Fatal(q.Count, p.Count)
		}
	})
}

func BenchmarkMerge200(b *testing.B) {
	o := order(b, By{"premium", false})
	var batches []*Batch
	for i := range 200 {
		x := &Batch{Districts: shardmap.Range{Start: i, End: i + 1}, Schema: table}
		for j := range 100 {
			x.Rows = append(x.Rows, row(i, fmt.Sprint(j), int64(j*200+i*7%200), 1))
		}
		batches = append(batches, x)
	}
	b.ReportAllocs()
	b.ResetTimer()
	rows := 0
	for range b.N {
		rows += len(o.Merge(batches, 20_000).Rows)
	}
	b.ReportMetric(float64(rows)/b.Elapsed().Seconds(), "rows/s")
}
