package fetchplan

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// The page must have the first rows of the included shards, even if other shards do not answer.
func TestPageHasFirstRowsOfIncludedShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 12).Draw(t, "shards")
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		table := newTable(t, shards, rapid.IntRange(0, 15).Draw(t, "rows"),
			func() int64 { return int64(rapid.IntRange(0, 20).Draw(t, "premium")) })
		options := newOptions(limit)
		options.MinCompleteness = 0.1
		options.MaxRowsPerRequest = rapid.IntRange(0, 5).Draw(t, "maxRows")
		unresponsive := map[shardmap.Range]bool{}
		for _, buckets := range table.shards[1:] {
			unresponsive[buckets] = rapid.IntRange(0, 4).Draw(t, "unresponsive") == 0
		}
		plan, requests := New(0, options, table.shards, table.weights)
		page := table.readPage(t, plan, requests, limit, func(buckets shardmap.Range) bool { return unresponsive[buckets] })
		var rows []merge.Row
		for _, buckets := range table.shards {
			require.Equal(t, !unresponsive[buckets], plan.IsIncluded(buckets))
			if !unresponsive[buckets] {
				rows = append(rows, table.rows[buckets]...)
			}
		}
		table.sort(rows)
		want := rows[:min(limit, len(rows))]
		require.Equal(t, len(want), len(page.Rows))
		for i := range want {
			require.Equal(t, want[i], page.Rows[i])
		}
		require.Equal(t, len(rows) > limit, page.HasMore)
	})
}

// If a shard is split between two requests of a page, the rows from before the split must not be merged, and both
// halves must be read from the start.
func TestSplitBetweenTwoRequests(t *testing.T) {
	shards := []shardmap.Range{{Start: 0, End: 10}, {Start: 10, End: 20}}
	plan, _ := New(0, newOptions(10), shards, []float64{0.5, 0.5})
	require.True(t, plan.RecordAnswer(5, shards[0], 8, true))
	require.True(t, plan.RecordAnswer(5, shards[1], 8, true))
	require.Len(t, plan.RequestMore(6, shards[:1]), 1)
	requests := plan.Reshard(7, shards[0], []shardmap.Range{{Start: 0, End: 4}, {Start: 4, End: 10}})
	require.Len(t, requests, 2)
	require.Zero(t, requests[0].Received)
	require.False(t, plan.IsIncluded(shards[0]))
	require.False(t, plan.RecordAnswer(8, shards[0], 16, true), "the answer of the old shard is not wanted")
	present, possible := plan.sumWeights()
	require.InDelta(t, 0.5, present, 1e-9)
	require.InDelta(t, 1, possible, 1e-9)
	require.True(t, plan.RecordAnswer(8, requests[0].Buckets, 3, false))
	require.True(t, plan.RecordAnswer(8, requests[1].Buckets, 3, false))
	require.True(t, plan.Decide(9).Done)
}
