package shardmap

// RetiredShard is a shard that was split or merged.
type RetiredShard struct {
	ID ShardID
	Range
}

// lineage records which buckets retired shards had, so that clients may still name those shards. An entry stays valid
// forever, as ids are never reused. At the limit the oldest entry is dropped.
type lineage struct {
	limit     int
	ranges    map[ShardID]Range
	order     []ShardID // keys of ranges, oldest first
	forgotten uint64    // number of entries dropped at the limit
}

func newLineage(limit int) lineage { return lineage{limit: limit, ranges: map[ShardID]Range{}} }

func (l *lineage) len() int { return len(l.ranges) }

// remember adds a retired shard. A shard that is already recorded keeps its place in the order.
func (l *lineage) remember(id ShardID, buckets Range) {
	if _, known := l.ranges[id]; known {
		return
	}
	l.ranges[id] = buckets
	l.order = append(l.order, id)
	for len(l.order) > l.limit {
		delete(l.ranges, l.order[0])
		l.order = l.order[1:]
		l.forgotten++
	}
}

// Retired returns at most limit of the latest retired shards that can still be resolved, in the order of their
// retirement.
func (m *Map) Retired(limit int) []RetiredShard {
	order := m.lineage.order
	first := max(0, len(order)-limit)
	retired := make([]RetiredShard, 0, len(order)-first)
	for _, id := range order[first:] {
		retired = append(retired, RetiredShard{ID: id, Range: m.lineage.ranges[id]})
	}
	return retired
}
