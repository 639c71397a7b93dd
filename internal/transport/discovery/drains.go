package discovery

import "ternstage/internal/decision/scheduler"

// maxRememberedDrains is the maximum number of backends whose drains are remembered.
const maxRememberedDrains = 4096

// drain records that a list reported a backend as draining or removed, or no longer contained it.
type drain struct {
	startedAtUnixMs float64 // start time of the drained process
	revision        uint64  // highest revision of the lists that say so
}

// rememberedDrains holds the last drain of each backend, by backend ID.
//
// Invariant: a drain is in force until the backend restarts or a list of a higher revision reports the backend as
// ready. So a drained backend does not become ready again because a discovery service serves an older list, or
// because it has restarted and counts its revisions from another value.
type rememberedDrains map[string]drain

// resolveState returns the state that the scheduler is given for a record of a list with this revision. It also
// remembers or forgets the backend's drain.
func (d rememberedDrains) resolveState(record EndpointRecord, revision uint64) scheduler.ReplicaState {
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

// remember records a drain. If there are more than maxRememberedDrains, it forgets the one with the lowest revision
// and, among equal revisions, the lowest ID.
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
