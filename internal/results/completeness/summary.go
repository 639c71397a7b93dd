package completeness

import (
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// Summary describes the rows of some buckets at one data version, as a backend stated them earlier. Min, Max and Sum
// are over the aggregated column, and NaN if the backend sent none.
type Summary struct {
	Buckets    shardmap.Range
	Version    uint64
	ShardEpoch uint64        // epoch of the last change of the shard that held the buckets
	Count      uint64        // number of rows
	FirstRank  []merge.Value // values of the rank columns of the first row; nil if there are no rows
	Min, Max   float64
	Sum        float64
}

// AppliesTo reports whether the summary is valid for a missing part. It must cover exactly the buckets of the part,
// their shard must not have changed since, and no newer data version may be known. No summary applies to a part of
// unknown version.
func (s *Summary) AppliesTo(part Part) bool {
	return s != nil && s.Buckets == part.Buckets && s.ShardEpoch == part.ShardEpoch && part.Version > 0 &&
		s.Version >= part.Version
}

// summaryOf returns the summary that applies to a missing part, or nil.
func (r *Report) summaryOf(part Part) *Summary {
	summary := r.summaries[part.Buckets]
	if !summary.AppliesTo(part) {
		return nil
	}
	return summary
}
