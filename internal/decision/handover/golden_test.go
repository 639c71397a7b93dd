package handover_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/handover"
	"ternstage/internal/decision/scheduler"
)

// The files of testdata/golden were written by the code of commit aa8ad37 and stand in $TMPDIR of programs that
// run: they are never written anew. Those of testdata/golden/refused are copies of them, spoilt by hand.

func golden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return text
}

// TestGolden: what an earlier build handed over is read whole, written the same, and taken.
func TestGolden(t *testing.T) {
	for name, want := range map[string]handover.Record{
		"ternstage-cold-sent.json": {Form: "ternstage cold sent", Version: 1, WrittenUnixMs: 1796285471860.254, BrokerCount: 8,
			Sends: []scheduler.WarmupSend{{Replica: 3, AgeMs: 12.406, WorkMs: 14.25}, {Replica: 3, AgeMs: 371.5, WorkMs: 16},
				{Replica: 4294967295, AgeMs: 0, WorkMs: 0.125}, {Replica: 12, AgeMs: 1499.875, WorkMs: 80}},
			Checksum: 1176880317},
		"nothing-sent.json": {Form: "ternstage cold sent", Version: 1, WrittenUnixMs: 1796285471860.254, BrokerCount: 1,
			Checksum: 634125391}, // of the word null
		"peers-not-known.json": {Form: "ternstage cold sent", Version: 1, WrittenUnixMs: 1796285471860,
			Sends: []scheduler.WarmupSend{{Replica: 3, AgeMs: 12.406, WorkMs: 14.25}}, Checksum: 3351134246},
	} {
		t.Run(name, func(t *testing.T) {
			text := golden(t, name)
			r, err := handover.Decode(text)
			require.NoError(t, err)
			assert.Equal(t, want, r)
			assert.Equal(t, string(text), string(handover.Encode(r.WrittenUnixMs, r.BrokerCount, r.Sends)), "what was read")
			assert.Equal(t, string(text), string(handover.Encode(want.WrittenUnixMs, want.BrokerCount, want.Sends)),
				"what is in it")

			known := func(uint32) bool { return true }
			now := r.WrittenUnixMs + 40
			successor := handover.Successor{StartedUnixMs: r.WrittenUnixMs - 500, WindowMs: 1500, BrokerCount: r.BrokerCount,
				Known: known}
			assert.Equal(t, handover.Apply, successor.Decide(&r, now))
			aged := handover.AgeSends(&r, now, 1e9)
			require.Len(t, aged, len(want.Sends))
			for i, s := range want.Sends {
				assert.Equal(t, s.Replica, aged[i].Replica)
				assert.Equal(t, s.WorkMs, aged[i].WorkMs)
				assert.InDelta(t, s.AgeMs+40, aged[i].AgeMs, 1e-6)
			}
		})
	}
}

// TestGoldenRefused: a record that is torn, empty, altered, of another form or of another version is refused.
func TestGoldenRefused(t *testing.T) {
	for name, says := range map[string]string{
		"torn.json":         "torn",
		"empty.json":        "torn",
		"wrong-sum.json":    "1176880318",
		"another-send.json": "1176880317",
		"version-2.json":    "version 2",
		"another-form.json": `"ternstage held leafs"`,
	} {
		r, err := handover.Decode(golden(t, "refused/"+name))
		require.ErrorIs(t, err, handover.ErrRecord, name)
		assert.ErrorContains(t, err, says, name)
		assert.Zero(t, r, name)
	}
}
