package cursor

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Clients hold cursors across upgrades, so the sealed form must not change. Each nonce is 12 bytes of 7.
func TestSealedForm(t *testing.T) {
	nonces := bytes.NewReader(bytes.Repeat([]byte{7}, 24))
	ring, err := NewKeyRing([]Key{newKey("a", 1)}, nonces)
	require.NoError(t, err)
	sealed := newCursor()
	text, err := ring.Seal(sealed)
	require.NoError(t, err)
	require.Equal(t, "AWEHBwcHBwcHBwcHBwcn8vKNDbaCouyeh5KnwWXTpRUj2GZo9mELgDK-4nUqqF0vofLs5L5uAFw-3r0y"+
		"e72Z6ZksnG3BnWLfBiNC32-gtxaKCMHmpFYGVV8o7hSwivL0z9Co4uWf3YeZq_m3B1dVrWtUp7owuVH0"+
		"uJNIVhKBx2B1M5WCstVg72wM5A3eaPPYlsNs04kE", text)
	sealed.After = nil
	sealed.RanksCertain = true
	text, err = ring.Seal(sealed)
	require.NoError(t, err)
	require.Equal(t, "AWEHBwcHBwcHBwcHBwcq8vKNDbaCppo-BTCkymTJo6gj2G5pG_0KNjGl-BdWqU4hmqJ9utRLd20EW25N"+
		"OjzjFQlBdpYeRIaIFEW1r_Wmrpber6_EZeRYCLmC8zFUg4EJwV4ikyR8AIYUW0YaLp3UREvGmafeWMiRkQ", text)
}
