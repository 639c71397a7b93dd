package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReroute(t *testing.T) {
	m := newRingMap(t, 4, 10)
	segment := Segment{0, Range{2, 8}}
	_, decision := m.Reroute(nil, segment, true, true)
	require.Equal(t, NeverRetry, decision)
	_, decision = m.Reroute(nil, segment, true, false)
	require.Equal(t, KeepShard, decision)

	apply(t, m, Change{Kind: Split, Shard: 0, At: 5, Into: []ShardID{4, 5}})
	_, decision = m.Reroute(nil, segment, true, true)
	require.Equal(t, NeverRetry, decision, "a split does not prove that the segment has not run")
	segments, decision := m.Reroute(nil, segment, true, false)
	require.Equal(t, ReplaceSegments, decision)
	require.Equal(t, []Segment{{4, Range{2, 5}}, {5, Range{5, 8}}}, segments)
}
