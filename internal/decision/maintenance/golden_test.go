package maintenance_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/maintenance"
)

// The files of testdata/golden were written by the code of commit aa8ad37 and stand in $TMPDIR of programs that
// run: they are never written anew. Those of testdata/golden/refused are copies of them, spoilt by hand.

func golden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return text
}

// TestGoldenSuspended: what an earlier build wrote of suspended backends is read whole, and written the same.
func TestGoldenSuspended(t *testing.T) {
	for name, want := range map[string][]string{
		"ternstage-held-leafs.json": {"S_c9f39196", "s-11", "s-2", "salt-lake.leaf:7"},
		"none-held.json":            {},
	} {
		t.Run(name, func(t *testing.T) {
			text := golden(t, name)
			ids, err := maintenance.DecodeSuspensions(text)
			require.NoError(t, err)
			assert.Equal(t, want, ids)
			assert.Equal(t, string(text), string(maintenance.EncodeSuspensions(ids)), "the ids that were read")
			assert.Equal(t, string(text), string(maintenance.EncodeSuspensions(want)), "the ids that are in it")

			s := maintenance.NewSuspensions()
			added, freed := s.Replace(ids)
			assert.ElementsMatch(t, want, added)
			assert.Empty(t, freed)
			assert.Equal(t, string(text), string(maintenance.EncodeSuspensions(s.IDs())), "by the tables of a process")
			for _, id := range want {
				assert.True(t, s.Suspended(id), id)
				assert.Equal(t, 200, s.Resume(id).Status, "%s can be resumed though no list named it", id)
			}
			assert.Equal(t, string(golden(t, "none-held.json")), string(maintenance.EncodeSuspensions(s.IDs())))
		})
	}
}

// TestGoldenDrain: what an earlier build wrote of a drain is read to the microsecond, and written the same.
func TestGoldenDrain(t *testing.T) {
	text := golden(t, "ternstage-held-leafs.json.drain")
	since, err := maintenance.DecodeDrain(text)
	require.NoError(t, err)
	assert.Equal(t, 1796285471204.617, since)
	assert.Equal(t, string(text), string(maintenance.EncodeDrain(since)))
}

// TestGoldenRefused: a file that is torn, empty, altered, of another form or of another version is refused.
func TestGoldenRefused(t *testing.T) {
	for name, says := range map[string]string{
		"held-torn.json":         "torn",
		"held-empty.json":        "torn",
		"held-wrong-sum.json":    "3358982349",
		"held-another-id.json":   "3358982348",
		"held-version-2.json":    "version 2",
		"held-another-form.json": `"ternstage drain"`,
	} {
		ids, err := maintenance.DecodeSuspensions(golden(t, "refused/"+name))
		require.ErrorIs(t, err, maintenance.ErrSuspensionFile, name)
		assert.ErrorContains(t, err, says, name)
		assert.Nil(t, ids, name)
	}
	for name, says := range map[string]string{
		"drain-torn.json":         "torn",
		"drain-empty.json":        "torn",
		"drain-version-2.json":    "version 2",
		"drain-another-form.json": `"ternstage held leafs"`,
	} {
		since, err := maintenance.DecodeDrain(golden(t, "refused/"+name))
		require.ErrorIs(t, err, maintenance.ErrDrainFile, name)
		assert.ErrorContains(t, err, says, name)
		assert.Zero(t, since, name)
	}
	_, err := maintenance.DecodeSuspensions(golden(t, "ternstage-held-leafs.json.drain"))
	require.ErrorIs(t, err, maintenance.ErrSuspensionFile, "a drain is no list of suspended backends")
	_, err = maintenance.DecodeDrain(golden(t, "ternstage-held-leafs.json"))
	require.ErrorIs(t, err, maintenance.ErrDrainFile, "nor the other way")
}
