package fetchplan

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// With some shards silent the page is the true one over the shards that are included.
func TestPageIsThatOfTheIncludedShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, limit := rapid.IntRange(1, 12).Draw(t, "slices"), rapid.IntRange(0, 20).Draw(t, "limit")
		w, districts, weights := newTable(t, n, rapid.IntRange(0, 15).Draw(t, "rows"),
			func() int64 { return int64(rapid.IntRange(0, 20).Draw(t, "premium")) })
		o := newOptions(limit)
		o.Floor, o.MaxRowsPerRequest = 0.1, rapid.IntRange(0, 5).Draw(t, "most")
		silent := map[shardmap.Range]bool{}
		for _, d := range districts[1:] {
			silent[d] = rapid.IntRange(0, 4).Draw(t, "silent") == 0
		}
		p, asks := New(0, o, districts, weights)
		page := w.readPage(t, p, asks, limit, func(d shardmap.Range) bool { return silent[d] })
		var all []merge.Row
		for _, d := range districts {
			require.Equal(t, !silent[d], p.Included(d))
			if !silent[d] {
				all = append(all, w.rows[d]...)
			}
		}
		slices.SortFunc(all, func(a, b merge.Row) int { return w.order.Compare(w.order.PositionOf(a), w.order.PositionOf(b)) })
		want := all[:min(limit, len(all))]
		require.Equal(t, len(want), len(page.Rows))
		for i := range want {
			require.Equal(t, want[i], page.Rows[i])
		}
		require.Equal(t, len(all) > limit, page.HasMore)
	})
}

// A shard that is split between two requests of a page is read anew as its halves; its old rows do not count.
func TestSplitBetweenTwoRequests(t *testing.T) {
	d := []shardmap.Range{{Start: 0, End: 10}, {Start: 10, End: 20}}
	p, _ := New(0, newOptions(10), d, []float64{0.5, 0.5})
	require.True(t, p.RecordAnswer(5, d[0], 8, true))
	require.True(t, p.RecordAnswer(5, d[1], 8, true))
	require.Len(t, p.RequestMore(6, d[:1]), 1)
	asks := p.Reshard(7, d[0], []shardmap.Range{{Start: 0, End: 4}, {Start: 4, End: 10}})
	require.Len(t, asks, 2)
	require.Zero(t, asks[0].Received)
	require.False(t, p.Included(d[0]))
	require.False(t, p.RecordAnswer(8, d[0], 16, true), "the old slice's answer comes too late")
	in, could := p.weights()
	require.InDelta(t, 0.5, in, 1e-9)
	require.InDelta(t, 1, could, 1e-9)
	require.True(t, p.RecordAnswer(8, asks[0].Buckets, 3, false))
	require.True(t, p.RecordAnswer(8, asks[1].Buckets, 3, false))
	require.True(t, p.Decide(9).Done)
}
