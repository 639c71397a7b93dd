package shardmap

import (
	"flag"
	"hash/fnv"

	"github.com/stretchr/testify/require"
)

// Property tests draw the same histories in every run; -rapid.seed=0 on the command line draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// backendNumber lists every backend, under the hash of its id.
func backendNumber(backend string) (uint32, bool) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(backend))
	return hash.Sum32(), true
}

// ringSnapshot has shards of size buckets each, on three of the backends a to e in a ring.
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

// newRingMap is a map at epoch 1 with the shards of ringSnapshot.
func newRingMap(t require.TestingT, shards, size int) *Map {
	m := New(Options{ReplicaNumber: backendNumber})
	_, err := m.Reset(ringSnapshot(1, shards, size))
	require.NoError(t, err)
	return m
}

// next is a change from the epoch in use to the one after it.
func next(m *Map, change Change) Change {
	change.Base = m.Current().Epoch
	change.Epoch = change.Base + 1
	return change
}

// tryApply applies a change to the epoch in use, and returns its error.
func tryApply(m *Map, change Change, backends ...string) error {
	_, err := m.Apply([]Change{next(m, change)}, backends)
	return err
}

// apply applies changes, each to the epoch before it, and returns the ids that the last one retired.
func apply(t require.TestingT, m *Map, changes ...Change) (retired []ShardID) {
	for _, change := range changes {
		var err error
		retired, err = m.Apply([]Change{next(m, change)}, nil)
		require.NoError(t, err)
	}
	return retired
}
