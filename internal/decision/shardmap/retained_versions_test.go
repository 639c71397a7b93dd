package shardmap

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestVersionsAreFreedWithTheirLastQuery(t *testing.T) {
	m := New(Options{MaxVersions: 4, MaxRetired: 2})
	_, err := m.Reset(ringSnapshot(1, 4, 100))
	require.NoError(t, err)
	first := m.Acquire()
	second := m.Acquire()
	splitFirstBuckets(t, m)
	require.Equal(t, 2, m.Stats().RetainedVersions, "versions without a query are freed at once")
	m.Release(first)
	require.Equal(t, 2, m.Stats().RetainedVersions)
	m.Release(second)
	require.Equal(t, 1, m.Stats().RetainedVersions)
}

func TestOldestVersionsAreDroppedAtTheBound(t *testing.T) {
	m := New(Options{MaxVersions: 4, MaxRetired: 2})
	_, err := m.Reset(ringSnapshot(1, 4, 100))
	require.NoError(t, err)
	var acquired []*Version
	for i := range 8 {
		acquired = append(acquired, m.Acquire())
		apply(t, m, Change{Kind: Assign, Shard: 1, Replicas: []string{fmt.Sprint(i)}})
	}
	require.Equal(t, 4, m.Stats().RetainedVersions)
	require.EqualValues(t, 5, m.Stats().DroppedVersions)
	for _, version := range acquired {
		m.Release(version)
	}
	require.Equal(t, 1, m.Stats().RetainedVersions)
}
