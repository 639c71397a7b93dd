package adminops

import (
	"go.uber.org/zap"

	"ternstage/internal/logs"
	"ternstage/internal/store/statefile"
)

// servingSuffix names the lock of the process that serves, beside the record of a handover.
const servingSuffix = ".serving"

// processDetector detects another process of the broker that serves. The one that serves holds a lock until it ends;
// the kernel releases it however the process ends.
type processDetector struct {
	log  *logs.Log
	path string
	lock *statefile.LockFile // nil until it is opened
	// alone is final: this process holds the lock, or the directory cannot carry one. In the latter case another
	// process is not detected, and only the wait of the first window after a start keeps the two within the quota.
	alone bool
}

func newProcessDetector(log *logs.Log, path string) *processDetector {
	return &processDetector{log: log, path: path}
}

// detect reports whether another process serves. It takes the lock if none does, and others then detect this process.
func (d *processDetector) detect() bool {
	if d.alone {
		return false
	}
	if d.lock == nil {
		lock, err := statefile.OpenLock(d.path)
		if err != nil {
			d.log.Warn("lock file cannot be opened: other processes of the broker are not detected", zap.String("file", d.path), zap.Error(err))
			d.alone = true
			return false
		}
		d.lock = lock
	}
	err := d.lock.TryLock()
	d.alone = err == nil
	return !d.alone
}
