package completeness

import (
	"cmp"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// weightTolerance is by how much sums of weights may fall short, as the platform's rules allow.
const weightTolerance = 1e-4

// Part is the part of a query that one shard answers. Its buckets are present or missing together.
type Part struct {
	Buckets    shardmap.Range
	Weight     float64 // share of the query's weight
	Present    bool
	Version    uint64 // of the data that was read; of a missing part the newest known, 0 if none is
	ShardEpoch uint64 // epoch of the last change of the shard that holds the buckets
	Reason     Reason // of a missing part
	Detail     string // of a Malformed one: what is wrong with its answer
}

// Report is how complete an answer is.
type Report struct {
	Weight   float64 // share of the query's weight that is present
	Complete bool
	Present  []Part // in the order of their buckets
	Missing  []Part // in the order of their buckets

	summaries map[shardmap.Range]*Summary // the newest of each range of buckets
}

// New makes the report of a query's parts. An answer is complete if no part is missing and the weight that is present
// is completenessTarget or more.
func New(parts []Part, summaries []*Summary, completenessTarget float64) *Report {
	report := &Report{summaries: map[shardmap.Range]*Summary{}}
	for _, summary := range summaries {
		if newest := report.summaries[summary.Buckets]; newest == nil || newest.Version < summary.Version {
			report.summaries[summary.Buckets] = summary
		}
	}
	for _, part := range parts {
		if part.Present {
			report.Weight += part.Weight
			report.Present = append(report.Present, part)
		} else {
			report.Missing = append(report.Missing, part)
		}
	}
	byBuckets := func(a, b Part) int { return cmp.Compare(a.Buckets.Start, b.Buckets.Start) }
	slices.SortFunc(report.Present, byBuckets)
	slices.SortFunc(report.Missing, byBuckets)
	report.Complete = len(parts) > 0 && report.Weight >= completenessTarget-weightTolerance && len(report.Missing) == 0
	return report
}

// MeetsMinCompleteness reports whether an answer may be given: the weight that is present reaches the floor of the class and the
// minimum that the client asks for.
func (r *Report) MeetsMinCompleteness(ofClass, ofClient float64) bool {
	return len(r.Present) > 0 && r.Weight >= max(ofClass, ofClient)-weightTolerance
}
