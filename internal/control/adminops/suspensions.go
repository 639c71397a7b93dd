package adminops

import (
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"

	"go.uber.org/zap"

	"ternstage/internal/decision/maintenance"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/store/statefile"
)

// Suspend implements adminapi.Operations: it takes the backend id out of service.
func (c *Control) Suspend(id string) maintenance.CallResult {
	return c.suspensions.change(id, c.suspensions.table.Suspend)
}

// Resume implements adminapi.Operations: it puts the backend id back into service.
func (c *Control) Resume(id string) maintenance.CallResult {
	return c.suspensions.change(id, c.suspensions.table.Resume)
}

// suspensionStore holds the table of suspended backends and shares it with the broker's other processes by a file.
// The file is authoritative: a change is made under a lock, after the content of the file has been applied to the
// table.
type suspensionStore struct {
	log       *logs.Log
	path      string
	table     *maintenance.Suspensions
	endpoints EndpointLookup
	sink      EndpointSink

	current  statefile.Fingerprint // of the file as this process last read or wrote it
	unusable statefile.Fingerprint // of a file that cannot be used, which is logged once
}

func newSuspensionStore(
	log *logs.Log, path string, endpoints EndpointLookup, sink EndpointSink,
) *suspensionStore {
	return &suspensionStore{log: log, path: path, table: maintenance.NewSuspensions(), endpoints: endpoints, sink: sink}
}

// change applies an operation of the table to the backend id, notifies the scheduler and stores the table.
func (s *suspensionStore) change(id string, operation func(string) maintenance.CallResult) maintenance.CallResult {
	lock, err := statefile.Lock(s.path)
	var locked *statefile.LockedError
	if errors.As(err, &locked) {
		s.log.Warn("suspensions not changed", zap.String("file", s.path), zap.Error(err))
		return lockedResult(locked)
	}
	if err == nil { // otherwise the lock file could not be opened; save then fails as well, and the answer says so
		defer lock.Close()
	}
	s.refresh()
	result := operation(id)
	if !result.Changed {
		return result
	}
	s.notify(id)
	if err := s.save(); err != nil {
		s.log.Warn("suspensions not saved", zap.String("file", s.path), zap.Error(err))
		return notStoredResult(err)
	}
	return result
}

// lockedResult returns the result of a change while another process holds the lock. Its text is part of the admin API
// and must not change.
func lockedResult(locked *statefile.LockedError) maintenance.CallResult {
	return maintenance.CallResult{
		Status: http.StatusInternalServerError,
		Reason: fmt.Sprintf("nothing is changed: lock %s: another process of the aggregator is changing it\n%v",
			locked.Path, locked.Cause),
	}
}

// notStoredResult returns the result of a change that is in force here but could not be stored for the next process.
// Its status is 500, so that the operator repeats the call. Its text is part of the admin API and must not change.
func notStoredResult(err error) maintenance.CallResult {
	return maintenance.CallResult{
		Status:  http.StatusInternalServerError,
		Reason:  "so here, but not kept for the next process: " + err.Error(),
		Changed: true,
	}
}

// refresh applies the file if it has changed since this process last read or wrote it. If there is no file, or one
// that cannot be used, the table stays as it is.
func (s *suspensionStore) refresh() {
	fingerprint, err := statefile.Stat(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		s.logUnusable(statefile.Fingerprint{}, err)
		return
	}
	if fingerprint == s.current || fingerprint == s.unusable {
		return
	}
	ids, err := s.read(fingerprint)
	if err != nil {
		s.logUnusable(fingerprint, err)
		return
	}
	s.current = fingerprint
	s.replace(ids)
}

// read reads and decodes the file. It returns an error if the file no longer has the size in its fingerprint.
func (s *suspensionStore) read(fingerprint statefile.Fingerprint) ([]string, error) {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return nil, err
	}
	if int64(len(text)) != fingerprint.Size() {
		return nil, fmt.Errorf("%w: changed while it was read", maintenance.ErrSuspensionFile)
	}
	return maintenance.DecodeSuspensions(text)
}

// replace replaces the table by ids and notifies the scheduler of the differences.
func (s *suspensionStore) replace(ids []string) {
	added, resumed := s.table.Replace(ids)
	if len(added)+len(resumed) == 0 {
		return
	}
	s.log.Info("suspensions read", zap.String("file", s.path), zap.Strings("suspended", added),
		zap.Strings("resumed", resumed))
	s.notify(append(added, resumed...)...)
}

// logUnusable logs that the file cannot be used: once for each fingerprint, and every time without a fingerprint.
func (s *suspensionStore) logUnusable(fingerprint statefile.Fingerprint, err error) {
	if fingerprint != s.unusable || fingerprint == (statefile.Fingerprint{}) {
		s.log.Warn("suspensions not read: those in force stay", zap.String("file", s.path), zap.Error(err))
	}
	s.unusable = fingerprint
}

// save writes the table to the file, and records the new fingerprint so that refresh does not apply the file again.
func (s *suspensionStore) save() error {
	if err := statefile.Write(s.path, maintenance.EncodeSuspensions(s.table.IDs())); err != nil {
		return err
	}
	if fingerprint, err := statefile.Stat(s.path); err == nil {
		s.current = fingerprint
	}
	return nil
}

// notify notifies the scheduler of backends that were suspended or resumed. It runs before the operator's call is
// answered, so that the drain grace of a suspended backend has begun by then.
func (s *suspensionStore) notify(ids ...string) {
	endpoints := make([]scheduler.Endpoint, 0, len(ids))
	for _, id := range ids {
		if endpoint, ok := s.endpoints.Endpoint(id); ok {
			endpoints = append(endpoints, endpoint)
		}
	}
	if len(endpoints) > 0 {
		s.sink.EndpointsOverridden(endpoints)
	}
}
