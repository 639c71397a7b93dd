package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOptionsDefaults(t *testing.T) {
	defaults := Options{}.withDefaults()
	require.Equal(t, DefaultMaxShards, defaults.MaxShards)
	require.Equal(t, DefaultMaxVersions, defaults.MaxVersions)
	require.Equal(t, DefaultMaxRetired, defaults.MaxRetired)

	options := Options{MaxShards: 3, MaxVersions: 1, MaxRetired: -1}.withDefaults()
	require.Equal(t, 3, options.MaxShards)
	require.Equal(t, 2, options.MaxVersions, "the version in use and one that queries still hold")
	require.Equal(t, DefaultMaxRetired, options.MaxRetired)
}

func TestMaxShardsBoundsSnapshotsAndChanges(t *testing.T) {
	m := New(Options{MaxShards: 4})
	_, err := m.Reset(ringSnapshot(1, 5, 10))
	require.ErrorIs(t, err, ErrTooMany)
	_, err = m.Reset(ringSnapshot(1, 4, 10))
	require.NoError(t, err)
	err = tryApply(m, Change{Kind: Split, Shard: 0, At: 5, Into: []ShardID{4, 5}})
	require.ErrorIs(t, err, ErrTooMany)
	require.EqualValues(t, 1, m.Current().Epoch)
	require.EqualValues(t, 2, m.Stats().Rejected)
}
