package maintenance

import "slices"

// Bounds of the tables.
const (
	// MaxSuspended is how many leafs may be held out at once; a suspend beyond it is answered no.
	MaxSuspended = 1024
	// MaxKnownIDs is how many ids of leafs that were listed are remembered, to tell a leaf that is away for a
	// while from an id that never was; beyond it the oldest is forgotten, and counted.
	MaxKnownIDs = 16384
)

// Suspensions are the leafs held out of service, and the ids that were ever listed.
type Suspensions struct {
	suspended    map[string]struct{}
	known        map[string]struct{}
	knownOrder   []string // of seen, oldest first
	ForgottenIDs uint64   // ids of seen let go at the bound
}

// NewSuspensions makes empty tables.
func NewSuspensions() *Suspensions {
	return &Suspensions{suspended: map[string]struct{}{}, known: map[string]struct{}{}}
}

// MemberListed notes that a leaf of that id is or was in the list.
func (b *Suspensions) MemberListed(id string) {
	if _, ok := b.known[id]; ok || !ValidID(id) {
		return
	}
	if len(b.knownOrder) >= MaxKnownIDs {
		drop := b.knownOrder[0]
		b.knownOrder = b.knownOrder[1:]
		delete(b.known, drop)
		b.ForgottenIDs++
	}
	b.known[id] = struct{}{}
	b.knownOrder = append(b.knownOrder, id)
}

// Held tells that a leaf is held out: the aggregator sends it nothing new, whatever the list says.
func (b *Suspensions) Suspended(id string) bool {
	_, ok := b.suspended[id]
	return ok
}

// Suspend holds a leaf out. An id that was never listed, and is not held already, is answered no.
func (b *Suspensions) Suspend(id string) CallResult {
	switch _, seen := b.known[id]; {
	case !ValidID(id):
		return resultInvalidID
	case b.Suspended(id):
		return resultAlready
	case !seen:
		return resultNeverListed
	case len(b.suspended) >= MaxSuspended:
		return resultTableFull
	}
	b.suspended[id] = struct{}{}
	return CallResult{Status: resultDone.Status, Reason: resultDone.Reason, Changed: true}
}

// Resume ends the ban of a leaf. A leaf that is listed and not held is answered yes with no change; an id
// that was never listed, no.
func (b *Suspensions) Resume(id string) CallResult {
	switch _, seen := b.known[id]; {
	case !ValidID(id):
		return resultInvalidID
	case b.Suspended(id):
		delete(b.suspended, id)
		return CallResult{Status: resultDone.Status, Reason: resultDone.Reason, Changed: true}
	case !seen:
		return resultNeverListed
	}
	return resultAlready
}

// IDs are the leafs held out, in order.
func (b *Suspensions) IDs() []string {
	out := make([]string, 0, len(b.suspended))
	for id := range b.suspended {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Replace makes the bans those of another process of the aggregator, as its file says; it gives the ids that
// are held out now and were not, and those that are free now and were held. Ids over the bound are left
// out, and an id that comes from the file counts as listed, as only a listed one can be held.
func (b *Suspensions) Replace(ids []string) (added, freed []string) {
	want := map[string]struct{}{}
	for _, id := range ids {
		if ValidID(id) && len(want) < MaxSuspended {
			want[id] = struct{}{}
		}
	}
	for id := range b.suspended {
		if _, ok := want[id]; !ok {
			freed = append(freed, id)
			delete(b.suspended, id)
		}
	}
	for id := range want {
		if _, ok := b.suspended[id]; !ok {
			added = append(added, id)
			b.suspended[id] = struct{}{}
			b.MemberListed(id)
		}
	}
	slices.Sort(added)
	slices.Sort(freed)
	return added, freed
}
