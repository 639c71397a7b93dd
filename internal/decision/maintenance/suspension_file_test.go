package maintenance

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSuspensionFileRoundTrip(t *testing.T) {
	ids := []string{"s-1", "s-2", "s-c9f39196"}
	decoded, err := DecodeSuspensions(EncodeSuspensions(ids))
	require.NoError(t, err)
	assert.Equal(t, ids, decoded)

	decoded, err = DecodeSuspensions(EncodeSuspensions(nil))
	require.NoError(t, err)
	assert.Empty(t, decoded)
}

// TestTornSuspensionFileIsRejected checks that no prefix of a file is read as another set. A crash during a write
// leaves such a file.
func TestTornSuspensionFileIsRejected(t *testing.T) {
	text := EncodeSuspensions([]string{"s-1", "s-2", "s-c9f39196"})
	for length := range len(text) - 1 {
		_, err := DecodeSuspensions(text[:length])
		assert.ErrorIs(t, err, ErrSuspensionFile, "torn after %d bytes", length)
	}
}

func TestMalformedSuspensionFileIsRejected(t *testing.T) {
	for _, test := range []struct{ name, text, wantText string }{
		{"version", `{"form":"ternstage held leafs","version":2,"held":[],"sum":0}`, "version 2"},
		{"form", `{"form":"another","version":1,"held":[],"sum":0}`, "form"},
		{"checksum", `{"form":"ternstage held leafs","version":1,"held":["s-1"],"sum":7}`, "field sum"},
		{"id", fmt.Sprintf(`{"form":"ternstage held leafs","version":1,"held":["a b"],"sum":%d}`,
			idChecksum([]string{"a b"})), "field held[0]"},
		{"size", string(make([]byte, MaxSuspensionFileBytes+1)), "bytes, over"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := DecodeSuspensions([]byte(test.text))
			assert.ErrorIs(t, err, ErrSuspensionFile)
			assert.ErrorContains(t, err, test.wantText)
		})
	}
}

// TestAlteredSuspensionFileIsNotReadAsAnotherSet checks that a file with an altered byte is rejected or read as the
// same set, and never as another one.
func TestAlteredSuspensionFileIsNotReadAsAnotherSet(t *testing.T) {
	ids := []string{"s-1", "s-2", "s-3"}
	text := EncodeSuspensions(ids)
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		altered := bytes.Clone(text)
		altered[random.IntN(len(altered))] ^= byte(1 + random.IntN(255))
		decoded, err := DecodeSuspensions(altered)
		if err == nil {
			assert.Equal(t, ids, decoded, "%s", altered)
		}
	}
}
