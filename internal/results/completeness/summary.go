package completeness

import (
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// Summary is what a backend stated earlier about the rows of some buckets at one data version. Min, Max and Sum are of
// the aggregated column, and NaN where the backend stated none.
type Summary struct {
	Buckets    shardmap.Range
	Version    uint64
	ShardEpoch uint64        // epoch of the last change of the shard that held the buckets
	Count      uint64        // of rows
	FirstRank  []merge.Value // the rank columns of the first row; nil if there are no rows
	Min, Max   float64
	Sum        float64
}

// AppliesTo reports whether the summary holds for a missing part: it is of exactly the part's buckets, since the last
// change of their shard, and of the newest data version known. It never does for a part of unknown version.
func (s *Summary) AppliesTo(part Part) bool {
	return s != nil && s.Buckets == part.Buckets && s.ShardEpoch == part.ShardEpoch && part.Version > 0 &&
		s.Version >= part.Version
}

// summaryOf is the summary that applies to a missing part, or nil.
func (r *Report) summaryOf(part Part) *Summary {
	summary := r.summaries[part.Buckets]
	if !summary.AppliesTo(part) {
		return nil
	}
	return summary
}
