package shardmap

// Segment is the buckets of a part that one shard holds; one call asks for one segment.
type Segment struct {
	Shard ShardID
	Range
}

// Resolve is the range of buckets that an id names, whatever the epoch of the client that names it. The id of a
// retired shard is translated by its lineage. An id that is unknown or forgotten is an error that matches ErrStale.
func (m *Map) Resolve(id ShardID) (Range, error) {
	if shard := m.shards[id]; shard != nil {
		return shard.Range, nil
	}
	if buckets, ok := m.lineage.ranges[id]; ok {
		return buckets, nil
	}
	return Range{}, &unresolvedError{shard: id, epoch: m.current.Epoch}
}

// Route is Version.Route for the version in use, and faster.
func (m *Map) Route(segments []Segment, id ShardID, buckets Range) []Segment {
	if shard := m.shards[id]; shard != nil && shard.Contains(buckets) {
		return append(segments, Segment{Shard: id, Range: buckets})
	}
	return m.current.Route(segments, id, buckets)
}

// Route appends the segments that make up a range of buckets at this version: a single one if shard id has the whole
// range, else one for each shard that has some of it, in the order of the buckets. The first case allocates nothing
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
