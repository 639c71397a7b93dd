package cursor

import (
	"bytes"
	"crypto/rand"

	"github.com/stretchr/testify/require"

	"ternstage/internal/results/merge"
)

func newKey(name string, fill byte) Key {
	return Key{Name: name, Secret: bytes.Repeat([]byte{fill}, secretBytes)}
}

func newKeyRing(t require.TestingT, keys ...Key) *KeyRing {
	if helper, ok := t.(interface{ Helper() }); ok {
		helper.Helper()
	}
	ring, err := NewKeyRing(keys, rand.Reader)
	require.NoError(t, err)
	return ring
}

func newCursor() *Cursor {
	return &Cursor{
		Epoch:    41,
		NextRank: 51,
		After: &merge.Position{Rank: []merge.Value{merge.IntOf(700), merge.FloatOf(0.5), merge.TextOf("x")},
			Bucket: 17, Key: "p-9"},
		Spans:       []Span{{0, 10, 3, 1}, {10, 20, 0, 0}, {20, 30, 4, 2}},
		QueryDigest: Digest("compare", []byte("{}")),
		Tenant:      "gangasagar-life",
		ExpiresAtMs: 5000,
	}
}
