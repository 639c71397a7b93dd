package handover_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/balance"
	"ternstage/internal/ops/handover"
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
		"ternstage-cold-sent.json": {Form: "ternstage cold sent", Version: 1, Written: 1796285471860.254, Peers: 8,
			Sent: []balance.Sent{{Replica: 3, Ago: 12.406, Work: 14.25}, {Replica: 3, Ago: 371.5, Work: 16},
				{Replica: 4294967295, Ago: 0, Work: 0.125}, {Replica: 12, Ago: 1499.875, Work: 80}},
			Sum: 1176880317},
		"nothing-sent.json": {Form: "ternstage cold sent", Version: 1, Written: 1796285471860.254, Peers: 1,
			Sum: 634125391}, // of the word null
		"peers-not-known.json": {Form: "ternstage cold sent", Version: 1, Written: 1796285471860,
			Sent: []balance.Sent{{Replica: 3, Ago: 12.406, Work: 14.25}}, Sum: 3351134246},
	} {
		t.Run(name, func(t *testing.T) {
			text := golden(t, name)
			r, err := handover.Decode(text)
			require.NoError(t, err)
			assert.Equal(t, want, r)
			assert.Equal(t, string(text), string(handover.Encode(r.Written, r.Peers, r.Sent)), "what was read")
			assert.Equal(t, string(text), string(handover.Encode(want.Written, want.Peers, want.Sent)),
				"what is in it")

			known := func(uint32) bool { return true }
			now := r.Written + 40
			assert.Equal(t, handover.Take, handover.Judge(r, now, r.Written-500, 1500, r.Peers, known))
			aged := handover.Aged(r, now, 1e9)
			require.Len(t, aged, len(want.Sent))
			for i, s := range want.Sent {
				assert.Equal(t, s.Replica, aged[i].Replica)
				assert.Equal(t, s.Work, aged[i].Work)
				assert.InDelta(t, s.Ago+40, aged[i].Ago, 1e-6)
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
