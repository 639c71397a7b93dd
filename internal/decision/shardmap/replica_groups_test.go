package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGroupNumbersAreReused(t *testing.T) {
	m := newRingMap(t, 4, 10)
	require.Equal(t, 4, m.Stats().Groups)
	freedGroup := m.Group(1)
	apply(t, m, Change{Kind: Assign, Shard: 1, Replicas: []string{"c", "b", "a"}})
	require.Equal(t, m.Group(0), m.Group(1), "the order of replicas does not matter")
	require.Nil(t, m.Replicas(freedGroup))
	apply(t, m, Change{Kind: Assign, Shard: 2, Replicas: []string{"e"}})
	require.Equal(t, freedGroup, m.Group(2), "the number of the deleted group is reused")
	require.Equal(t, -1, m.Group(99), "no such shard")
}

func TestReplicasOmitsUnlistedBackends(t *testing.T) {
	m := New(Options{ReplicaNumber: func(backend string) (uint32, bool) { return 7, backend == "b" }})
	_, err := m.Reset(ringSnapshot(1, 1, 10))
	require.NoError(t, err)
	require.Equal(t, []uint32{7}, m.Replicas(m.Group(0)))
	require.Nil(t, m.Cells(m.Group(0)))
}
