package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMovePhases(t *testing.T) {
	m := newRingMap(t, 4, 10)
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(0).Executors())

	apply(t, m, Change{Kind: Move, Shard: 0, From: "b", To: "e"})
	shard := m.Current().Shard(0)
	require.True(t, shard.Executes("b") && !shard.Executes("e"), "the source executes while the data is copied")

	apply(t, m, Change{Kind: Handover, Shard: 0})
	shard = m.Current().Shard(0)
	require.True(t, !shard.Executes("b") && shard.Executes("e"), "the destination executes from the handover on")
	require.Equal(t, []string{"a", "e", "c"}, shard.Executors())

	apply(t, m, Change{Kind: Abort, Shard: 0})
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(0).Executors(), "an abort restores the source")

	apply(t, m, Change{Kind: Move, From: "b", To: "e"}, Change{Kind: Handover}, Change{Kind: Done})
	require.Equal(t, []string{"a", "e", "c"}, m.Current().Shard(0).Replicas)

	apply(t, m, Change{Kind: Move, From: "e", To: "b"}, Change{Kind: Handover}, Change{Kind: Done})
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(0).Replicas, "the shard is moved back")
}

func TestSplitDuringMove(t *testing.T) {
	m := newRingMap(t, 4, 10)
	apply(t, m, Change{Kind: Move, Shard: 0, From: "b", To: "e"})
	retired := apply(t, m, Change{Kind: Split, Shard: 0, At: 4, Into: []ShardID{4, 5}})
	require.Equal(t, []ShardID{0}, retired)
	for _, id := range []ShardID{4, 5} {
		shard := m.Current().Shard(id)
		require.Equal(t, Preparing, shard.State, "the move continues for both halves")
		require.Equal(t, []ShardID{0}, shard.Parents)
	}
	err := tryApply(m, Change{Kind: Merge, Shard: 4, Other: 5, Into: []ShardID{6}})
	require.ErrorIs(t, err, ErrState, "halves with a move in progress cannot be merged")

	apply(t, m, Change{Kind: Handover, Shard: 4}, Change{Kind: Abort, Shard: 5})
	require.Equal(t, []string{"a", "e", "c"}, m.Current().Shard(4).Executors())
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(5).Executors())

	buckets, err := m.Resolve(0)
	require.NoError(t, err, "the id of the retired shard can be resolved")
	segments := m.Current().Route(nil, 0, buckets)
	require.Equal(t, []Segment{{4, Range{0, 4}}, {5, Range{4, 10}}}, segments)
}
