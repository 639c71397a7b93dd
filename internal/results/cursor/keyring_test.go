package cursor

import (
	"crypto/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeyRotation(t *testing.T) {
	old, c := newKeyRing(t, newKey("a", 1)), newCursor()
	text, err := old.Seal(c)
	require.NoError(t, err)
	both := newKeyRing(t, newKey("b", 2), newKey("a", 1))
	_, err = both.Open(text, c.Tenant, c.QueryDigest, 0)
	require.NoError(t, err, "the key before still opens")
	next, err := both.Seal(c)
	require.NoError(t, err)
	_, err = newKeyRing(t, newKey("b", 2)).Open(next, c.Tenant, c.QueryDigest, 0)
	require.NoError(t, err, "the new one seals")
	for _, bad := range [][]Key{nil, {newKey("a", 1), newKey("a", 2)}, {{Name: "a"}}, {newKey("", 1)},
		{newKey("a", 1), newKey("b", 2), newKey("c", 3)}} {
		_, err := NewKeyRing(bad, rand.Reader)
		require.Error(t, err)
	}
}
