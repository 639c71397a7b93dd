package statefile

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWriteReplaces(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.json")
	for _, content := range []string{"first", "second, which is longer", ""} {
		require.NoError(t, Write(path, []byte(content)))
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		assert.Equal(t, content, string(text))
	}
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, fs.FileMode(0o600), info.Mode())
	entries, err := os.ReadDir(filepath.Dir(path))
	require.NoError(t, err)
	assert.Len(t, entries, 1, "no temporary file is left")
}

// TestWriteIsAtomic checks that a reader sees only whole contents while another goroutine writes.
func TestWriteIsAtomic(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.json")
	contents := []string{strings.Repeat("a", 64<<10), strings.Repeat("b", 32<<10)}
	require.NoError(t, Write(path, []byte(contents[0])))
	done := make(chan error)
	go func() {
		var err error
		for i := 0; i < 200 && err == nil; i++ {
			err = Write(path, []byte(contents[i%2]))
		}
		done <- err
	}()
	for {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Contains(t, contents, string(text))
		select {
		case err := <-done:
			require.NoError(t, err)
			return
		default:
		}
	}
}

func TestWriteFails(t *testing.T) {
	t.Run("no directory", func(t *testing.T) {
		err := Write(filepath.Join(t.TempDir(), "none", "state.json"), []byte("x"))
		assert.ErrorIs(t, err, fs.ErrNotExist)
		assert.ErrorContains(t, err, "write ")
	})
	t.Run("path is a directory", func(t *testing.T) {
		dir := t.TempDir()
		path := filepath.Join(dir, "state.json")
		require.NoError(t, os.MkdirAll(filepath.Join(path, "full"), 0o700))
		assert.ErrorContains(t, Write(path, []byte("x")), "rename to ")
		entries, err := os.ReadDir(dir)
		require.NoError(t, err)
		assert.Len(t, entries, 1, "the temporary file is removed")
	})
}
