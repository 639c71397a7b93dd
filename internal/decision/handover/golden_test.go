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

// readGolden returns the content of a file in testdata/golden. Those files were written by the code of commit
// aa8ad37. Deployed programs have such files in $TMPDIR, so the golden files are never regenerated. The files in
// testdata/golden/refused are copies that were corrupted by hand.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return text
}

// TestGoldenRecords checks that the records of an earlier build are decoded in full, encoded to the same bytes, and
// applied. Otherwise an upgrade would lose the attempts that the older process handed over.
func TestGoldenRecords(t *testing.T) {
	for name, want := range map[string]handover.Record{
		"ternstage-cold-sent.json": {Form: "ternstage cold sent", Version: 1, WrittenUnixMs: 1796285471860.254,
			BrokerCount: 8,
			Attempts: []scheduler.WarmupAttempt{
				{Replica: 3, AgeMs: 12.406, WorkMs: 14.25}, {Replica: 3, AgeMs: 371.5, WorkMs: 16},
				{Replica: 4294967295, AgeMs: 0, WorkMs: 0.125}, {Replica: 12, AgeMs: 1499.875, WorkMs: 80}},
			Checksum: 1176880317},
		"nothing-sent.json": {Form: "ternstage cold sent", Version: 1, WrittenUnixMs: 1796285471860.254, BrokerCount: 1,
			Checksum: 634125391}, // the checksum of "null"
		"peers-not-known.json": {Form: "ternstage cold sent", Version: 1, WrittenUnixMs: 1796285471860,
			Attempts: []scheduler.WarmupAttempt{{Replica: 3, AgeMs: 12.406, WorkMs: 14.25}}, Checksum: 3351134246},
	} {
		t.Run(name, func(t *testing.T) {
			text := readGolden(t, name)
			record, err := handover.Decode(text)
			require.NoError(t, err)
			assert.Equal(t, want, record)
			encoded := handover.Encode(record.WrittenUnixMs, record.BrokerCount, record.Attempts)
			assert.Equal(t, string(text), string(encoded), "the decoded fields are encoded to the same bytes")
			encoded = handover.Encode(want.WrittenUnixMs, want.BrokerCount, want.Attempts)
			assert.Equal(t, string(text), string(encoded), "the expected fields are encoded to the same bytes")

			known := func(uint32) bool { return true }
			now := record.WrittenUnixMs + 40
			successor := handover.Successor{StartedUnixMs: record.WrittenUnixMs - 500, WindowMs: 1500,
				BrokerCount: record.BrokerCount, Known: known}
			assert.Equal(t, handover.Apply, successor.Decide(&record, now))
			aged := handover.AgeAttempts(&record, now, 1e9)
			require.Len(t, aged, len(want.Attempts))
			for i, attempt := range want.Attempts {
				assert.Equal(t, attempt.Replica, aged[i].Replica)
				assert.Equal(t, attempt.WorkMs, aged[i].WorkMs)
				assert.InDelta(t, attempt.AgeMs+40, aged[i].AgeMs, 1e-6)
			}
		})
	}
}

// TestMalformedGoldenRecords checks that a record that is torn, empty, altered, or of another form or version is
// rejected with an error that says why.
func TestMalformedGoldenRecords(t *testing.T) {
	for name, wantText := range map[string]string{
		"torn.json":         "torn",
		"empty.json":        "torn",
		"wrong-sum.json":    "1176880318",
		"another-send.json": "1176880317",
		"version-2.json":    "version 2",
		"another-form.json": `"ternstage held leafs"`,
	} {
		record, err := handover.Decode(readGolden(t, "refused/"+name))
		require.ErrorIs(t, err, handover.ErrRecord, name)
		assert.ErrorContains(t, err, wantText, name)
		assert.Zero(t, record, name)
	}
}
