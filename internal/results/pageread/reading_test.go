package pageread

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/cursor"
	"ternstage/internal/results/fetchplan"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

func init() { _ = flag.Set("rapid.seed", "20261201") }

var testSchema = merge.Schema{{Name: "premium", Kind: merge.Int}}

// testTable is a table over districts, cut into slices of which some are silent.
type testTable struct {
	t            require.TestingT
	order        *merge.Order
	rows         []merge.Row // in order
	shards       []shardmap.Range
	shardEpochs  map[shardmap.Range]uint64
	versions     map[shardmap.Range]uint64
	silent       map[shardmap.Range]bool
	changeAnswer func(a *rows.Answer)
	answerErrors []error
	summaries    []*completeness.Summary
}

func newTable(t require.TestingT, premiums ...int64) *testTable {
	o, err := merge.NewOrder(testSchema, []merge.SortColumn{{Column: "premium"}})
	require.NoError(t, err)
	s := &testTable{t: t, order: o, shardEpochs: map[shardmap.Range]uint64{}, versions: map[shardmap.Range]uint64{},
		silent: map[shardmap.Range]bool{}}
	for i, p := range premiums { // district i%10
		s.rows = append(s.rows, merge.Row{Bucket: i % 10, Key: fmt.Sprintf("%03d", i), Values: []merge.Value{merge.IntOf(p)}})
	}
	slices.SortFunc(s.rows, func(a, b merge.Row) int { return o.Compare(o.PositionOf(a), o.PositionOf(b)) })
	for i := range 5 {
		s.shards = append(s.shards, shardmap.Range{Start: 2 * i, End: 2*i + 2})
	}
	return s
}

func (s *testTable) rowsAfter(d shardmap.Range, after *merge.Position) (out []merge.Row) {
	for _, r := range s.rows {
		if d.Start <= r.Bucket && r.Bucket < d.End && (after == nil || s.order.Compare(s.order.PositionOf(r), *after) > 0) {
			out = append(out, r)
		}
	}
	return out
}

func (s *testTable) query(size int) Query {
	return Query{Clause: &merge.Clause{Rank: []merge.RankColumn{{Column: "premium"}}, Page: &merge.PageClause{Size: size}},
		Epoch: 41, CompleteFrom: 1, Summaries: s.summaries,
		Plan: fetchplan.Options{Floor: 0.1, LatencyObjective: 1000, Deadline: 2000, PartialWorth: 0.9, LateWorth: 0.3, Margin: 20}}
}

// readPage reads a page to its end.
func (s *testTable) readPage(size int, before *cursor.Cursor) *Result {
	var parts []Part
	for _, d := range s.shards {
		parts = append(parts, Part{Buckets: d, Weight: float64(d.Size()) / 10, ShardEpoch: s.shardEpochs[d], Version: s.versions[d]})
	}
	now := 0.0
	r, asks := New(now, s.query(size), parts, before)
	for range 300 {
		for _, a := range asks {
			now++
			if s.silent[a.Buckets] {
				continue
			}
			list := s.rowsAfter(a.Buckets, a.After)
			n := min(a.Rows, len(list))
			x := &rows.Answer{Batch: merge.Batch{Buckets: a.Buckets, Version: max(s.versions[a.Buckets], 1), Schema: testSchema,
				Rows: slices.Clone(list[:n]), HasMore: n < len(list)}}
			if s.changeAnswer != nil {
				s.changeAnswer(x)
			}
			if err := r.RecordAnswer(now, x, a.Rows); err != nil {
				if s.answerErrors = append(s.answerErrors, err); x.Batch.Version < s.versions[a.Buckets] {
					r.RecordFailure(a.Buckets, completeness.Failed) // no replica has a newer one
				}
			}
		}
		st := r.Step(now)
		require.False(s.t, st.Hopeless)
		if st.Result != nil {
			return st.Result
		}
		if asks = st.Requests; len(asks) == 0 {
			require.Greater(s.t, st.WakeAt, now)
			now = st.WakeAt
		}
	}
	require.Fail(s.t, "the page does not end")
	return nil
}

func keysOf(list []merge.Row) (out []string) {
	for _, r := range list {
		out = append(out, r.Key)
	}
	return out
}

var cheapestShard = shardmap.Range{Start: 4, End: 6} // districts 4 and 5

// testPremiums has the cheapest policy in district 4.
func testPremiums() (out []int64) {
	for i := range 30 {
		out = append(out, int64(100+i*7%30))
	}
	out[4] = 1
	return out
}

// The missing slice holds the cheapest policy: no first place is claimed. It comes back before page two: page two agrees
// with page one, shows no row twice, and says that page one would now differ.
func TestShardReturnsBetweenPages(t *testing.T) {
	s := newTable(t, testPremiums()...)
	s.silent[cheapestShard] = true
	one := s.readPage(6, nil)
	require.False(t, one.Complete)
	require.Equal(t, []bool{false, false, false, false, false, false}, one.Certain, "it might hold the cheapest")
	require.InDelta(t, 0.8, one.Report.Weight, 1e-9)
	require.Equal(t, completeness.TimedOut, one.Report.Missing[0].Reason)

	s.silent[cheapestShard] = false
	two := s.readPage(6, one.Next)
	require.Equal(t, 7, two.FirstRank)
	require.Equal(t, []cursor.Span{{Start: 4, End: 6, Version: 1}}, two.Back)
	require.False(t, two.Complete)
	require.NotContains(t, two.Certain, true)
	seen := append(keysOf(one.Rows), keysOf(two.Rows)...)
	require.Len(t, slices.Compact(slices.Sorted(slices.Values(seen))), 12, "no row twice")
	require.NotContains(t, seen, "004", "what would have come before page two is on no page, and that is said")
	last := s.order.PositionOf(one.Rows[5])
	var rest []merge.Row
	for _, r := range s.rows {
		if s.order.Compare(s.order.PositionOf(r), last) > 0 {
			rest = append(rest, r)
		}
	}
	require.Equal(t, keysOf(rest[:6]), keysOf(two.Rows), "none is skipped by rank")

	// A summary of its least rules the cheapest out, or does not.
	s = newTable(t, testPremiums()...)
	s.silent[cheapestShard], s.versions[cheapestShard], s.shardEpochs[cheapestShard] = true, 3, 2
	note := &completeness.Summary{Buckets: cheapestShard, Version: 3, ShardEpoch: 2, Count: 6, FirstRank: []merge.Value{merge.IntOf(104)}}
	s.summaries = []*completeness.Summary{note}
	one = s.readPage(6, nil)
	require.Equal(t, []bool{true, true, true}, one.Certain[:3], "dearer than the first three")
	require.False(t, one.Certain[5])
	note.Version = 2
	require.False(t, s.readPage(6, nil).Certain[0], "an older summary is worth nothing")
}

// A slice that was read for page one is gone at page two.
func TestShardIsLostBetweenPages(t *testing.T) {
	s := newTable(t, testPremiums()...)
	one := s.readPage(6, nil)
	require.True(t, one.Complete)
	require.NotContains(t, one.Certain, false)
	s.silent[cheapestShard] = true
	two := s.readPage(6, one.Next)
	require.Equal(t, []cursor.Span{{Start: 4, End: 6}}, two.Gone)
	require.False(t, two.Complete)
	require.NotContains(t, two.Certain, true)
	require.True(t, s.order.Compare(s.order.PositionOf(one.Rows[5]), s.order.PositionOf(two.Rows[0])) < 0, "it stays in order")
}

// A replica answers from an older data version than page one's.
func TestDataVersionOfPageTwo(t *testing.T) {
	s := newTable(t, testPremiums()...)
	s.versions[cheapestShard] = 5
	one := s.readPage(6, nil)
	s.changeAnswer = func(a *rows.Answer) {
		if a.Batch.Buckets == cheapestShard {
			a.Batch.Version = 4
		}
	}
	two := s.readPage(6, one.Next)
	require.ErrorIs(t, s.answerErrors[0], ErrStaleVersion)
	require.Equal(t, completeness.StaleVersion, two.Report.Missing[0].Reason, "no replica was better: the slice is missing")
	s.changeAnswer, s.versions[cheapestShard] = nil, 6
	two = s.readPage(6, one.Next)
	require.Equal(t, []cursor.Span{{Start: 4, End: 6, Version: 6}}, two.Other, "a newer one is read, and said")
}

// What one slice brings cannot be combined: it is missing by name, and the others are answered.
func TestMalformedAnswerIsReported(t *testing.T) {
	for name, f := range map[string]func(b *merge.Batch){
		"out of order":  func(b *merge.Batch) { slices.Reverse(b.Rows) },
		"other columns": func(b *merge.Batch) { b.Schema = merge.Schema{{Name: "premium", Kind: merge.Int, Currency: "USD"}} },
		"null":          func(b *merge.Batch) { b.Rows[0].Values = []merge.Value{{}} },
		"too many":      func(b *merge.Batch) { b.Rows = append(b.Rows, slices.Repeat(b.Rows, 40)...) },
	} {
		s := newTable(t, testPremiums()...)
		s.changeAnswer = func(a *rows.Answer) {
			if a.Batch.Buckets == cheapestShard {
				f(&a.Batch)
			}
		}
		one := s.readPage(6, nil)
		require.Len(t, one.Report.Missing, 1, name)
		require.Equal(t, completeness.Malformed, one.Report.Missing[0].Reason, name)
		require.NotEmpty(t, one.Report.Missing[0].Detail, name)
		for _, r := range one.Rows {
			require.False(t, r.Bucket == 4 || r.Bucket == 5, "%s: none of its rows", name)
		}
	}
}

// Over any table, with slices cut anew and silent at random between pages, no row is shown twice, order holds over all
// pages, a rank that is called certain is the true one, and whole is said only of what is whole.
func TestPagesAgree(t *testing.T) {
	certain := 0
	rapid.Check(t, func(t *rapid.T) {
		var p []int64
		for range rapid.IntRange(0, 40).Draw(t, "rows") {
			p = append(p, int64(rapid.IntRange(0, 9).Draw(t, "premium")))
		}
		s := newTable(t, p...)
		var before *cursor.Cursor
		var got []merge.Row
		for pages := 0; pages < 60; pages++ {
			s.shards, s.silent = nil, map[shardmap.Range]bool{}
			for at := 0; at < 10; {
				d := shardmap.Range{Start: at, End: at + rapid.IntRange(1, 10-at).Draw(t, "cut")}
				s.shards, at = append(s.shards, d), d.End
				s.silent[d] = d.Start > 0 && rapid.IntRange(0, 9).Draw(t, "silent") == 0
			}
			r := s.readPage(rapid.IntRange(1, 9).Draw(t, "size"), before)
			require.Equal(t, len(got)+1, r.FirstRank)
			missing := 0
			for _, d := range s.shards {
				if s.silent[d] {
					missing++
				}
			}
			require.Equal(t, missing > 0, len(r.Report.Missing) > 0)
			require.False(t, r.Complete && missing > 0)
			for i, x := range r.Rows {
				if len(got) > 0 {
					require.Negative(t, s.order.Compare(s.order.PositionOf(got[len(got)-1]), s.order.PositionOf(x)))
				}
				if got = append(got, x); r.Certain[i] {
					certain++
					require.Equal(t, s.rows[r.FirstRank+i-1].Key, x.Key)
				}
			}
			if before = r.Next; before == nil {
				return
			}
		}
	})
	require.Positive(t, certain)
}

// Slices whose columns only the others show to be wrong count for nothing towards the floor either.
func TestFloorCountsOnlyWhatCanBeMerged(t *testing.T) {
	for floor, hopeless := range map[float64]bool{0.6: false, 0.7: true} {
		q := newTable(t).query(3)
		q.Plan.Floor = floor
		var parts []Part
		for i := range 5 {
			parts = append(parts, Part{Buckets: shardmap.Range{Start: i, End: i + 1}, Weight: 0.2})
		}
		r, asks := New(0, q, parts, nil)
		for i, a := range asks {
			schema := testSchema
			if i < 2 { // those that come first are not right for that
				schema = merge.Schema{{Name: "premium", Kind: merge.Int, Currency: "USD"}}
			}
			require.NoError(t, r.RecordAnswer(1, &rows.Answer{Batch: merge.Batch{Buckets: a.Buckets, Version: 1, Schema: schema}}, a.Rows))
		}
		st := r.Step(2)
		require.Equal(t, hopeless, st.Hopeless)
		if !hopeless {
			require.Len(t, st.Result.Report.Missing, 2)
			require.ErrorContains(t, fmt.Errorf("%s", st.Result.Report.Missing[0].Detail), merge.ErrCurrencyMismatch.Error())
		}
	}
}

// Aggregates are over what is in, with a bound where a summary gives one, and a sum that would overflow fails the slice
// that makes it do so and not the figure.
func TestAggregatesOfACompleteAnswer(t *testing.T) {
	c, err := merge.ParseClause([]byte(`{"aggregate":[{"name":"n","do":"count"},{"name":"total","do":"sum","of":"premium"},
		{"name":"least","do":"min","of":"premium"},{"name":"mean","do":"mean","of":"premium"},
		{"name":"median","do":"quantile","of":"premium","q":0.5},{"name":"kinds","do":"distinct","of":"premium"}]}`))
	require.NoError(t, err)
	columns := []merge.Column{{Kind: merge.Int}, testSchema[0]}
	read := func(values map[int][]int64, notes ...*completeness.Summary) Step {
		q := newTable(t).query(0)
		q.Clause, q.Summaries = c, notes
		var parts []Part
		for i := range 3 {
			parts = append(parts, Part{Buckets: shardmap.Range{Start: i, End: i + 1}, Weight: 1.0 / 3, Version: 1, ShardEpoch: 1})
		}
		r, _ := New(0, q, parts, nil)
		for i, p := range parts {
			list, in := values[i]
			if !in {
				r.RecordFailure(p.Buckets, completeness.Failed)
				continue
			}
			g := merge.NewGroups(columns, 1)
			x, err := g.GetOrCreate(nil)
			require.NoError(t, err)
			for _, v := range list {
				require.NoError(t, x.Partials[0].Add(merge.IntOf(0)))
				require.NoError(t, x.Partials[1].Add(merge.IntOf(v)))
			}
			require.NoError(t, r.RecordAnswer(1, &rows.Answer{Batch: merge.Batch{Buckets: p.Buckets, Version: 1, Schema: testSchema},
				Groups: g}, 0))
		}
		return r.Step(2)
	}
	figures := func(st Step) map[string]Aggregate {
		require.NotNil(t, st.Result)
		require.Len(t, st.Result.Groups, 1)
		out := map[string]Aggregate{}
		for _, f := range st.Result.Groups[0].Aggregates {
			out[f.Name] = f
		}
		return out
	}
	exact := func(x float64) completeness.Bound { return completeness.Bound{Known: true, Low: x, High: x} }
	f := figures(read(map[int][]int64{0: {5, 7}, 1: {}, 2: {3, 3, 2}}))
	require.Equal(t, Aggregate{"n", merge.IntOf(5), exact(5)}, f["n"])
	require.Equal(t, Aggregate{"total", merge.IntOf(20), exact(20)}, f["total"])
	require.Equal(t, Aggregate{"least", merge.IntOf(2), exact(2)}, f["least"])
	require.Equal(t, Aggregate{"mean", merge.FloatOf(4), exact(4)}, f["mean"])
	require.InEpsilon(t, 3, f["median"].Value.Float, 2*merge.QuantileAccuracy)
	require.Equal(t, merge.IntOf(4), f["kinds"].Value)

	f = figures(read(map[int][]int64{0: {5, 7}, 2: {3}}))
	require.Equal(t, Aggregate{"total", merge.IntOf(15), completeness.Bound{}}, f["total"], "nothing is known of what is missing")
	require.False(t, f["least"].Bound.Known)
	note := &completeness.Summary{Buckets: shardmap.Range{Start: 1, End: 2}, Version: 1, ShardEpoch: 1, Count: 2, Min: 1, Max: 4, Sum: 5,
		FirstRank: []merge.Value{}}
	f = figures(read(map[int][]int64{0: {5, 7}, 2: {3}}, note))
	require.Equal(t, exact(20), f["total"].Bound)
	require.Equal(t, exact(5), f["n"].Bound)
	require.Equal(t, Aggregate{"least", merge.IntOf(3), exact(1)}, f["least"], "the least that is in, and the least that is")
	require.False(t, f["median"].Bound.Known)

	st := read(map[int][]int64{0: {1 << 62}, 1: {1 << 62}, 2: {3}})
	f = figures(st)
	require.Equal(t, merge.IntOf(1<<62+3), f["total"].Value)
	require.Len(t, st.Result.Report.Missing, 1)
	require.Contains(t, st.Result.Report.Missing[0].Detail, "overflows")
}
