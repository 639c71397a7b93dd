package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestVersionLookups(t *testing.T) {
	version := newRingMap(t, 4, 10).Current()
	require.Equal(t, 4, version.Len())
	require.Nil(t, version.Shard(4))
	require.Nil(t, version.ShardAt(-1))
	require.Nil(t, version.ShardAt(40))
	require.Equal(t, 1, version.ShardAt(10).ID)
	require.Equal(t, 3, version.ShardAt(39).ID)

	var ids []ShardID
	for shard := range version.All {
		ids = append(ids, shard.ID)
		if len(ids) == 2 {
			break
		}
	}
	require.Equal(t, []ShardID{0, 1}, ids)
}
