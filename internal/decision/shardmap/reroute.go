package shardmap

// RerouteDecision is what may be done with a segment that has not been answered and of which no attempt is in flight.
type RerouteDecision uint8

// The decisions of Map.Reroute.
const (
	KeepShard       RerouteDecision = iota // its shard still holds it and may be asked again
	ReplaceSegments                        // its buckets belong to other shards, which may be asked instead
	NeverRetry                             // it may have run and must not run twice: nothing of it may be sent again
)

// Reroute decides whether a segment may be asked for again, and of which shards of the version in use. mayHaveRun is
// true unless every attempt so far is proved never to have run. With ReplaceSegments the segments that take its place
// are appended to dst; otherwise dst is returned as it is.
func (m *Map) Reroute(dst []Segment, segment Segment, nonIdempotent, mayHaveRun bool) ([]Segment, RerouteDecision) {
	if nonIdempotent && mayHaveRun {
		return dst, NeverRetry
	}
	if shard := m.shards[segment.Shard]; shard != nil && shard.Contains(segment.Range) {
		return dst, KeepShard
	}
	return m.current.Route(dst, segment.Shard, segment.Range), ReplaceSegments
}
