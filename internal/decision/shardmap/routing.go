package shardmap

// Segment is the buckets of a part that one shard holds. One call to a backend asks for one segment.
type Segment struct {
	Shard ShardID
	Range
}

// Resolve returns the range of buckets that an id names, at whatever epoch the client learned the id. Retired shards
// are looked up in the lineage. The error for an id that is unknown or no longer recorded matches ErrStale.
func (m *Map) Resolve(id ShardID) (Range, error) {
	if shard := m.shards[id]; shard != nil {
		return shard.Range, nil
	}
	if buckets, ok := m.lineage.ranges[id]; ok {
		return buckets, nil
	}
	return Range{}, &unresolvedError{shard: id, epoch: m.current.Epoch}
}

// Route returns the same as Version.Route of the version in use, with a faster lookup of id.
func (m *Map) Route(segments []Segment, id ShardID, buckets Range) []Segment {
	if shard := m.shards[id]; shard != nil && shard.Contains(buckets) {
		return append(segments, Segment{Shard: id, Range: buckets})
	}
	return m.current.Route(segments, id, buckets)
}

// Route appends the segments that cover a range of buckets at this version: a single one if shard id has the whole
// range, otherwise one for each shard that has some of the buckets, in their order. The first case does not allocate
// if segments has spare capacity.
func (v *Version) Route(segments []Segment, id ShardID, buckets Range) []Segment {
	if shard, ok := v.byID.Get(id); ok && shard.Contains(buckets) {
		return append(segments, Segment{Shard: id, Range: buckets})
	}
	iterator := v.byLastBucket.Iterator()
	iterator.Seek(buckets.Start)
	for !iterator.Done() {
		_, shard, _ := iterator.Next()
		if shard.Start >= buckets.End {
			break
		}
		overlap := Range{Start: max(shard.Start, buckets.Start), End: min(shard.End, buckets.End)}
		segments = append(segments, Segment{Shard: shard.ID, Range: overlap})
	}
	return segments
}
