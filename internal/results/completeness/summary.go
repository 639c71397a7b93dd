package completeness

import (
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// Summary is what a node stated of districts at one data version, some time ago.
type Summary struct {
	Buckets    shardmap.Range
	Version    uint64
	ShardEpoch uint64        // epoch of the last change of the slice that it was of
	Count      uint64        // of rows
	FirstRank  []merge.Value // the rank columns of its first row; nil if it has no rows
	Min, Max   float64       // of the aggregated column
	Sum        float64
}

// AppliesTo tells whether a summary says anything of a missing part: it is of exactly these districts, as they
// are sliced now, and of the newest data version that is known of. Anything else is worth nothing, and so is
// a part whose version nobody knows.
func (s *Summary) AppliesTo(p Part) bool {
	return s != nil && s.Buckets == p.Buckets && s.ShardEpoch == p.ShardEpoch && p.Version > 0 &&
		s.Version >= p.Version
}

// summaryOf is what holds of a missing part.
func (s *Report) summaryOf(p Part) *Summary {
	if x := s.summaries[p.Buckets]; x.AppliesTo(p) {
		return x
	}
	return nil
}
