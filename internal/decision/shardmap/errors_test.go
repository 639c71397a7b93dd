package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestValidationErrorNamesTheShard(t *testing.T) {
	err := invalid(3, ErrGap, "%v before it", Range{30, 31})
	require.EqualError(t, err, "shard 3: buckets without a shard: 30-31 before it")
	err = invalid(noShard, ErrBase, "base epoch %d, current epoch %d", 7, 5)
	require.EqualError(t, err, "change is based on another epoch: base epoch 7, current epoch 5")
	require.ErrorIs(t, err, ErrBase)
}
