package handover

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
)

func TestRecord(t *testing.T) {
	sent := []scheduler.WarmupSend{{Replica: 7, AgeMs: 100, WorkMs: 40}, {Replica: 9, AgeMs: 1400, WorkMs: 80}}
	text := Encode(1e12, 8, sent)
	r, err := Decode(text)
	require.NoError(t, err)
	assert.Equal(t, sent, r.Sends)
	assert.Equal(t, 1e12, r.WrittenUnixMs)
	assert.Equal(t, 8, r.BrokerCount)
	for n := range len(text) - 1 {
		_, err := Decode(text[:n])
		assert.ErrorIs(t, err, ErrRecord, "torn at %d", n)
	}
	for _, c := range []struct{ text, says string }{
		{`{"form":"ternstage cold sent","version":9,"sent":[],"sum":0}`, "version 9"},
		{`{"form":"x","version":1,"sent":[],"sum":0}`, "form"},
		{`{"form":"ternstage cold sent","version":1,"sent":[{"replica":1,"ago_ms":1,"work_ms":2}],"sum":3}`,
			"field sum"},
	} {
		_, err := Decode([]byte(c.text))
		assert.ErrorContains(t, err, c.says)
	}
}
