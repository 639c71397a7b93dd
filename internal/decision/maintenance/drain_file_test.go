package maintenance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDrainFileRoundTrip(t *testing.T) {
	text := EncodeDrain(1796285471204.617)
	since, err := DecodeDrain(text)
	require.NoError(t, err)
	assert.Equal(t, 1796285471204.617, since)
	for n := range len(text) - 1 {
		_, err := DecodeDrain(text[:n])
		assert.ErrorIs(t, err, ErrDrainFile, "torn at %d", n)
	}
}

func TestDrainFileRejected(t *testing.T) {
	for _, c := range []struct{ name, text, contains string }{
		{"version", `{"form":"ternstage drain","version":2,"since_unix_ms":1}`, "version 2"},
		{"form", `{"form":"ternstage held leafs","version":1}`, `"ternstage held leafs"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			since, err := DecodeDrain([]byte(c.text))
			assert.ErrorIs(t, err, ErrDrainFile)
			assert.ErrorContains(t, err, c.contains)
			assert.Zero(t, since)
		})
	}
}
