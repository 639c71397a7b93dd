package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFile(t *testing.T) {
	ids := []string{"s-1", "s-2", "s-c9f39196"}
	text := EncodeSuspensions(ids)
	got, err := DecodeSuspensions(text)
	require.NoError(t, err)
	assert.Equal(t, ids, got)
	got, err = DecodeSuspensions(EncodeSuspensions(nil))
	require.NoError(t, err)
	assert.Empty(t, got)

	// Torn at every byte: never taken for another set.
	for n := range len(text) - 1 {
		_, err := DecodeSuspensions(text[:n])
		assert.ErrorIs(t, err, ErrSuspensionFile, "torn at %d", n)
	}
	for _, c := range []struct{ text, says string }{
		{`{"form":"ternstage held leafs","version":2,"held":[],"sum":0}`, "version 2"},
		{`{"form":"another","version":1,"held":[],"sum":0}`, "form"},
		{`{"form":"ternstage held leafs","version":1,"held":["s-1"],"sum":7}`, "field sum"},
		{fmt.Sprintf(`{"form":"ternstage held leafs","version":1,"held":["a b"],"sum":%d}`, idChecksum([]string{"a b"})),
			"field held[0]"},
	} {
		_, err := DecodeSuspensions([]byte(c.text))
		assert.ErrorIs(t, err, ErrSuspensionFile)
		assert.ErrorContains(t, err, c.says)
	}
	_, err = DecodeSuspensions(make([]byte, MaxSuspensionFileBytes+1))
	assert.ErrorContains(t, err, "bytes, over")
}

// TestFileFlips: a flipped byte anywhere is refused or reads as the same set, never as another one.
func TestFileFlips(t *testing.T) {
	ids := []string{"s-1", "s-2", "s-3"}
	text := EncodeSuspensions(ids)
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		spoilt := append([]byte(nil), text...)
		spoilt[r.IntN(len(spoilt))] ^= byte(1 + r.IntN(255))
		got, err := DecodeSuspensions(spoilt)
		if err == nil {
			assert.Equal(t, ids, got, "%s", spoilt)
		}
	}
}
