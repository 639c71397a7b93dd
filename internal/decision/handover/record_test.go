package handover

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
)

func TestRecordRoundTrip(t *testing.T) {
	attempts := []scheduler.WarmupAttempt{{Replica: 7, AgeMs: 100, WorkMs: 40}, {Replica: 9, AgeMs: 1400, WorkMs: 80}}
	text := Encode(1e12, 8, attempts)
	record, err := Decode(text)
	require.NoError(t, err)
	assert.Equal(t, attempts, record.Attempts)
	assert.Equal(t, 1e12, record.WrittenUnixMs)
	assert.Equal(t, 8, record.BrokerCount)
	for length := range len(text) - 1 {
		_, err := Decode(text[:length])
		assert.ErrorIs(t, err, ErrRecord, "torn after %d bytes", length)
	}
}

func TestMalformedRecordIsRejected(t *testing.T) {
	for _, test := range []struct{ name, text, wantText string }{
		{"version", `{"form":"ternstage cold sent","version":9,"sent":[],"sum":0}`, "version 9"},
		{"form", `{"form":"x","version":1,"sent":[],"sum":0}`, "form"},
		{"checksum", `{"form":"ternstage cold sent","version":1,"sent":[{"replica":1,"ago_ms":1,"work_ms":2}],"sum":3}`,
			"field sum"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode([]byte(test.text))
			assert.ErrorIs(t, err, ErrRecord)
			assert.ErrorContains(t, err, test.wantText)
		})
	}
}
