package statefile

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// lockSuffix is appended to the path of a state file to name its lock file. The state file itself cannot hold the
// lock, as each change replaces it.
const lockSuffix = ".lock"

// The maximum wait for a lock is 2 ms, the product of these constants. It is short because the wait blocks the event
// loop. A change under a lock takes about 0.2 ms, so a process that holds the lock for longer than the maximum wait
// was probably stopped during its change.
const (
	lockAttempts      = 20
	lockRetryInterval = 100 * time.Microsecond
)

// LockedError reports that another process holds a lock.
type LockedError struct {
	// Path is the path of the lock file.
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

// LockFile is an open lock file. It may or may not be locked by this process.
type LockFile struct {
	path string
	fd   int
}

// OpenLock opens the lock file at path, and creates it if there is none. It does not take the lock.
func OpenLock(path string) (*LockFile, error) {
	fd, err := unix.Open(path, unix.O_RDWR|unix.O_CREAT|unix.O_CLOEXEC, filePermissions)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	return &LockFile{path: path, fd: fd}, nil
}

// TryLock takes the lock without waiting. It returns a *LockedError if the lock cannot be taken, which usually means
// that another process holds it.
func (l *LockFile) TryLock() error {
	if err := unix.Flock(l.fd, unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return &LockedError{Path: l.path, Cause: err}
	}
	return nil
}

// Close releases the lock, if it is held, and closes the file. The file itself stays.
func (l *LockFile) Close() { _ = unix.Close(l.fd) }

// Lock takes the lock of the state file at path, using the lock file "path.lock". It waits for 2 ms at most and
// returns a *LockedError if another process holds the lock for longer. Any other error means that the lock file
// cannot be opened. Close the lock to release it.
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
