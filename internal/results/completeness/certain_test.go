package completeness

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// The first rank is certain only if the missing shard cannot hold a row of a lower premium.
func TestFirstRankIsCertainOnlyByAnApplicableSummary(t *testing.T) {
	o := newOrder(t)
	parts := []Part{{Buckets: shardmap.Range{Start: 0, End: 5}, Weight: 0.7, Present: true, Version: 1, ShardEpoch: 1},
		{Buckets: shardmap.Range{Start: 5, End: 9}, Weight: 0.3, Version: 8, ShardEpoch: 2, Reason: TimedOut}}
	first := []merge.Position{{Rank: []merge.Value{merge.IntOf(10)}, Bucket: 2, Key: "k"}}
	note := func(f func(*Summary)) []*Summary {
		x := &Summary{Buckets: parts[1].Buckets, Version: 8, ShardEpoch: 2, Count: 3, FirstRank: []merge.Value{merge.IntOf(11)}}
		f(x)
		return []*Summary{x}
	}
	is := func(want bool, sums []*Summary, why string) {
		t.Helper()
		st := New(parts, sums, 1)
		require.Equal(t, want, st.CertainRanks(o, first)[0], why)
		require.False(t, st.Complete)
		require.InDelta(t, 0.7, st.Weight, 1e-9)
	}
	is(false, nil, "nothing is known")
	is(true, note(func(*Summary) {}), "its least is dearer")
	is(true, note(func(x *Summary) { x.FirstRank[0] = merge.IntOf(10) }), "as dear, of a later district")
	is(false, note(func(x *Summary) { x.FirstRank[0] = merge.IntOf(9) }), "it is cheaper")
	is(false, note(func(x *Summary) { x.Version = 7 }), "the summary is of an older version")
	is(false, note(func(x *Summary) { x.ShardEpoch = 1 }), "it is from before a split")
	is(false, note(func(x *Summary) { x.Buckets.End = 8 }), "it is of other districts")
	is(true, note(func(x *Summary) { x.Count, x.FirstRank = 0, nil }), "it has no rows")
	parts[1].Version = 0
	is(false, note(func(*Summary) {}), "nobody knows which version is in force")
}
