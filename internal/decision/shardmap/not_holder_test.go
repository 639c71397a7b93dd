package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// mapAtEpoch4 returns a map whose shard 1 was last changed at epoch 4, and the other shards at epoch 1.
func mapAtEpoch4(t *testing.T) *Map {
	t.Helper()
	m := newRingMap(t, 4, 10)
	for range 3 {
		apply(t, m, Change{Kind: Assign, Shard: 1, Replicas: []string{"a", "b", "c"}})
	}
	return m
}

func TestRoutingEpochIsTheEpochOfTheLastChange(t *testing.T) {
	m := mapAtEpoch4(t)
	require.EqualValues(t, 4, m.RoutingEpoch(Segment{1, Range{10, 20}}))
	require.EqualValues(t, 1, m.RoutingEpoch(Segment{2, Range{20, 30}}), "changes to other shards do not count")
}

func TestOnNotHolder(t *testing.T) {
	m := mapAtEpoch4(t)
	changedSegment := Segment{1, Range{10, 20}}
	unchangedSegment := Segment{2, Range{20, 30}}
	for _, test := range []struct {
		name               string
		segment            Segment
		routedEpoch        uint64
		backendEpoch       uint64
		consecutiveReplies int
		want               RetryWait
	}{
		{"map behind, replicas not asked yet", changedSegment, 4, 8, 1, RetryWait{ReadEpoch: 8}},
		{"map behind, all replicas asked", changedSegment, 4, 8, 3,
			RetryWait{DelayMs: newerEpochWaitMs, UntilEpoch: 8, ReadEpoch: 8}},
		{"backend behind, replicas not asked yet", changedSegment, 4, 3, 2, RetryWait{}},
		{"backend behind, all replicas asked", changedSegment, 4, 3, 3, RetryWait{DelayMs: notHolderDelayMinMs}},
		{"shard changed since", changedSegment, 3, 8, 1, RetryWait{}},
		{"delay doubles", unchangedSegment, 1, 4, 5, RetryWait{DelayMs: 4 * notHolderDelayMinMs}},
		{"delay is bounded", unchangedSegment, 1, 4, 99, RetryWait{DelayMs: notHolderDelayMaxMs}},
	} {
		t.Run(test.name, func(t *testing.T) {
			wait := m.OnNotHolder(test.segment, test.routedEpoch, test.backendEpoch, test.consecutiveReplies)
			require.Equal(t, test.want, wait)
		})
	}
}
