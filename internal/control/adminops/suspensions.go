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

// Suspend implements adminapi.Operations.
func (c *Control) Suspend(id string) maintenance.CallResult {
	return c.suspensions.change(id, c.suspensions.table.Suspend)
}

// Resume implements adminapi.Operations.
func (c *Control) Resume(id string) maintenance.CallResult {
	return c.suspensions.change(id, c.suspensions.table.Resume)
}

// suspensionStore is the table of suspended backends and the file that shares it with the broker's other processes.
// The file is authoritative: a change is made under a lock, after what the file says has been applied.
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

// change makes a call on the table and stores what it changed.
func (s *suspensionStore) change(id string, call func(string) maintenance.CallResult) maintenance.CallResult {
	lock, err := statefile.Lock(s.path)
	var locked *statefile.LockedError
	if errors.As(err, &locked) {
		s.log.Warn("suspensions not changed", zap.String("file", s.path), zap.Error(err))
		return lockedResult(locked)
	}
	if err == nil { // in a directory that cannot carry a lock save fails as well, and the answer says so
		defer lock.Close()
	}
	s.refresh()
	result := call(id)
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

// lockedResult and notStoredResult are answers of the admin API: their texts do not change.
func lockedResult(locked *statefile.LockedError) maintenance.CallResult {
	return maintenance.CallResult{
		Status: http.StatusInternalServerError,
		Reason: fmt.Sprintf("nothing is changed: lock %s: another process of the aggregator is changing it\n%v",
			locked.Path, locked.Cause),
	}
}

// notStoredResult answers no to a change that is in force here but would not be in the next process, so that the
// operator makes the call again.
func notStoredResult(err error) maintenance.CallResult {
	return maintenance.CallResult{
		Status:  http.StatusInternalServerError,
		Reason:  "so here, but not kept for the next process: " + err.Error(),
		Changed: true,
	}
}

// refresh applies the file if it has changed since this process last read or wrote it. Without a file the table stays
// as it is, as it does with one that cannot be used.
func (s *suspensionStore) refresh() {
	fingerprint, err := statefile.Stat(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		s.reject(statefile.Fingerprint{}, err)
		return
	}
	if fingerprint == s.current || fingerprint == s.unusable {
		return
	}
	ids, err := s.read(fingerprint)
	if err != nil {
		s.reject(fingerprint, err)
		return
	}
	s.current = fingerprint
	s.replace(ids)
}

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

func (s *suspensionStore) replace(ids []string) {
	added, resumed := s.table.Replace(ids)
	if len(added)+len(resumed) == 0 {
		return
	}
	s.log.Info("suspensions read", zap.String("file", s.path), zap.Strings("suspended", added),
		zap.Strings("resumed", resumed))
	s.notify(append(added, resumed...)...)
}

// reject logs a file that cannot be used: once for each content, and each time when there is no fingerprint to tell.
func (s *suspensionStore) reject(fingerprint statefile.Fingerprint, err error) {
	if fingerprint != s.unusable || fingerprint == (statefile.Fingerprint{}) {
		s.log.Warn("suspensions not read: those in force stay", zap.String("file", s.path), zap.Error(err))
	}
	s.unusable = fingerprint
}

func (s *suspensionStore) save() error {
	if err := statefile.Write(s.path, maintenance.EncodeSuspensions(s.table.IDs())); err != nil {
		return err
	}
	if fingerprint, err := statefile.Stat(s.path); err == nil {
		s.current = fingerprint
	}
	return nil
}

// notify reports backends that were suspended or resumed to the scheduler, as the endpoint list would. It does so
// before the call is answered, so that the drain grace of a suspended backend has begun by then.
func (s *suspensionStore) notify(ids ...string) {
	endpoints := make([]scheduler.Endpoint, 0, len(ids))
	for _, id := range ids {
		if endpoint, ok := s.endpoints.Endpoint(id); ok {
			endpoints = append(endpoints, endpoint)
		}
	}
	if len(endpoints) > 0 {
		s.sink.EndpointsChanged(scheduler.UpdateDelta, endpoints)
	}
}
