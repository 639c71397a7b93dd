package slicemap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAfterMoved(t *testing.T) {
	m := started(t, 4, 10)
	for range 3 {
		apply(t, m, Change{Kind: Assign, Shard: 1, Replicas: []string{"a", "b", "c"}})
	}
	one, other := Segment{1, Range{10, 20}}, Segment{2, Range{20, 30}}
	require.EqualValues(t, 4, m.RoutingEpoch(one))
	require.EqualValues(t, 1, m.RoutingEpoch(other), "news of other slices is none of this one")
	require.Equal(t, RetryWait{ReadEpoch: 8}, m.OnNotHolder(one, 4, 8, 1), "we are late, and others hold it too")
	require.Equal(t, RetryWait{DelayMs: newerEpochWaitMs, UntilEpoch: 8, ReadEpoch: 8}, m.OnNotHolder(one, 4, 8, 3), "they have been asked")
	require.Equal(t, RetryWait{}, m.OnNotHolder(one, 4, 3, 2), "the node is late, others may know")
	require.Equal(t, RetryWait{DelayMs: notHolderDelayMinMs}, m.OnNotHolder(one, 4, 3, 3))
	require.Equal(t, RetryWait{}, m.OnNotHolder(one, 3, 8, 1), "the leg is old")
	require.Equal(t, RetryWait{DelayMs: 4 * notHolderDelayMinMs}, m.OnNotHolder(other, 1, 4, 5), "pauses grow")
	require.Equal(t, RetryWait{DelayMs: notHolderDelayMaxMs}, m.OnNotHolder(other, 1, 4, 99), "and are bounded")
	l := Segment{0, Range{2, 8}}
	_, v := m.Reroute(nil, l, true, true)
	require.Equal(t, NeverRetry, v)
	_, v = m.Reroute(nil, l, true, false)
	require.Equal(t, KeepShard, v)
	apply(t, m, Change{Kind: Split, Shard: 0, At: 5, Into: []ShardID{4, 5}})
	_, v = m.Reroute(nil, l, true, true)
	require.Equal(t, NeverRetry, v, "a split does not make it known not to have run")
	legs, v := m.Reroute(nil, l, true, false)
	require.Equal(t, ReplaceSegments, v)
	require.Equal(t, []Segment{{4, Range{2, 5}}, {5, Range{5, 8}}}, legs)
}
