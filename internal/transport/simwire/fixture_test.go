package simwire

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// frame decodes a frame that is written in hexadecimal digits and white space.
func frame(t *testing.T, text string) []byte {
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

// tenSeconds is a clock of 10000 ms.
const tenSeconds = "000000000088c340"

// oneRecord reads a batch of one record and a tail of up to 255 bytes.
func oneRecord(t *testing.T, text, tail string) Record {
	t.Helper()
	tailBytes := frame(t, tail)
	size := hex.EncodeToString([]byte{byte(EventSize + len(tailBytes))})
	batch, err := ReadBatch(bytes.NewReader(frame(t, "07000000 01000000"+size+"000000"+tenSeconds+eventRecord(text)+tail)))
	require.NoError(t, err)
	require.Equal(t, 1, batch.Len())
	return batch.Record(0)
}
