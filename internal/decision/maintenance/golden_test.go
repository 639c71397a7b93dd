package maintenance_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/maintenance"
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

// TestGoldenSuspensionFiles checks that the suspension files of an earlier build are decoded in full, encoded to the
// same bytes, and taken over by a process. Otherwise an upgrade would resume suspended backends.
func TestGoldenSuspensionFiles(t *testing.T) {
	for name, want := range map[string][]string{
		"ternstage-held-leafs.json": {"S_c9f39196", "s-11", "s-2", "salt-lake.leaf:7"},
		"none-held.json":            {},
	} {
		t.Run(name, func(t *testing.T) {
			text := readGolden(t, name)
			ids, err := maintenance.DecodeSuspensions(text)
			require.NoError(t, err)
			assert.Equal(t, want, ids)
			assert.Equal(t, string(text), string(maintenance.EncodeSuspensions(ids)),
				"the decoded ids are encoded to the same bytes")
			assert.Equal(t, string(text), string(maintenance.EncodeSuspensions(want)),
				"the expected ids are encoded to the same bytes")

			s := maintenance.NewSuspensions()
			added, resumed := s.Replace(ids)
			assert.ElementsMatch(t, want, added)
			assert.Empty(t, resumed)
			assert.Equal(t, string(text), string(maintenance.EncodeSuspensions(s.IDs())),
				"the ids of a process are encoded to the same bytes")
			for _, id := range want {
				assert.True(t, s.Suspended(id), id)
				assert.Equal(t, 200, s.Resume(id).Status, "%s can be resumed although no endpoint list named it", id)
			}
			assert.Equal(t, string(readGolden(t, "none-held.json")), string(maintenance.EncodeSuspensions(s.IDs())))
		})
	}
}

// TestGoldenDrainFile checks that the drain file of an earlier build is decoded to the microsecond and encoded to the
// same bytes. Otherwise an upgrade would end or restart a drain.
func TestGoldenDrainFile(t *testing.T) {
	text := readGolden(t, "ternstage-held-leafs.json.drain")
	sinceUnixMs, err := maintenance.DecodeDrain(text)
	require.NoError(t, err)
	assert.Equal(t, 1796285471204.617, sinceUnixMs)
	assert.Equal(t, string(text), string(maintenance.EncodeDrain(sinceUnixMs)))
}

// TestMalformedGoldenFiles checks that a file that is torn, empty, altered, or of another form or version is rejected
// with an error that says why.
func TestMalformedGoldenFiles(t *testing.T) {
	for name, wantText := range map[string]string{
		"held-torn.json":         "torn",
		"held-empty.json":        "torn",
		"held-wrong-sum.json":    "3358982349",
		"held-another-id.json":   "3358982348",
		"held-version-2.json":    "version 2",
		"held-another-form.json": `"ternstage drain"`,
	} {
		ids, err := maintenance.DecodeSuspensions(readGolden(t, "refused/"+name))
		require.ErrorIs(t, err, maintenance.ErrSuspensionFile, name)
		assert.ErrorContains(t, err, wantText, name)
		assert.Nil(t, ids, name)
	}
	for name, wantText := range map[string]string{
		"drain-torn.json":         "torn",
		"drain-empty.json":        "torn",
		"drain-version-2.json":    "version 2",
		"drain-another-form.json": `"ternstage held leafs"`,
	} {
		sinceUnixMs, err := maintenance.DecodeDrain(readGolden(t, "refused/"+name))
		require.ErrorIs(t, err, maintenance.ErrDrainFile, name)
		assert.ErrorContains(t, err, wantText, name)
		assert.Zero(t, sinceUnixMs, name)
	}
	_, err := maintenance.DecodeSuspensions(readGolden(t, "ternstage-held-leafs.json.drain"))
	require.ErrorIs(t, err, maintenance.ErrSuspensionFile, "a drain file is not a suspension file")
	_, err = maintenance.DecodeDrain(readGolden(t, "ternstage-held-leafs.json"))
	require.ErrorIs(t, err, maintenance.ErrDrainFile, "a suspension file is not a drain file")
}
