package shardmap

// RetiredShard is a shard that was split or merged.
type RetiredShard struct {
	ID ShardID
	Range
}

// lineage remembers which buckets retired shards had, so that clients may still name them. Ids are never reused, so
// an entry never becomes wrong. At the limit the oldest entry is dropped.
type lineage struct {
	limit     int
	ranges    map[ShardID]Range
	order     []ShardID // keys of ranges, oldest first
	forgotten uint64    // entries dropped at the limit
}

func newLineage(limit int) lineage { return lineage{limit: limit, ranges: map[ShardID]Range{}} }

func (l *lineage) len() int { return len(l.ranges) }

// remember adds a retired shard; one that is already recorded keeps its place.
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

// Retired are the last limit retired shards that can still be resolved, the latest last.
func (m *Map) Retired(limit int) []RetiredShard {
	order := m.lineage.order
	first := max(0, len(order)-limit)
	retired := make([]RetiredShard, 0, len(order)-first)
	for _, id := range order[first:] {
		retired = append(retired, RetiredShard{ID: id, Range: m.lineage.ranges[id]})
	}
	return retired
}
