package slicemap

// RerouteDecision says what may become of a leg that is not in.
type RerouteDecision uint8

// The verdicts.
const (
	KeepShard       RerouteDecision = iota // its slice still holds it: whoever holds the slice now may be tried
	ReplaceSegments                        // its districts are other slices' now
	NeverRetry                             // it may have run and must not run twice: nothing of it goes out again
)

// Reroute decides on a leg of which nothing is out: whether a further try is allowed, and against which slices
// of the map in use. once tells that it must not run twice, mayHaveRun that an attempt is not proved never to
// have. legs is what takes its place under Replace, appended to dst.
func (m *Map) Reroute(dst []Segment, l Segment, once, mayHaveRun bool) (legs []Segment, v RerouteDecision) {
	if once && mayHaveRun {
		return dst, NeverRetry
	}
	if s := m.now[l.Shard]; s != nil && s.Contains(l.Range) {
		return dst, KeepShard
	}
	return m.cur.Route(dst, l.Shard, l.Range), ReplaceSegments
}
