package discovery

import "ternstage/internal/decision/scheduler"

// drain is how a member was told to drain or to be gone.
type drain struct {
	started  float64 // the member's start, as the list had it
	revision uint64  // of the list that told it
}

const maxRememberedDrains = 4096 // members of which it is kept that they have drained or gone

// stateOf is the state in which a member is listed. What was told of a drain or an end holds until the member
// has started anew, or a list of a higher version says otherwise: a service that answers from an older list,
// or has started anew and counts from elsewhere, does not bring a member back.
func (r *Registry) stateOf(m EndpointRecord, revision uint64) scheduler.ReplicaState {
	state := stateOfPhase[m.Phase]
	was, ended := r.drains[m.ID]
	switch {
	case state != scheduler.Ready:
		r.rememberDrain(m.ID, drain{m.StartedAtUnixMs, max(revision, was.revision)})
	case ended && m.StartedAtUnixMs <= was.started && revision <= was.revision:
		return scheduler.Draining
	case ended:
		delete(r.drains, m.ID)
	}
	return state
}

// rememberDrain keeps that a member was told to drain or to be gone. Beyond a bound the one told first is forgotten.
func (r *Registry) rememberDrain(id string, e drain) {
	if r.drains[id] = e; len(r.drains) <= maxRememberedDrains {
		return
	}
	oldest := id
	for x, o := range r.drains {
		if was := r.drains[oldest]; o.revision < was.revision || o.revision == was.revision && x < oldest {
			oldest = x
		}
	}
	delete(r.drains, oldest)
}

// drainAbsent notes the members that a whole list has no more.
func (r *Registry) drainAbsent(l EndpointList) {
	has := make(map[string]bool, len(l.Endpoints))
	for _, m := range l.Endpoints {
		has[m.ID] = true
	}
	for id, started := range r.listedStarts {
		if !has[id] {
			r.rememberDrain(id, drain{started, l.Revision})
		}
	}
}
