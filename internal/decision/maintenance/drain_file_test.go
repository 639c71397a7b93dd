package maintenance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDrainFileRoundTrip(t *testing.T) {
	text := EncodeDrain(1796285471204.617)
	sinceUnixMs, err := DecodeDrain(text)
	require.NoError(t, err)
	assert.Equal(t, 1796285471204.617, sinceUnixMs)
	for length := range len(text) - 1 {
		_, err := DecodeDrain(text[:length])
		assert.ErrorIs(t, err, ErrDrainFile, "torn after %d bytes", length)
	}
}

func TestMalformedDrainFileIsRejected(t *testing.T) {
	for _, test := range []struct{ name, text, wantText string }{
		{"version", `{"form":"ternstage drain","version":2,"since_unix_ms":1}`, "version 2"},
		{"form", `{"form":"ternstage held leafs","version":1}`, `"ternstage held leafs"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			sinceUnixMs, err := DecodeDrain([]byte(test.text))
			assert.ErrorIs(t, err, ErrDrainFile)
			assert.ErrorContains(t, err, test.wantText)
			assert.Zero(t, sinceUnixMs)
		})
	}
}
