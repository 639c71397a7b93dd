package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// splitFirstBuckets splits the shard with bucket 0 three times, which retires shards 0, 4 and 6.
func splitFirstBuckets(t *testing.T, m *Map) {
	t.Helper()
	for i := range 3 {
		first := m.Current().ShardAt(0)
		apply(t, m, Change{Kind: Split, Shard: first.ID, At: 50 >> i, Into: []ShardID{4 + 2*i, 5 + 2*i}})
	}
}

func TestLineageForgetsTheOldest(t *testing.T) {
	m := New(Options{MaxVersions: 4, MaxRetired: 2})
	_, err := m.Reset(ringSnapshot(1, 4, 100))
	require.NoError(t, err)
	splitFirstBuckets(t, m)
	_, err = m.Resolve(0)
	require.ErrorIs(t, err, ErrStale, "the entry of the third retired shard replaces that of the first")
	_, err = m.Resolve(6)
	require.NoError(t, err)
	require.Equal(t, []RetiredShard{{6, Range{0, 25}}}, m.Retired(1), "the latest retired shard")
	require.EqualValues(t, 1, m.Stats().ForgottenShards)
}
