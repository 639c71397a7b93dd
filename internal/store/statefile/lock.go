package statefile

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// lockSuffix names the file that carries the lock on another one, which itself is replaced by each change.
const lockSuffix = ".lock"

// A change under a lock takes about 0.2 ms. A process that waits longer than lockAttempts * lockRetryInterval, 2 ms,
// waits for one that was stopped within its change. The wait blocks the event loop, and so is kept short.
const (
	lockAttempts      = 20
	lockRetryInterval = 100 * time.Microsecond
)

// LockedError reports whether a lock is held by another process.
type LockedError struct {
	// Path is that of the file that carries the lock.
	Path string
	// Cause is the error of the system call, usually unix.EWOULDBLOCK.
	Cause error
}

// Error implements error.
func (e *LockedError) Error() string {
	return fmt.Sprintf("lock %s: held by another process: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *LockedError) Unwrap() error { return e.Cause }

// LockFile is an open file that carries a lock.
type LockFile struct {
	path string
	fd   int
}

// OpenLock opens the file at path for locking and makes it when there is none. It does not lock it.
func OpenLock(path string) (*LockFile, error) {
	fd, err := unix.Open(path, unix.O_RDWR|unix.O_CREAT|unix.O_CLOEXEC, filePermissions)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	return &LockFile{path: path, fd: fd}, nil
}

// TryLock takes the lock without waiting. It returns a *LockedError when another process holds it.
func (l *LockFile) TryLock() error {
	if err := unix.Flock(l.fd, unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return &LockedError{Path: l.path, Cause: err}
	}
	return nil
}

// Close releases the lock, if it is held, and closes the file. The file itself stays.
func (l *LockFile) Close() { _ = unix.Close(l.fd) }

// Lock takes the lock on the state at path, which a file beside it carries ("path.lock"). It waits for 2 ms at most
// and returns a *LockedError when another process holds the lock for longer; any other error tells that the directory
// cannot carry a lock. Close the lock to release it.
func Lock(path string) (*LockFile, error) {
	lock, err := OpenLock(path + lockSuffix)
	if err != nil {
		return nil, err
	}
	for attempt := 1; ; attempt++ {
		err = lock.TryLock()
		if err == nil {
			return lock, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || attempt == lockAttempts {
			lock.Close()
			return nil, err
		}
		time.Sleep(lockRetryInterval)
	}
}
