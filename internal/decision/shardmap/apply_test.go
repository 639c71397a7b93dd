package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInvalidChangesAreRejected(t *testing.T) {
	m := newRingMap(t, 4, 10)
	for name, test := range map[string]struct {
		change Change
		want   error
	}{
		"base is another epoch": {Change{Base: 7, Epoch: 8, Kind: Handover}, ErrBase},
		"delivered twice":       {Change{Base: 1, Epoch: 1, Kind: Handover}, nil},
		"unknown shard":         {Change{Base: 1, Epoch: 2, Kind: Handover, Shard: 99}, ErrShard},
		"no move in progress":   {Change{Base: 1, Epoch: 2, Kind: Handover}, ErrState},
		"split outside":         {Change{Base: 1, Epoch: 2, Kind: Split, At: 10, Into: []ShardID{4, 5}}, ErrRange},
		"split into a used id":  {Change{Base: 1, Epoch: 2, Kind: Split, At: 5, Into: []ShardID{3, 5}}, ErrShard},
		"merge not adjacent":    {Change{Base: 1, Epoch: 2, Kind: Merge, Other: 2, Into: []ShardID{4}}, ErrRange},
		"merge of shards with different replicas": {
			Change{Base: 1, Epoch: 2, Kind: Merge, Other: 1, Into: []ShardID{4}}, ErrReplica},
		"move to a replica":       {Change{Base: 1, Epoch: 2, Kind: Move, From: "a", To: "b"}, ErrReplica},
		"move from a non-replica": {Change{Base: 1, Epoch: 2, Kind: Move, From: "d", To: "e"}, ErrReplica},
	} {
		t.Run(name, func(t *testing.T) {
			before := m.Current()
			_, err := m.Apply([]Change{test.change}, nil)
			require.ErrorIs(t, err, test.want)
			require.Same(t, before, m.Current())
		})
	}
}

func TestChangesAreAppliedAllOrNone(t *testing.T) {
	m := newRingMap(t, 4, 10)
	before := m.Current()
	_, err := m.Apply([]Change{
		{Base: 1, Epoch: 2, Kind: Split, At: 5, Into: []ShardID{4, 5}},
		{Base: 2, Epoch: 3, Kind: Split, At: 5, Into: []ShardID{6, 7}},
	}, nil)
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, 0, invalid.Shard)
	require.ErrorIs(t, err, ErrShard)
	require.Same(t, before, m.Current(), "the valid first change is not applied either")
}

func BenchmarkSplit100000(b *testing.B) {
	const shards = 100_000
	m := newBenchmarkMap(b, shards)
	for i := range b.N {
		id := i % shards
		if i > 0 && id == 0 {
			b.StopTimer()
			m = newRingMap(b, shards, 8)
			b.StartTimer()
		}
		shard := m.Current().Shard(id)
		firstNewID := shards + 2*id
		split := Change{Kind: Split, Shard: id, At: shard.Start + 4, Into: []ShardID{firstNewID, firstNewID + 1}}
		if err := tryApply(m, split); err != nil {
			b.Fatal(err)
		}
	}
}

// newBenchmarkMap returns a ring map with 8 buckets per shard and resets the timer of the benchmark.
func newBenchmarkMap(b *testing.B, shards int) *Map {
	b.Helper()
	m := newRingMap(b, shards, 8)
	b.ReportAllocs()
	b.ResetTimer()
	return m
}
