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
	held      map[string]struct{}
	seen      map[string]struct{}
	order     []string // of seen, oldest first
	Forgotten uint64   // ids of seen let go at the bound
}

// NewSuspensions makes empty tables.
func NewSuspensions() *Suspensions {
	return &Suspensions{held: map[string]struct{}{}, seen: map[string]struct{}{}}
}

// MemberListed notes that a leaf of that id is or was in the list.
func (b *Suspensions) MemberListed(id string) {
	if _, ok := b.seen[id]; ok || !ValidID(id) {
		return
	}
	if len(b.order) >= MaxKnownIDs {
		drop := b.order[0]
		b.order = b.order[1:]
		delete(b.seen, drop)
		b.Forgotten++
	}
	b.seen[id] = struct{}{}
	b.order = append(b.order, id)
}

// Held tells that a leaf is held out: the aggregator sends it nothing new, whatever the list says.
func (b *Suspensions) Suspended(id string) bool {
	_, ok := b.held[id]
	return ok
}

// Suspend holds a leaf out. An id that was never listed, and is not held already, is answered no.
func (b *Suspensions) Suspend(id string) CallResult {
	switch _, seen := b.seen[id]; {
	case !ValidID(id):
		return badID
	case b.Suspended(id):
		return yesAgain
	case !seen:
		return notListed
	case len(b.held) >= MaxSuspended:
		return full
	}
	b.held[id] = struct{}{}
	return CallResult{Status: yes.Status, Reason: yes.Reason, Changed: true}
}

// Resume ends the ban of a leaf. A leaf that is listed and not held is answered yes with no change; an id
// that was never listed, no.
func (b *Suspensions) Resume(id string) CallResult {
	switch _, seen := b.seen[id]; {
	case !ValidID(id):
		return badID
	case b.Suspended(id):
		delete(b.held, id)
		return CallResult{Status: yes.Status, Reason: yes.Reason, Changed: true}
	case !seen:
		return notListed
	}
	return yesAgain
}

// IDs are the leafs held out, in order.
func (b *Suspensions) IDs() []string {
	out := make([]string, 0, len(b.held))
	for id := range b.held {
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
	for id := range b.held {
		if _, ok := want[id]; !ok {
			freed = append(freed, id)
			delete(b.held, id)
		}
	}
	for id := range want {
		if _, ok := b.held[id]; !ok {
			added = append(added, id)
			b.held[id] = struct{}{}
			b.MemberListed(id)
		}
	}
	slices.Sort(added)
	slices.Sort(freed)
	return added, freed
}
