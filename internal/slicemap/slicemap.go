// Package slicemap is the map from districts to the nodes that hold them, while it changes: versions,
// changes, lineage, and every decision about them. It has no I/O and no clock, and is not safe for concurrent
// use but for a Version, which never changes and may be read by anybody.
//
// A district is the unit that is never divided. A slice is a range of districts with an id that is never used
// again, so an id names the same districts for ever, also once its slice is retired. A version of the map is
// told by its epoch, and epochs only grow. docs/design/moving-shards.md tells why it is built so.
package slicemap

import (
	"errors"
	"fmt"
	"slices"

	"github.com/benbjohnson/immutable"
)

// ID is a slice's id, 0 and above. It is the shard number of queries and of the decision module.
type ID = int

// Range is the districts from Lo up to, but not with, Hi.
type Range struct {
	Lo int `json:"lo"`
	Hi int `json:"hi"`
}

// Holds tells whether all districts of o are in r.
func (r Range) Holds(o Range) bool { return r.Lo <= o.Lo && o.Hi <= r.Hi }

// Meets tells whether a district is in both.
func (r Range) Meets(o Range) bool { return r.Lo < o.Hi && o.Lo < r.Hi }

// Size is how many districts there are in it.
func (r Range) Size() int { return r.Hi - r.Lo }

// String shows it as in messages: lo-hi, hi not included.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.Lo, r.Hi) }

// State is where a slice is in its life.
type State uint8

// The states of a slice.
const (
	Serving     State = iota
	Preparing         // it is being copied to To; From still executes
	HandingOver       // To executes in From's place; From is kept until the move is done, for an abort
	Retired           // split or merged: its districts belong to others
)

var stateNames = [...]string{"serving", "preparing", "handing-over", "retired"}

// String names the state as the catalogue does.
func (s State) String() string { return stateNames[s] }

// ParseState reads the catalogue's name of a state.
func ParseState(name string) (State, error) {
	if i := slices.Index(stateNames[:], name); i >= 0 {
		return State(i), nil
	}
	return 0, fmt.Errorf("state %q is unknown", name)
}

// Slice is one slice at one epoch. It is never changed once it is part of a version.
type Slice struct {
	ID ID
	Range
	Holders  []string // node ids, in order; while a move goes on From is among them and To is not
	State    State
	From, To string // of a move that goes on
	Since    uint64 // epoch of its last change
	Parents  []ID   // what it was split from or merged of

	group int
}

// Executors are the nodes that may be sent its parts at its epoch: its holders, with To in From's place once
// the handover has begun. Exactly one of the two is among them.
func (s *Slice) Executors() []string {
	if s.State != HandingOver {
		return s.Holders
	}
	out := slices.Clone(s.Holders)
	out[slices.Index(out, s.From)] = s.To
	return out
}

// Executes tells whether a node may execute parts of the slice at this epoch.
func (s *Slice) Executes(node string) bool {
	if s.State == HandingOver && (node == s.From || node == s.To) {
		return node == s.To
	}
	return slices.Contains(s.Holders, node)
}

// Version is the map at one epoch. It never changes.
type Version struct {
	Epoch     uint64
	Districts int // 0 to Districts-1, each in exactly one slice

	byID   *immutable.Map[ID, *Slice]
	byLast *immutable.SortedMap[int, *Slice] // by the last district of a slice

	refs int // the map's: queries that began on it
}

// hasher leaves ids as they are: they come in a row, and fill the trie evenly.
type hasher struct{}

// Hash implements immutable.Hasher.
func (hasher) Hash(id ID) uint32 { return uint32(id) }

// Equal implements immutable.Hasher.
func (hasher) Equal(a, b ID) bool { return a == b }

func newVersion(epoch uint64, districts int) *Version {
	return &Version{Epoch: epoch, Districts: districts, byID: immutable.NewMap[ID, *Slice](hasher{}),
		byLast: immutable.NewSortedMap[int, *Slice](nil)}
}

// Slice is a slice by its id; nil if there is none, or no more.
func (v *Version) Slice(id ID) *Slice {
	s, _ := v.byID.Get(id)
	return s
}

// At is the slice that holds a district; nil if the district is out of range.
func (v *Version) At(district int) *Slice {
	if district < 0 || district >= v.Districts {
		return nil
	}
	it := v.byLast.Iterator()
	it.Seek(district)
	_, s, _ := it.Next()
	return s
}

// Len is the number of slices.
func (v *Version) Len() int { return v.byID.Len() }

// All calls f for every slice in order of districts, until it says false.
func (v *Version) All(f func(*Slice) bool) {
	for it := v.byLast.Iterator(); !it.Done(); {
		if _, s, _ := it.Next(); !f(s) {
			return
		}
	}
}

// Leg is districts of a part that one slice holds: what one call asks for.
type Leg struct {
	Slice ID
	Range
}

// Route appends to legs what holds the districts of r at this version: one leg where slice id still holds
// them all, else one for each slice that holds some. It allocates nothing on that first path, where legs has
// room.
func (v *Version) Route(legs []Leg, id ID, r Range) []Leg {
	if s, ok := v.byID.Get(id); ok && s.Holds(r) {
		return append(legs, Leg{id, r})
	}
	it := v.byLast.Iterator()
	for it.Seek(r.Lo); !it.Done(); {
		_, s, _ := it.Next()
		if s.Lo >= r.Hi {
			break
		}
		legs = append(legs, Leg{s.ID, Range{max(s.Lo, r.Lo), min(s.Hi, r.Hi)}})
	}
	return legs
}

// What a map or a change can get wrong. A *Fault wraps one of them and names where.
var (
	ErrEpoch   = errors.New("the epoch goes back or is taken")
	ErrBase    = errors.New("the change is onto another epoch")
	ErrHole    = errors.New("districts that nobody holds")
	ErrOverlap = errors.New("districts that two slices hold")
	ErrHolder  = errors.New("unknown, missing or repeated holder")
	ErrSlice   = errors.New("unknown, reused or retired slice")
	ErrState   = errors.New("not possible in the slice's state")
	ErrRange   = errors.New("range out of bounds")
	ErrTooMany = errors.New("more slices than the bound")
)

// Fault is the first thing that is wrong with a map or a change.
type Fault struct {
	Slice ID // -1 if it is not one slice's
	What  string
	Err   error
}

// Error names the slice and the fault.
func (f *Fault) Error() string {
	if f.Slice < 0 {
		return fmt.Sprintf("%v: %s", f.Err, f.What)
	}
	return fmt.Sprintf("slice %d: %v: %s", f.Slice, f.Err, f.What)
}

// Unwrap gives the kind of fault.
func (f *Fault) Unwrap() error { return f.Err }

func fault(id ID, err error, format string, args ...any) error {
	return &Fault{id, fmt.Sprintf(format, args...), err}
}

// check names what is wrong with a slice by itself. known tells the nodes there are; nil knows all.
func (s *Slice) check(districts int, known func(string) bool) error {
	if s.ID < 0 {
		return fault(s.ID, ErrSlice, "an id below 0")
	}
	if s.Lo < 0 || s.Hi <= s.Lo || s.Hi > districts {
		return fault(s.ID, ErrRange, "%v of %d districts", s.Range, districts)
	}
	if len(s.Holders) == 0 {
		return fault(s.ID, ErrHolder, "none")
	}
	for i, h := range s.Holders {
		if h == "" || slices.Contains(s.Holders[:i], h) || known != nil && !known(h) {
			return fault(s.ID, ErrHolder, "%q", h)
		}
	}
	switch s.State {
	case Serving:
		if s.From != "" || s.To != "" {
			return fault(s.ID, ErrState, "serving, with a move from %q to %q", s.From, s.To)
		}
	case Preparing, HandingOver:
		if !slices.Contains(s.Holders, s.From) || s.To == "" || slices.Contains(s.Holders, s.To) ||
			known != nil && !known(s.To) {
			return fault(s.ID, ErrHolder, "a move from %q to %q", s.From, s.To)
		}
	default:
		return fault(s.ID, ErrState, "%v, in a map", s.State)
	}
	return nil
}

// build makes a version of slices, which it takes over, or names the first fault.
func build(epoch uint64, districts int, list []*Slice, known func(string) bool) (*Version, error) {
	if districts < 1 {
		return nil, fault(-1, ErrRange, "%d districts", districts)
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b *Slice) int { return a.Lo - b.Lo })
	byID, byLast := immutable.NewMapBuilder[ID, *Slice](hasher{}), immutable.NewSortedMapBuilder[int,
		*Slice](nil)
	next := 0
	for _, s := range list {
		if err := s.check(districts, known); err != nil {
			return nil, err
		}
		if _, twice := byID.Get(s.ID); twice {
			return nil, fault(s.ID, ErrSlice, "it stands twice")
		}
		if s.Lo > next {
			return nil, fault(s.ID, ErrHole, "%v before it", Range{next, s.Lo})
		}
		if s.Lo < next {
			return nil, fault(s.ID, ErrOverlap, "%v", Range{s.Lo, min(next, s.Hi)})
		}
		next = s.Hi
		byID.Set(s.ID, s)
		byLast.Set(s.Hi-1, s)
	}
	if next < districts {
		return nil, fault(-1, ErrHole, "%v at the end", Range{next, districts})
	}
	return &Version{Epoch: epoch, Districts: districts, byID: byID.Map(), byLast: byLast.Map()}, nil
}
