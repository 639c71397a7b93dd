package shardmap

// RerouteDecision says what to do with a segment that is not answered and has no attempt in flight.
type RerouteDecision uint8

// The decisions of Map.Reroute.
const (
	KeepShard       RerouteDecision = iota // the shard still holds the segment and may be asked again
	ReplaceSegments                        // the buckets now belong to other shards, which may be asked instead
	NeverRetry                             // the segment may have run and must not run twice: no bucket is retried
)

// Reroute decides whether a segment may be sent again, and to which shards of the map in use. mayHaveRun is false
// only if none of the attempts so far can have run. With the decision ReplaceSegments, Reroute appends the segments
// that replace this one to dst; otherwise it returns dst unchanged.
func (m *Map) Reroute(dst []Segment, segment Segment, nonIdempotent, mayHaveRun bool) ([]Segment, RerouteDecision) {
	if nonIdempotent && mayHaveRun {
		return dst, NeverRetry
	}
	if shard := m.shards[segment.Shard]; shard != nil && shard.Contains(segment.Range) {
		return dst, KeepShard
	}
	return m.current.Route(dst, segment.Shard, segment.Range), ReplaceSegments
}
