package slicemap

import (
	"slices"

	"github.com/benbjohnson/immutable"
)

func knownOf(nodes []string) func(string) bool {
	if len(nodes) == 0 {
		return nil
	}
	set := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		set[n] = true
	}
	return func(n string) bool { return set[n] }
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
