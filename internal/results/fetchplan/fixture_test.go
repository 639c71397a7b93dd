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

// testTable is a table of shards with one bucket each and equal weights.
type testTable struct {
	order   *merge.Order
	shards  []shardmap.Range
	weights []float64
	rows    map[shardmap.Range][]merge.Row // in order
}

// newTable creates a table. drawPremium returns the premium of each row.
func newTable(t require.TestingT, shards, rowsPerShard int, drawPremium func() int64) *testTable {
	order, err := merge.NewOrder(testSchema, []merge.SortColumn{{Column: "premium"}})
	require.NoError(t, err)
	table := &testTable{order: order, rows: map[shardmap.Range][]merge.Row{}}
	for i := range shards {
		buckets := shardmap.Range{Start: i, End: i + 1}
		table.shards = append(table.shards, buckets)
		table.weights = append(table.weights, 1/float64(shards))
		for j := range rowsPerShard {
			table.rows[buckets] = append(table.rows[buckets], newRow(i, j, drawPremium()))
		}
		table.sort(table.rows[buckets])
	}
	return table
}

func newRow(bucket, number int, premium int64) merge.Row {
	return merge.Row{Bucket: bucket, Key: fmt.Sprintf("%06d", number), Values: []merge.Value{merge.IntOf(premium)}}
}

func (table *testTable) sort(rows []merge.Row) {
	slices.SortFunc(rows, func(a, b merge.Row) int {
		return table.order.Compare(table.order.PositionOf(a), table.order.PositionOf(b))
	})
}

// readPage executes a plan until the page is final. The shards answer at intervals of 1 ms, except for unresponsive
// ones, which never answer.
func (table *testTable) readPage(t require.TestingT, plan *Plan, requests []Request, limit int,
	unresponsive func(shardmap.Range) bool) merge.Page {
	batches := map[shardmap.Range]*merge.Batch{}
	nowMs := 0.0
	for round := 0; round < 200; round++ {
		for _, request := range requests {
			nowMs++
			if unresponsive(request.Buckets) {
				continue
			}
			rows := table.rows[request.Buckets]
			count := min(request.Rows, len(rows))
			hasMore := count < len(rows)
			if plan.RecordAnswer(nowMs, request.Buckets, count, hasMore) {
				batches[request.Buckets] = &merge.Batch{Buckets: request.Buckets, Schema: testSchema, Rows: rows[:count],
					HasMore: hasMore}
			}
		}
		for decision := plan.Decide(nowMs); !decision.Done; decision = plan.Decide(nowMs) {
			require.Greater(t, decision.WakeAtMs, nowMs, "a decision to wait names a later time")
			nowMs = decision.WakeAtMs
		}
		var included []*merge.Batch
		for buckets, batch := range batches {
			if plan.IsIncluded(buckets) {
				included = append(included, batch)
			}
		}
		page := table.order.Merge(included, limit)
		requests = plan.RequestMore(nowMs, page.NeedMore)
		if len(page.NeedMore) == 0 {
			return page
		}
	}
	require.Fail(t, "the page does not become final")
	return merge.Page{}
}

func newOptions(limit int) Options {
	return Options{Limit: limit, MinCompleteness: 0.7, LatencyObjectiveMs: 10_000, DeadlineMs: 20_000,
		PartialFactor: 0.9, LateFactor: 0.3, MarginMs: 20}
}
