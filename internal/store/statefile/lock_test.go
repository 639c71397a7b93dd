package statefile

import (
	"io/fs"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func TestLockExcludes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.json")
	first, err := Lock(path)
	require.NoError(t, err)
	assert.FileExists(t, path+".lock")
	assert.NoFileExists(t, path)

	began := time.Now()
	_, err = Lock(path)
	var locked *LockedError
	require.ErrorAs(t, err, &locked)
	assert.Equal(t, path+".lock", locked.Path)
	assert.ErrorIs(t, err, unix.EWOULDBLOCK)
	assert.GreaterOrEqual(t, time.Since(began), (lockAttempts-1)*lockRetryInterval, "Lock waits for a change to end")
	assert.Less(t, time.Since(began), 50*time.Millisecond, "Lock does not wait for a process that was stopped")

	first.Close()
	second, err := Lock(path)
	require.NoError(t, err)
	second.Close()
}

// TestLockWaits checks that Lock succeeds when the lock is released while Lock waits for it.
func TestLockWaits(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.json")
	first, err := Lock(path)
	require.NoError(t, err)
	go func() {
		time.Sleep(lockRetryInterval)
		first.Close()
	}()
	require.Eventually(t, func() bool {
		second, err := Lock(path)
		if err == nil {
			second.Close()
		}
		return err == nil
	}, time.Second, time.Millisecond)
}

func TestLockWithoutDirectory(t *testing.T) {
	_, err := Lock(filepath.Join(t.TempDir(), "none", "state.json"))
	require.ErrorIs(t, err, fs.ErrNotExist)
	var locked *LockedError
	assert.NotErrorAs(t, err, &locked, "no other process holds the lock")
}

func TestTryLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "serving")
	first, err := OpenLock(path)
	require.NoError(t, err)
	second, err := OpenLock(path)
	require.NoError(t, err)
	t.Cleanup(second.Close)

	require.NoError(t, first.TryLock())
	require.NoError(t, first.TryLock(), "a lock that is held can be taken again")
	var locked *LockedError
	require.ErrorAs(t, second.TryLock(), &locked)
	first.Close()
	assert.NoError(t, second.TryLock(), "closing releases it")
}
