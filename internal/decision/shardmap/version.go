package shardmap

import "github.com/benbjohnson/immutable"

// Version is the shard map at one epoch. It is immutable and may be read by any goroutine. Consecutive versions share
// their tries, except for the changed paths.
//
// Every bucket from 0 to Buckets-1 is in exactly one shard.
type Version struct {
	Epoch   uint64 // 0 before the first snapshot
	Buckets int    // number of buckets, which never changes after the first snapshot

	byID         *immutable.Map[ShardID, *Shard]
	byLastBucket *immutable.SortedMap[int, *Shard]

	// activeQueries counts the queries that were started on this version and have not ended. It is negative once the
	// version has been dropped. It belongs to the Map and is the only field that changes.
	activeQueries int
}

// idHasher uses an id as its own hash: ids are dense, so they fill the trie evenly.
type idHasher struct{}

// Hash implements immutable.Hasher.
func (idHasher) Hash(id ShardID) uint32 { return uint32(id) }

// Equal implements immutable.Hasher.
func (idHasher) Equal(a, b ShardID) bool { return a == b }

func newEmptyVersion() *Version {
	return &Version{
		byID:         immutable.NewMap[ShardID, *Shard](idHasher{}),
		byLastBucket: immutable.NewSortedMap[int, *Shard](nil),
	}
}

// Shard returns the shard with an id, or nil if this version has none.
func (v *Version) Shard(id ShardID) *Shard {
	shard, _ := v.byID.Get(id)
	return shard
}

// ShardAt returns the shard that has a bucket, or nil if the bucket is out of range.
func (v *Version) ShardAt(bucket int) *Shard {
	if bucket < 0 || bucket >= v.Buckets {
		return nil
	}
	iterator := v.byLastBucket.Iterator()
	iterator.Seek(bucket)
	_, shard, _ := iterator.Next()
	return shard
}

// Len returns the number of shards.
func (v *Version) Len() int { return v.byID.Len() }

// All is an iterator over the shards in the order of their buckets.
func (v *Version) All(yield func(*Shard) bool) {
	iterator := v.byLastBucket.Iterator()
	for !iterator.Done() {
		_, shard, _ := iterator.Next()
		if !yield(shard) {
			return
		}
	}
}
