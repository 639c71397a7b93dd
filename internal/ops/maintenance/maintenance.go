// Package maintenance decides what the operators' calls change: which leafs are held out of service (a ban,
// from suspend to resume), whether the aggregator sends its clients away (from drain to activate), and what
// each call is answered. It does no I/O and reads no clock: times are the caller's, in ms.
//
// A ban is a fact of the aggregator, not of one process: it is kept in a file beside the process (see
// Encode and Decode) that every process of the aggregator reads, so that it holds across an upgrade.
package maintenance

import (
	"errors"
	"fmt"
	"slices"
)

// Bounds of the tables.
const (
	// MaxSuspended is how many leafs may be held out at once; a suspend beyond it is answered no.
	MaxSuspended = 1024
	// MaxKnownIDs is how many ids of leafs that were listed are remembered, to tell a leaf that is away for a
	// while from an id that never was; beyond it the oldest is forgotten, and counted.
	MaxKnownIDs = 16384
	// MaxID is the longest id taken, in bytes.
	MaxID = 256
)

// CallResult is what a call is answered: Status 2xx is yes, 4xx and 5xx no. Changed tells that the call changed
// something; a repeated call is answered the same and changes nothing.
type CallResult struct {
	Status  int
	Reason  string
	Changed bool
}

// OK tells that the verdict is a yes.
func (v CallResult) OK() bool { return v.Status >= 200 && v.Status < 300 }

var (
	yes       = CallResult{Status: 200, Reason: "done"}
	yesAgain  = CallResult{Status: 200, Reason: "so already"}
	notListed = CallResult{Status: 404, Reason: "no leaf of that id was ever listed"}
	full      = CallResult{Status: 507, Reason: fmt.Sprintf("%d leafs are held out already", MaxSuspended)}
	badID     = CallResult{Status: 400,
		Reason: "a leaf id is 1 to 256 bytes of letters, digits, '-', '_', '.' and ':'"}
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

// ValidID tells that an id can be a leaf's: what a path segment carries without escapes, and not too long.
func ValidID(id string) bool {
	if id == "" || len(id) > MaxID {
		return false
	}
	for i := 0; i < len(id); i++ {
		switch c := id[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.',
			c == ':':
		default:
			return false
		}
	}
	return true
}

// ErrSuspensionFile wraps what is wrong with a file of bans.
var ErrSuspensionFile = errors.New("file of held leafs")
