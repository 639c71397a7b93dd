package fetchplan

import (
	"flag"
	"fmt"
	"slices"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 on the command line draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var testSchema = merge.Schema{{Name: "premium", Kind: merge.Int}}

// testTable is a table whose buckets are shards, one each, of equal weights.
type testTable struct {
	order *merge.Order
	rows  map[shardmap.Range][]merge.Row
}

// newTable makes a table; drawPremium gives the premium of each row.
func newTable(t require.TestingT, n, each int, draw func() int64) (*testTable, []shardmap.Range, []float64) {
	o, err := merge.NewOrder(testSchema, []merge.SortColumn{{Column: "premium"}})
	require.NoError(t, err)
	w := &testTable{order: o, rows: map[shardmap.Range][]merge.Row{}}
	var districts []shardmap.Range
	var weights []float64
	for i := range n {
		d := shardmap.Range{Start: i, End: i + 1}
		districts, weights = append(districts, d), append(weights, 1/float64(n))
		for j := range each {
			w.rows[d] = append(w.rows[d], merge.Row{Bucket: i, Key: fmt.Sprintf("%06d", j),
				Values: []merge.Value{merge.IntOf(draw())}})
		}
		slices.SortFunc(w.rows[d], func(a, b merge.Row) int { return o.Compare(o.PositionOf(a), o.PositionOf(b)) })
	}
	return w, districts, weights
}

// readPage carries a plan out to its end. Requests are answered 1 ms after each other, but for those to silent shards,
// which never are.
func (w *testTable) readPage(t require.TestingT, p *Plan, asks []Request, limit int, never func(shardmap.Range) bool) merge.Page {
	batches, now := map[shardmap.Range]*merge.Batch{}, 0.0
	for round := 0; round < 200; round++ {
		for _, a := range asks {
			if now++; never(a.Buckets) {
				continue
			}
			rows := w.rows[a.Buckets]
			n := min(a.Rows, len(rows))
			if p.RecordAnswer(now, a.Buckets, n, n < len(rows)) {
				batches[a.Buckets] = &merge.Batch{Buckets: a.Buckets, Schema: testSchema, Rows: rows[:n], HasMore: n < len(rows)}
			}
		}
		for v := p.Decide(now); !v.Done; v = p.Decide(now) {
			require.Greater(t, v.WakeAt, now, "it is told when to look again")
			now = v.WakeAt
		}
		var list []*merge.Batch
		for d, b := range batches {
			if p.Included(d) {
				list = append(list, b)
			}
		}
		page := w.order.Merge(list, limit)
		if asks = p.RequestMore(now, page.NeedMore); len(page.NeedMore) == 0 {
			return page
		}
	}
	require.Fail(t, "the page does not end")
	return merge.Page{}
}

func newOptions(limit int) Options {
	return Options{Limit: limit, Floor: 0.7, LatencyObjective: 10_000, Deadline: 20_000, PartialWorth: 0.9,
		LateWorth: 0.3, Margin: 20}
}
