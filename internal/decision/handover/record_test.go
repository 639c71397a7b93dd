package handover

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
)

func TestRecordRoundTrip(t *testing.T) {
	sends := []scheduler.WarmupSend{{Replica: 7, AgeMs: 100, WorkMs: 40}, {Replica: 9, AgeMs: 1400, WorkMs: 80}}
	text := Encode(1e12, 8, sends)
	record, err := Decode(text)
	require.NoError(t, err)
	assert.Equal(t, sends, record.Sends)
	assert.Equal(t, 1e12, record.WrittenUnixMs)
	assert.Equal(t, 8, record.BrokerCount)
	for n := range len(text) - 1 {
		_, err := Decode(text[:n])
		assert.ErrorIs(t, err, ErrRecord, "torn at %d", n)
	}
}

func TestRecordRejected(t *testing.T) {
	for _, c := range []struct{ name, text, contains string }{
		{"version", `{"form":"ternstage cold sent","version":9,"sent":[],"sum":0}`, "version 9"},
		{"form", `{"form":"x","version":1,"sent":[],"sum":0}`, "form"},
		{"checksum", `{"form":"ternstage cold sent","version":1,"sent":[{"replica":1,"ago_ms":1,"work_ms":2}],"sum":3}`,
			"field sum"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode([]byte(c.text))
			assert.ErrorIs(t, err, ErrRecord)
			assert.ErrorContains(t, err, c.contains)
		})
	}
}
