package simwire

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// decodeHex decodes a frame from hexadecimal digits and white space.
func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	decoded, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	require.NoError(t, err)
	return decoded
}

// eventRecord pads the text of an event's record with zeros.
func eventRecord(text string) string { return pad(text, EventSize) }

// actionRecord pads the text of an action's record with zeros.
func actionRecord(text string) string { return pad(text, ActionSize) }

func pad(text string, size int) string {
	text = strings.Join(strings.Fields(text), "")
	return text + strings.Repeat("00", size-len(text)/2)
}

// batchTime is the field of a header for a time of 10000 ms.
const batchTime = "000000000088c340"

// decodeRecord returns the record of a batch with one record and a tail of up to 199 bytes.
func decodeRecord(t *testing.T, text, tail string) Record {
	t.Helper()
	tailBytes := decodeHex(t, tail)
	size := hex.EncodeToString([]byte{byte(EventSize + len(tailBytes))})
	raw := decodeHex(t, "07000000 01000000"+size+"000000"+batchTime+eventRecord(text)+tail)
	batch, err := ReadBatch(bytes.NewReader(raw))
	require.NoError(t, err)
	require.Equal(t, 1, batch.Len())
	return batch.Record(0)
}
