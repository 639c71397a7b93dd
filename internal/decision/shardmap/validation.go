package shardmap

import (
	"slices"

	"github.com/benbjohnson/immutable"
)

// backendSet is the set of backends that may hold shards; nil allows any.
type backendSet map[string]bool

// newBackendSet returns the set of ids; if there are none, it allows any backend.
func newBackendSet(ids []string) backendSet {
	if len(ids) == 0 {
		return nil
	}
	set := make(backendSet, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

func (b backendSet) allows(id string) bool { return b == nil || b[id] }

// validate returns the first error of a shard, regardless of the other shards.
func (s *Shard) validate(buckets int, allowed backendSet) error {
	if s.ID < 0 {
		return invalid(s.ID, ErrShard, "id below 0")
	}
	if s.Start < 0 || s.End <= s.Start || s.End > buckets {
		return invalid(s.ID, ErrRange, "%v of %d buckets", s.Range, buckets)
	}
	if len(s.Replicas) == 0 {
		return invalid(s.ID, ErrReplica, "no replicas")
	}
	for i, replica := range s.Replicas {
		if replica == "" || slices.Contains(s.Replicas[:i], replica) || !allowed.allows(replica) {
			return invalid(s.ID, ErrReplica, "%q", replica)
		}
	}
	return s.validateMove(allowed)
}

// validateMove checks that State, From and To agree.
func (s *Shard) validateMove(allowed backendSet) error {
	switch s.State {
	case Serving:
		if s.From != "" || s.To != "" {
			return invalid(s.ID, ErrState, "serving, with a move from %q to %q", s.From, s.To)
		}
	case Preparing, HandingOver:
		fromIsReplica := slices.Contains(s.Replicas, s.From)
		toIsNew := s.To != "" && !slices.Contains(s.Replicas, s.To) && allowed.allows(s.To)
		if !fromIsReplica || !toIsNew {
			return invalid(s.ID, ErrReplica, "move from %q to %q", s.From, s.To)
		}
	default:
		return invalid(s.ID, ErrState, "a %v shard in a map", s.State)
	}
	return nil
}

// buildVersion returns a version with shards, of which it takes ownership. It fails with a *ValidationError unless
// every bucket is in exactly one valid shard and no id is repeated.
func buildVersion(epoch uint64, buckets int, shards []*Shard, allowed backendSet) (*Version, error) {
	if buckets < 1 {
		return nil, invalid(noShard, ErrRange, "%d buckets", buckets)
	}
	sorted := slices.Clone(shards)
	slices.SortFunc(sorted, func(a, b *Shard) int { return a.Start - b.Start })
	byID := immutable.NewMapBuilder[ShardID, *Shard](idHasher{})
	byLastBucket := immutable.NewSortedMapBuilder[int, *Shard](nil)
	nextBucket := 0
	for _, shard := range sorted {
		if err := shard.validate(buckets, allowed); err != nil {
			return nil, err
		}
		if _, repeated := byID.Get(shard.ID); repeated {
			return nil, invalid(shard.ID, ErrShard, "repeated id")
		}
		if shard.Start > nextBucket {
			return nil, invalid(shard.ID, ErrGap, "%v before it", Range{nextBucket, shard.Start})
		}
		if shard.Start < nextBucket {
			return nil, invalid(shard.ID, ErrOverlap, "%v", Range{shard.Start, min(nextBucket, shard.End)})
		}
		nextBucket = shard.End
		byID.Set(shard.ID, shard)
		byLastBucket.Set(shard.End-1, shard)
	}
	if nextBucket < buckets {
		return nil, invalid(noShard, ErrGap, "%v at the end", Range{nextBucket, buckets})
	}
	return &Version{Epoch: epoch, Buckets: buckets, byID: byID.Map(), byLastBucket: byLastBucket.Map()}, nil
}
