package slicemap

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestVersionsAreFreedAndBounded(t *testing.T) {
	m := New(Options{MaxVersions: 4, MaxRetired: 2})
	_, err := m.Reset(whole(1, 4, 100))
	require.NoError(t, err)
	first := m.Acquire()
	again := m.Acquire()
	for i := range 3 {
		apply(t, m, Change{Kind: Split, Shard: m.Current().ShardAt(0).ID, At: 50 >> i, Into: []ShardID{4 + 2*i, 5 + 2*i}})
	}
	require.Equal(t, 2, m.Stats().RetainedVersions, "versions that nobody began on are freed at once")
	m.Release(first)
	require.Equal(t, 2, m.Stats().RetainedVersions)
	m.Release(again)
	require.Equal(t, 1, m.Stats().RetainedVersions)
	var held []*Version
	for i := range 8 {
		held = append(held, m.Acquire())
		apply(t, m, Change{Kind: Assign, Shard: 1, Replicas: []string{fmt.Sprint(i)}})
	}
	require.Equal(t, 4, m.Stats().RetainedVersions)
	require.EqualValues(t, 5, m.Stats().DroppedVersions)
	for _, v := range held {
		m.Release(v)
	}
	require.Equal(t, 1, m.Stats().RetainedVersions)
	_, err = m.Resolve(0)
	require.ErrorIs(t, err, ErrStale, "the third to be retired pushed the first out")
	_, err = m.Resolve(6)
	require.NoError(t, err)
}
