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

// ShardID is a slice's id, 0 and above. It is the shard number of queries and of the decision module.
type ShardID = int

// Range is the districts from Lo up to, but not with, Hi.
type Range struct {
	Start int `json:"lo"`
	End   int `json:"hi"`
}

// Contains tells whether all districts of o are in r.
func (r Range) Contains(o Range) bool { return r.Start <= o.Start && o.End <= r.End }

// Overlaps tells whether a district is in both.
func (r Range) Overlaps(o Range) bool { return r.Start < o.End && o.Start < r.End }

// Size is how many districts there are in it.
func (r Range) Size() int { return r.End - r.Start }

// String shows it as in messages: lo-hi, hi not included.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.Start, r.End) }

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

// Shard is one slice at one epoch. It is never changed once it is part of a version.
type Shard struct {
	ID ShardID
	Range
	Replicas []string // node ids, in order; while a move goes on From is among them and To is not
	State    State
	From, To string    // of a move that goes on
	Since    uint64    // epoch of its last change
	Parents  []ShardID // what it was split from or merged of

	group int
}

// Executors are the nodes that may be sent its parts at its epoch: its holders, with To in From's place once
// the handover has begun. Exactly one of the two is among them.
func (s *Shard) Executors() []string {
	if s.State != HandingOver {
		return s.Replicas
	}
	out := slices.Clone(s.Replicas)
	out[slices.Index(out, s.From)] = s.To
	return out
}

// Executes tells whether a node may execute parts of the slice at this epoch.
func (s *Shard) Executes(node string) bool {
	if s.State == HandingOver && (node == s.From || node == s.To) {
		return node == s.To
	}
	return slices.Contains(s.Replicas, node)
}

// Version is the map at one epoch. It never changes.
type Version struct {
	Epoch   uint64
	Buckets int // 0 to Districts-1, each in exactly one slice

	byID   *immutable.Map[ShardID, *Shard]
	byLast *immutable.SortedMap[int, *Shard] // by the last district of a slice

	refs int // the map's: queries that began on it
}

// hasher leaves ids as they are: they come in a row, and fill the trie evenly.
type hasher struct{}

// Hash implements immutable.Hasher.
func (hasher) Hash(id ShardID) uint32 { return uint32(id) }

// Equal implements immutable.Hasher.
func (hasher) Equal(a, b ShardID) bool { return a == b }

func newVersion(epoch uint64, districts int) *Version {
	return &Version{Epoch: epoch, Buckets: districts, byID: immutable.NewMap[ShardID, *Shard](hasher{}),
		byLast: immutable.NewSortedMap[int, *Shard](nil)}
}

// Shard is a slice by its id; nil if there is none, or no more.
func (v *Version) Shard(id ShardID) *Shard {
	s, _ := v.byID.Get(id)
	return s
}

// At is the slice that holds a district; nil if the district is out of range.
func (v *Version) At(district int) *Shard {
	if district < 0 || district >= v.Buckets {
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
func (v *Version) All(f func(*Shard) bool) {
	for it := v.byLast.Iterator(); !it.Done(); {
		if _, s, _ := it.Next(); !f(s) {
			return
		}
	}
}

// Segment is districts of a part that one slice holds: what one call asks for.
type Segment struct {
	Shard ShardID
	Range
}

// Route appends to legs what holds the districts of r at this version: one leg where slice id still holds
// them all, else one for each slice that holds some. It allocates nothing on that first path, where legs has
// room.
func (v *Version) Route(legs []Segment, id ShardID, r Range) []Segment {
	if s, ok := v.byID.Get(id); ok && s.Contains(r) {
		return append(legs, Segment{id, r})
	}
	it := v.byLast.Iterator()
	for it.Seek(r.Start); !it.Done(); {
		_, s, _ := it.Next()
		if s.Start >= r.End {
			break
		}
		legs = append(legs, Segment{s.ID, Range{max(s.Start, r.Start), min(s.End, r.End)}})
	}
	return legs
}

// What a map or a change can get wrong. A *Fault wraps one of them and names where.
var (
	ErrEpoch   = errors.New("the epoch goes back or is taken")
	ErrBase    = errors.New("the change is onto another epoch")
	ErrGap     = errors.New("districts that nobody holds")
	ErrOverlap = errors.New("districts that two slices hold")
	ErrReplica = errors.New("unknown, missing or repeated holder")
	ErrShard   = errors.New("unknown, reused or retired slice")
	ErrState   = errors.New("not possible in the slice's state")
	ErrRange   = errors.New("range out of bounds")
	ErrTooMany = errors.New("more slices than the bound")
)

// ValidationError is the first thing that is wrong with a map or a change.
type ValidationError struct {
	Shard ShardID // -1 if it is not one slice's
	What  string
	Err   error
}

// Error names the slice and the fault.
func (f *ValidationError) Error() string {
	if f.Shard < 0 {
		return fmt.Sprintf("%v: %s", f.Err, f.What)
	}
	return fmt.Sprintf("slice %d: %v: %s", f.Shard, f.Err, f.What)
}

// Unwrap gives the kind of fault.
func (f *ValidationError) Unwrap() error { return f.Err }

func fault(id ShardID, err error, format string, args ...any) error {
	return &ValidationError{id, fmt.Sprintf(format, args...), err}
}

// check names what is wrong with a slice by itself. known tells the nodes there are; nil knows all.
func (s *Shard) check(districts int, known func(string) bool) error {
	if s.ID < 0 {
		return fault(s.ID, ErrShard, "an id below 0")
	}
	if s.Start < 0 || s.End <= s.Start || s.End > districts {
		return fault(s.ID, ErrRange, "%v of %d districts", s.Range, districts)
	}
	if len(s.Replicas) == 0 {
		return fault(s.ID, ErrReplica, "none")
	}
	for i, h := range s.Replicas {
		if h == "" || slices.Contains(s.Replicas[:i], h) || known != nil && !known(h) {
			return fault(s.ID, ErrReplica, "%q", h)
		}
	}
	switch s.State {
	case Serving:
		if s.From != "" || s.To != "" {
			return fault(s.ID, ErrState, "serving, with a move from %q to %q", s.From, s.To)
		}
	case Preparing, HandingOver:
		if !slices.Contains(s.Replicas, s.From) || s.To == "" || slices.Contains(s.Replicas, s.To) ||
			known != nil && !known(s.To) {
			return fault(s.ID, ErrReplica, "a move from %q to %q", s.From, s.To)
		}
	default:
		return fault(s.ID, ErrState, "%v, in a map", s.State)
	}
	return nil
}

// build makes a version of slices, which it takes over, or names the first fault.
func build(epoch uint64, districts int, list []*Shard, known func(string) bool) (*Version, error) {
	if districts < 1 {
		return nil, fault(-1, ErrRange, "%d districts", districts)
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b *Shard) int { return a.Start - b.Start })
	byID, byLast := immutable.NewMapBuilder[ShardID, *Shard](hasher{}), immutable.NewSortedMapBuilder[int,
		*Shard](nil)
	next := 0
	for _, s := range list {
		if err := s.check(districts, known); err != nil {
			return nil, err
		}
		if _, twice := byID.Get(s.ID); twice {
			return nil, fault(s.ID, ErrShard, "it stands twice")
		}
		if s.Start > next {
			return nil, fault(s.ID, ErrGap, "%v before it", Range{next, s.Start})
		}
		if s.Start < next {
			return nil, fault(s.ID, ErrOverlap, "%v", Range{s.Start, min(next, s.End)})
		}
		next = s.End
		byID.Set(s.ID, s)
		byLast.Set(s.End-1, s)
	}
	if next < districts {
		return nil, fault(-1, ErrGap, "%v at the end", Range{next, districts})
	}
	return &Version{Epoch: epoch, Buckets: districts, byID: byID.Map(), byLast: byLast.Map()}, nil
}
