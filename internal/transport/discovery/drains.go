package discovery

import "ternstage/internal/decision/scheduler"

// maxRememberedDrains bounds the drains that are remembered, in backends.
const maxRememberedDrains = 4096

// drain is what a list said when it reported a backend as draining or removed.
type drain struct {
	startedAtUnixMs float64 // the backend's start
	revision        uint64  // of the list
}

// rememberedDrains holds the last drain of each backend, by backend ID.
//
// Invariant: a drain is in force until the backend restarts or a list of a higher revision reports the backend as
// ready. So neither a service that serves from an older list nor one that has restarted, and counts revisions from
// elsewhere, brings a drained backend back.
type rememberedDrains map[string]drain

// stateOf returns the state in which the scheduler sees a record of the list of that revision, and remembers or forgets
// the backend's drain accordingly.
func (d rememberedDrains) stateOf(record EndpointRecord, revision uint64) scheduler.ReplicaState {
	state := record.state()
	last, drained := d[record.ID]
	if state != scheduler.Ready {
		d.remember(record.ID, drain{record.StartedAtUnixMs, max(revision, last.revision)})
		return state
	}
	if drained && record.StartedAtUnixMs <= last.startedAtUnixMs && revision <= last.revision {
		return scheduler.Draining
	}
	delete(d, record.ID)
	return state
}

// remember records a drain. Beyond maxRememberedDrains the one of the lowest revision is forgotten, and among those of
// one revision the one of the lowest ID.
func (d rememberedDrains) remember(id string, latest drain) {
	d[id] = latest
	if len(d) <= maxRememberedDrains {
		return
	}
	oldest := id
	for candidate, last := range d {
		oldestRevision := d[oldest].revision
		if last.revision < oldestRevision || last.revision == oldestRevision && candidate < oldest {
			oldest = candidate
		}
	}
	delete(d, oldest)
}
