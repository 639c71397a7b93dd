package slicemap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPace(t *testing.T) {
	p := HandoverPacer{MaxConcurrent: 2, InitialCapacity: 0.2, WarmupMs: 1000}
	require.True(t, p.MayHandOver(5000, HandoverTarget{Buckets: 900}, 100, 100), "a warm node is no matter of pace")
	require.False(t, p.MayHandOver(5000, HandoverTarget{HandoversInProgress: 2}, 1, 100), "two at a time")
	require.False(t, p.MayHandOver(5000, HandoverTarget{StartedAtMs: 5000, Buckets: 15}, 10, 100), "a cold one takes its share of capacity")
	require.True(t, p.MayHandOver(5000, HandoverTarget{StartedAtMs: 5000, Buckets: 10}, 10, 100))
	require.True(t, p.MayHandOver(5500, HandoverTarget{StartedAtMs: 5000, Buckets: 45}, 10, 100), "and more as it warms up")
	require.True(t, p.MayHandOver(6000, HandoverTarget{StartedAtMs: 5000, Buckets: 500}, 10, 100))
}
