package statefile

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFingerprint(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.json")
	_, err := Stat(path)
	require.ErrorIs(t, err, fs.ErrNotExist)

	require.NoError(t, Write(path, []byte("content")))
	first := mustStat(t, path)
	assert.NotZero(t, first)
	assert.Equal(t, int64(7), first.Size())
	_, err = os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, first, mustStat(t, path), "reading does not change the fingerprint")

	modified := time.Unix(0, first.mtimeNs)
	for _, c := range []struct {
		name   string
		change func() error
	}{
		{"replaced by the same content, at the same time", func() error {
			if err := Write(path, []byte("content")); err != nil {
				return err
			}
			return os.Chtimes(path, modified, modified)
		}},
		{"written in place, another size", func() error {
			if err := os.WriteFile(path, []byte("longer content"), 0o600); err != nil {
				return err
			}
			return os.Chtimes(path, modified, modified)
		}},
		{"another time", func() error { return os.Chtimes(path, modified, modified.Add(time.Nanosecond)) }},
	} {
		before := mustStat(t, path)
		require.NoError(t, c.change(), c.name)
		assert.NotEqual(t, before, mustStat(t, path), c.name)
	}
}

func mustStat(t *testing.T, path string) Fingerprint {
	t.Helper()
	f, err := Stat(path)
	require.NoError(t, err)
	return f
}
