package slicemap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLifeOfAMove(t *testing.T) {
	m := started(t, 4, 10)
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(0).Executors())
	apply(t, m, Change{Kind: Move, Shard: 0, From: "b", To: "e"})
	s := m.Current().Shard(0)
	require.True(t, s.Executes("b") && !s.Executes("e"), "while it is copied the source executes")
	apply(t, m, Change{Kind: Handover, Shard: 0})
	s = m.Current().Shard(0)
	require.True(t, !s.Executes("b") && s.Executes("e"), "from the handover on it is the destination")
	require.Equal(t, []string{"a", "e", "c"}, s.Executors())
	apply(t, m, Change{Kind: Abort, Shard: 0})
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(0).Executors(), "an abort goes back to the source")
	for _, k := range []Change{{Kind: Move, From: "b", To: "e"}, {Kind: Handover}, {Kind: Done}} {
		apply(t, m, k)
	}
	require.Equal(t, []string{"a", "e", "c"}, m.Current().Shard(0).Replicas)
	// And back again: A to B and back to A.
	for _, k := range []Change{{Kind: Move, From: "e", To: "b"}, {Kind: Handover}, {Kind: Done}} {
		apply(t, m, k)
	}
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(0).Replicas)
}

func TestSplitOfASliceThatMoves(t *testing.T) {
	m := started(t, 4, 10)
	apply(t, m, Change{Kind: Move, Shard: 0, From: "b", To: "e"})
	require.Equal(t, []ShardID{0}, apply(t, m, Change{Kind: Split, Shard: 0, At: 4, Into: []ShardID{4, 5}}))
	for _, id := range []ShardID{4, 5} {
		s := m.Current().Shard(id)
		require.Equal(t, Preparing, s.State, "the move goes on for both halves")
		require.Equal(t, []ShardID{0}, s.Parents)
	}
	_, err := m.Apply([]Change{step(m, Change{Kind: Merge, Shard: 4, Other: 5, Into: []ShardID{6}})}, nil)
	require.ErrorIs(t, err, ErrState, "halves that move cannot be merged")
	apply(t, m, Change{Kind: Handover, Shard: 4})
	apply(t, m, Change{Kind: Abort, Shard: 5})
	require.Equal(t, []string{"a", "e", "c"}, m.Current().Shard(4).Executors())
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(5).Executors())
	r, err := m.Resolve(0)
	require.NoError(t, err, "the old name is understood")
	require.Equal(t, []Segment{{4, Range{0, 4}}, {5, Range{4, 10}}}, m.Current().Route(nil, 0, r))
}

func BenchmarkSplit100000(b *testing.B) {
	m := big(b, 100_000)
	for i := range b.N {
		id := i % 100_000
		if i > 0 && id == 0 {
			b.StopTimer()
			m = started(b, 100_000, 8)
			b.StartTimer()
		}
		s := m.Current().Shard(id)
		n := 100_000 + 2*id
		if _, err := m.Apply([]Change{step(m, Change{Kind: Split, Shard: id, At: s.Start + 4, Into: []ShardID{n, n + 1}})}, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func big(b *testing.B, n int) *Map {
	m := started(b, n, 8)
	b.ReportAllocs()
	b.ResetTimer()
	return m
}
