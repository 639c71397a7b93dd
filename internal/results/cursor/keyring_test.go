package cursor

import (
	"crypto/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

// After a new key is added, cursors sealed with the previous key must stay valid and new ones must use the new key.
func TestKeyRotation(t *testing.T) {
	sealed := newCursor()
	text, err := newKeyRing(t, newKey("a", 1)).Seal(sealed)
	require.NoError(t, err)
	both := newKeyRing(t, newKey("b", 2), newKey("a", 1))
	_, err = both.Open(text, sealed.Tenant, sealed.QueryDigest, 0)
	require.NoError(t, err, "the previous key still opens cursors")
	next, err := both.Seal(sealed)
	require.NoError(t, err)
	_, err = newKeyRing(t, newKey("b", 2)).Open(next, sealed.Tenant, sealed.QueryDigest, 0)
	require.NoError(t, err, "the new key seals cursors")
}

func TestInvalidKeys(t *testing.T) {
	for name, keys := range map[string][]Key{
		"none":           nil,
		"duplicate name": {newKey("a", 1), newKey("a", 2)},
		"no secret":      {{Name: "a"}},
		"no name":        {newKey("", 1)},
		"three keys":     {newKey("a", 1), newKey("b", 2), newKey("c", 3)},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewKeyRing(keys, rand.Reader)
			require.Error(t, err)
		})
	}
}
