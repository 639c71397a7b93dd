package pageread

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/cursor"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

// The shard with the lowest premium is missing on page one and answers on page two. Page one must have no certain
// rank. Page two must continue page one without repeating rows, and report that page one would now differ.
func TestShardReturnsBetweenPages(t *testing.T) {
	table := newTable(t, testPremiums()...)
	table.unresponsive[cheapestShard] = true
	first := table.readPage(6, nil)
	require.False(t, first.Complete)
	require.Equal(t, []bool{false, false, false, false, false, false}, first.Certain,
		"the missing shard may hold the lowest premium")
	require.InDelta(t, 0.8, first.Report.Weight, 1e-9)
	require.Equal(t, completeness.TimedOut, first.Report.Missing[0].Reason)

	table.unresponsive[cheapestShard] = false
	second := table.readPage(6, first.Next)
	require.Equal(t, 7, second.FirstRank)
	require.Equal(t, []cursor.Span{{Start: 4, End: 6, Version: 1}}, second.Changes.NowPresent)
	require.False(t, second.Complete)
	require.NotContains(t, second.Certain, true)
	keys := append(keysOf(first.Rows), keysOf(second.Rows)...)
	require.Len(t, slices.Compact(slices.Sorted(slices.Values(keys))), 12, "no row is repeated")
	require.NotContains(t, keys, "004", "a row that belongs on page one must not be on page two")
	last := table.order.PositionOf(first.Rows[5])
	rest := table.rowsAfter(shardmap.Range{Start: 0, End: testBucketCount}, &last)
	require.Equal(t, keysOf(rest[:6]), keysOf(second.Rows), "no row after page one is skipped")
}

// A summary of a missing shard must make the ranks before its first row certain. Without it, one unresponsive shard
// would leave all ranks uncertain.
func TestSummaryMakesRanksCertain(t *testing.T) {
	table := newTable(t, testPremiums()...)
	table.unresponsive[cheapestShard] = true
	table.versions[cheapestShard] = 3
	table.shardEpochs[cheapestShard] = 2
	summary := &completeness.Summary{Buckets: cheapestShard, Version: 3, ShardEpoch: 2, Count: 6,
		FirstRank: []merge.Value{merge.IntOf(104)}}
	table.summaries = []*completeness.Summary{summary}
	page := table.readPage(6, nil)
	require.Equal(t, []bool{true, true, true}, page.Certain[:3],
		"the first premium of the missing shard is above the first three")
	require.False(t, page.Certain[5])
	summary.Version = 2
	require.False(t, table.readPage(6, nil).Certain[0], "a summary of an older version does not apply")
}

func TestShardIsLostBetweenPages(t *testing.T) {
	table := newTable(t, testPremiums()...)
	first := table.readPage(6, nil)
	require.True(t, first.Complete)
	require.NotContains(t, first.Certain, false)
	table.unresponsive[cheapestShard] = true
	second := table.readPage(6, first.Next)
	require.Equal(t, []cursor.Span{{Start: 4, End: 6}}, second.Changes.NowMissing)
	require.False(t, second.Complete)
	require.NotContains(t, second.Certain, true)
	require.True(t, table.compare(first.Rows[5], second.Rows[0]) < 0, "pages stay in order")
}

// On page two a replica answers first with an older data version than page one read, then with a newer one. The older
// one must be rejected, and the newer one reported as a change.
func TestDataVersionOfPageTwo(t *testing.T) {
	table := newTable(t, testPremiums()...)
	table.versions[cheapestShard] = 5
	first := table.readPage(6, nil)
	table.changeAnswer = func(answer *rows.Answer) {
		if answer.Batch.Buckets == cheapestShard {
			answer.Batch.Version = 4
		}
	}
	second := table.readPage(6, first.Next)
	require.ErrorIs(t, table.answerErrors[0], ErrStaleVersion)
	require.Equal(t, completeness.StaleVersion, second.Report.Missing[0].Reason, "no replica has the newer version")
	table.changeAnswer = nil
	table.versions[cheapestShard] = 6
	second = table.readPage(6, first.Next)
	require.Equal(t, []cursor.Span{{Start: 4, End: 6, Version: 6}}, second.Changes.Updated)
}

// drawShards splits the buckets into shards. All but the first may be unresponsive.
func drawShards(t *rapid.T, table *testTable) {
	table.shards = nil
	table.unresponsive = map[shardmap.Range]bool{}
	for start := 0; start < testBucketCount; {
		buckets := shardmap.Range{Start: start, End: start + rapid.IntRange(1, testBucketCount-start).Draw(t, "size")}
		table.shards = append(table.shards, buckets)
		start = buckets.End
		table.unresponsive[buckets] = buckets.Start > 0 && rapid.IntRange(0, 9).Draw(t, "unresponsive") == 0
	}
}

// Shards are split anew and become unresponsive at random between pages. No row may be repeated, all pages must be in
// order, a certain rank must be the true one, and only a complete page may be reported as complete.
func TestPagesAgree(t *testing.T) {
	certain := 0
	rapid.Check(t, func(t *rapid.T) {
		var premiums []int64
		for range rapid.IntRange(0, 40).Draw(t, "rows") {
			premiums = append(premiums, int64(rapid.IntRange(0, 9).Draw(t, "premium")))
		}
		table := newTable(t, premiums...)
		var previous *cursor.Cursor
		var read []merge.Row
		for pages := 0; pages < 60; pages++ {
			drawShards(t, table)
			page := table.readPage(rapid.IntRange(1, 9).Draw(t, "size"), previous)
			require.Equal(t, len(read)+1, page.FirstRank)
			missing := 0
			for _, buckets := range table.shards {
				if table.unresponsive[buckets] {
					missing++
				}
			}
			require.Equal(t, missing > 0, len(page.Report.Missing) > 0)
			require.False(t, page.Complete && missing > 0)
			for i, row := range page.Rows {
				if len(read) > 0 {
					require.Negative(t, table.compare(read[len(read)-1], row))
				}
				read = append(read, row)
				if page.Certain[i] {
					certain++
					require.Equal(t, table.rows[page.FirstRank+i-1].Key, row.Key)
				}
			}
			previous = page.Next
			if previous == nil {
				return
			}
		}
	})
	require.Positive(t, certain)
}
