package shardmap

import (
	"flag"
	"hash/fnv"

	"github.com/stretchr/testify/require"
)

// init makes property tests draw the same histories in every run. The flag -rapid.seed=0 draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// backendNumber is an Options.ReplicaNumber for an endpoint list that has every backend. The number is the hash of
// the id.
func backendNumber(backend string) (uint32, bool) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(backend))
	return hash.Sum32(), true
}

// ringSnapshot returns a snapshot with shards of size buckets each. Shard i is on three adjacent backends of a ring
// of five, a to e, from the backend i mod 5 on.
func ringSnapshot(epoch uint64, shards, size int) Snapshot {
	snapshot := Snapshot{Epoch: epoch, Buckets: shards * size}
	for i := range shards {
		shard := &Shard{ID: i, Range: Range{i * size, (i + 1) * size}}
		for j := range 3 {
			shard.Replicas = append(shard.Replicas, string(rune('a'+(i+j)%5)))
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	return snapshot
}

// newRingMap returns a map at epoch 1 with the shards of ringSnapshot.
func newRingMap(t require.TestingT, shards, size int) *Map {
	m := New(Options{ReplicaNumber: backendNumber})
	_, err := m.Reset(ringSnapshot(1, shards, size))
	require.NoError(t, err)
	return m
}

// withNextEpoch returns the change from the epoch in use to the epoch after it.
func withNextEpoch(m *Map, change Change) Change {
	change.Base = m.Current().Epoch
	change.Epoch = change.Base + 1
	return change
}

// tryApply applies a change to the epoch in use and returns the error of Apply.
func tryApply(m *Map, change Change, backends ...string) error {
	_, err := m.Apply([]Change{withNextEpoch(m, change)}, backends)
	return err
}

// apply applies changes one by one and returns the ids of the shards that the last one retired.
func apply(t require.TestingT, m *Map, changes ...Change) (retired []ShardID) {
	for _, change := range changes {
		var err error
		retired, err = m.Apply([]Change{withNextEpoch(m, change)}, nil)
		require.NoError(t, err)
	}
	return retired
}
