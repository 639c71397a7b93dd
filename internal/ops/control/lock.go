package control

import (
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"ternstage/internal/ops/maintenance"
)

// A change of the file is a read, a decision and a write, 0.2 ms in all, which two processes must not do at
// once: the later rename would undo the other's change after its yes. One that does not get the lock in
// lockTries x lockRest, as the other was stopped within its change, says no and has changed nothing: the
// loop is held up by no more than a write takes. The kernel frees the lock of a process that is killed.
const (
	lockTries = 20
	lockRest  = 100 * time.Microsecond
)

var errLocked = errors.New("another process of the aggregator is changing it")

// lock takes the lock on what path keeps, in a file of its own, as path itself is replaced by each change.
// The function that it gives frees it; an error that wraps errLocked tells that another holds it.
func lock(path string) (free func(), err error) {
	path += ".lock"
	fd, err := unix.Open(path, unix.O_RDWR|unix.O_CREAT|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return func() {}, fmt.Errorf("open %s: %w", path, err)
	}
	for try := 1; ; try++ {
		switch err := unix.Flock(fd, unix.LOCK_EX|unix.LOCK_NB); {
		case err == nil:
			return func() { _ = unix.Close(fd) }, nil
		case errors.Is(err, unix.EWOULDBLOCK) && try < lockTries:
			time.Sleep(lockRest)
		default:
			_ = unix.Close(fd)
			return func() {}, fmt.Errorf("lock %s: %w", path, errors.Join(errLocked, err))
		}
	}
}

// readDrain gives since when a drain holds that some process of the aggregator was told of, in Unix ms; ok
// tells that one does. What cannot be read holds all the same, from now on: the call back ends it.
func readDrain(path string, now float64) (since float64, ok bool, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return now, true, err
	}
	if since, err = maintenance.DecodeDrain(text); err != nil {
		return now, true, err
	}
	return min(since, now), true, nil
}
