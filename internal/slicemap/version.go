package slicemap

import "github.com/benbjohnson/immutable"

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

// ShardAt is the slice that holds a district; nil if the district is out of range.
func (v *Version) ShardAt(district int) *Shard {
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
