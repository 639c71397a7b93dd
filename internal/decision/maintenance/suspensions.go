package maintenance

import "slices"

const (
	// MaxSuspended is the maximum number of backends that are suspended at once. Beyond it, Suspend answers 507.
	MaxSuspended = 1024
	// MaxKnownIDs is the maximum number of known ids from endpoint lists. Beyond it, the oldest id is forgotten.
	MaxKnownIDs = 16384
)

// Suspensions is the set of suspended backends, together with the known ids: those that an endpoint list ever named.
// A known backend that is missing from the present list can be suspended. An unknown id is taken for a mistyped one.
//
// Invariants: at most MaxSuspended ids are suspended and at most MaxKnownIDs are known; each id is valid (see
// ValidID); an id stays suspended even if it is forgotten.
type Suspensions struct {
	// ForgottenIDs counts the known ids that were forgotten because of MaxKnownIDs.
	ForgottenIDs uint64

	suspended  map[string]struct{}
	known      map[string]struct{}
	knownOrder []string // the keys of known, oldest first
}

// NewSuspensions returns an empty set that knows no id.
func NewSuspensions() *Suspensions {
	return &Suspensions{suspended: map[string]struct{}{}, known: map[string]struct{}{}}
}

// EndpointListed records that the endpoint list names the backend id. It ignores an invalid id.
func (s *Suspensions) EndpointListed(id string) {
	if s.isKnown(id) || !ValidID(id) {
		return
	}
	if len(s.knownOrder) >= MaxKnownIDs {
		oldest := s.knownOrder[0]
		s.knownOrder = s.knownOrder[1:]
		delete(s.known, oldest)
		s.ForgottenIDs++
	}
	s.known[id] = struct{}{}
	s.knownOrder = append(s.knownOrder, id)
}

func (s *Suspensions) isKnown(id string) bool {
	_, ok := s.known[id]
	return ok
}

// Suspended reports whether the backend id is suspended.
func (s *Suspensions) Suspended(id string) bool {
	_, ok := s.suspended[id]
	return ok
}

// Suspend suspends the backend id. It answers 400 to an invalid id, 404 to an unknown id, and 507 if MaxSuspended
// backends are suspended.
func (s *Suspensions) Suspend(id string) CallResult {
	switch {
	case !ValidID(id):
		return resultInvalidID
	case s.Suspended(id):
		return resultAlready
	case !s.isKnown(id):
		return resultNeverListed
	case len(s.suspended) >= MaxSuspended:
		return resultTableFull
	}
	s.suspended[id] = struct{}{}
	return resultDone
}

// Resume ends the suspension of the backend id. It answers 400 to an invalid id, and 404 to an unknown id that is not
// suspended.
func (s *Suspensions) Resume(id string) CallResult {
	switch {
	case !ValidID(id):
		return resultInvalidID
	case s.Suspended(id):
		delete(s.suspended, id)
		return resultDone
	case !s.isKnown(id):
		return resultNeverListed
	}
	return resultAlready
}

// IDs returns the ids of the suspended backends, sorted.
func (s *Suspensions) IDs() []string {
	ids := make([]string, 0, len(s.suspended))
	for id := range s.suspended {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Replace replaces the set of suspended backends by ids, which another process of the broker has stored. It returns
// the ids that were added to the set and those that were resumed, both sorted. It ignores invalid ids and ids beyond
// MaxSuspended. An added id becomes known, as only a listed backend can have been suspended.
func (s *Suspensions) Replace(ids []string) (added, resumed []string) {
	target := map[string]struct{}{}
	for _, id := range ids {
		if ValidID(id) && len(target) < MaxSuspended {
			target[id] = struct{}{}
		}
	}
	for id := range s.suspended {
		if _, ok := target[id]; !ok {
			resumed = append(resumed, id)
			delete(s.suspended, id)
		}
	}
	for id := range target {
		if !s.Suspended(id) {
			added = append(added, id)
		}
	}
	slices.Sort(added)
	slices.Sort(resumed)
	for _, id := range added {
		s.suspended[id] = struct{}{}
		s.EndpointListed(id)
	}
	return added, resumed
}
