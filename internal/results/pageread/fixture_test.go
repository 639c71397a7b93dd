package pageread

import (
	"flag"
	"fmt"
	"slices"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/cursor"
	"ternstage/internal/results/fetchplan"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 on the command line draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var testSchema = merge.Schema{{Name: "premium", Kind: merge.Int}}

// testTable is a table of ten buckets and the backends that hold its shards.
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

// newTable makes a table of five shards with a row for each premium; row i is of bucket i modulo 10.
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

// rowsAfter are the rows of some buckets after a position, or from the first if that is nil.
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

// readPage reads a page to its end. Requests are answered 1 ms after each other.
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

// cheapestShard is the shard of buckets 4 and 5.
var cheapestShard = shardmap.Range{Start: 4, End: 6}

// testPremiums are 30 premiums with the lowest, of key 004, in the cheapest shard.
func testPremiums() (out []int64) {
	for i := range 30 {
		out = append(out, int64(100+i*7%30))
	}
	out[4] = 1
	return out
}
