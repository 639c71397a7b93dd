package adminops

import (
	"go.uber.org/zap"

	"ternstage/internal/logs"
	"ternstage/internal/store/statefile"
)

// servingSuffix is appended to the path of the handover record to name the lock file of the process that serves.
const servingSuffix = ".serving"

// processDetector detects another process of the broker that serves. A process that serves holds the lock until it
// ends; the kernel releases the lock even if the process crashes.
type processDetector struct {
	log  *logs.Log
	path string
	lock *statefile.LockFile // nil until it is opened
	// finished is set for good when this process holds the lock, or when the lock file cannot be opened. In the latter
	// case another process is not detected, and the two stay within the slow-start quota only because a process sends
	// nothing to warming backends in the first window after its start.
	finished bool
}

func newProcessDetector(log *logs.Log, path string) *processDetector {
	return &processDetector{log: log, path: path}
}

// detect reports whether another process serves. If none does, it takes the lock, so that other processes detect this
// one.
func (d *processDetector) detect() bool {
	if d.finished {
		return false
	}
	if d.lock == nil {
		lock, err := statefile.OpenLock(d.path)
		if err != nil {
			d.log.Warn("lock file cannot be opened: other processes of the broker are not detected",
				zap.String("file", d.path), zap.Error(err))
			d.finished = true
			return false
		}
		d.lock = lock
	}
	err := d.lock.TryLock()
	d.finished = err == nil
	return !d.finished
}
