package slicemap

import (
	"flag"
	"hash/fnv"

	"github.com/stretchr/testify/require"
)

// CI must say the same every time; -rapid.seed=0 on the command line draws new histories.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// number is a node's number for tests: its hash.
func number(node string) (uint32, bool) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(node))
	return h.Sum32(), true
}

// whole is a map of n slices of so many districts each, on three of the nodes a to e in a ring.
func whole(epoch uint64, n, size int) Snapshot {
	w := Snapshot{Epoch: epoch, Buckets: n * size}
	for i := range n {
		s := &Shard{ID: i, Range: Range{i * size, (i + 1) * size}}
		for j := range 3 {
			s.Replicas = append(s.Replicas, string(rune('a'+(i+j)%5)))
		}
		w.Shards = append(w.Shards, s)
	}
	return w
}

func started(t require.TestingT, n, size int) *Map {
	m := New(Options{ReplicaNumber: number})
	_, err := m.Reset(whole(1, n, size))
	require.NoError(t, err)
	return m
}

// step is a change onto the map in use.
func step(m *Map, c Change) Change {
	c.Base, c.Epoch = m.Current().Epoch, m.Current().Epoch+1
	return c
}

func apply(t require.TestingT, m *Map, c Change) []ShardID {
	retired, err := m.Apply([]Change{step(m, c)}, nil)
	require.NoError(t, err)
	return retired
}
