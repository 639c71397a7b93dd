package completeness

import (
	"cmp"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// weightTolerance is how far a sum of weights may fall short of a limit, as the platform's rules allow.
const weightTolerance = 1e-4

// Part is the part of a query that one shard answers. Its buckets are either all present or all missing.
type Part struct {
	Buckets    shardmap.Range
	Weight     float64 // share of the query's weight
	Present    bool
	Version    uint64 // data version that was read; for a missing part the newest known one, or 0
	ShardEpoch uint64 // epoch of the last change of the shard that holds the buckets
	Reason     Reason // for a missing part
	Detail     string // for Malformed: the fault in the answer
}

// Report describes how complete an answer is.
type Report struct {
	Weight   float64 // share of the query's weight that is present
	Complete bool
	Present  []Part // ordered by bucket
	Missing  []Part // ordered by bucket

	summaries map[shardmap.Range]*Summary // the newest for each range of buckets
}

// New creates the report of a query from its parts. An answer is complete if no part is missing and the present
// weight reaches completenessTarget.
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

// MeetsMinCompleteness reports whether an answer may be given. The present weight must reach the minimum completeness
// of the class and that of the client, and at least one part must be present.
func (r *Report) MeetsMinCompleteness(ofClass, ofClient float64) bool {
	return len(r.Present) > 0 && r.Weight >= max(ofClass, ofClient)-weightTolerance
}
