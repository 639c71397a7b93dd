package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUnresolvedIDKeepsTheTextOfAnswersToClients(t *testing.T) {
	m := newRingMap(t, 4, 10)
	_, err := m.Resolve(77)
	require.ErrorIs(t, err, ErrStale)
	require.ErrorIs(t, err, ErrShard)
	require.EqualError(t, err, "slice 77 at epoch 1: unknown, reused or retired slice, or retired too long ago")
}

func BenchmarkRoute100000(b *testing.B) {
	const shards = 100_000
	m := newBenchmarkMap(b, shards)
	segments := make([]Segment, 0, 4)
	for i := range b.N {
		id := i * 7919 % shards
		segments = m.Route(segments[:0], id, Range{id * 8, id*8 + 8})
		if len(segments) != 1 {
			b.Fatal(segments)
		}
	}
}
