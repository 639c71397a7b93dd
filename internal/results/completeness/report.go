package completeness

import (
	"cmp"
	"slices"

	"ternstage/internal/decision/shardmap"
)

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
	Weight    float64 // of weight that is in
	Complete  bool
	Present   []Part
	Missing   []Part
	parts     []Part
	summaries map[shardmap.Range]*Summary
}

// weightTolerance is by how much sums of weights may fall short, as the platform's rules allow.
const weightTolerance = 1e-4

// New makes the report of a query's parts. An answer is complete if no part is missing and the weight that is present
// is completeFrom or more.
func New(parts []Part, summaries []*Summary, need float64) *Report {
	s := &Report{parts: parts, summaries: map[shardmap.Range]*Summary{}}
	for _, x := range summaries {
		if old := s.summaries[x.Buckets]; old == nil || old.Version < x.Version {
			s.summaries[x.Buckets] = x
		}
	}
	for _, p := range parts {
		if p.Present {
			s.Weight += p.Weight
			s.Present = append(s.Present, p)
		} else {
			s.Missing = append(s.Missing, p)
		}
	}
	order := func(a, b Part) int { return cmp.Compare(a.Buckets.Start, b.Buckets.Start) }
	slices.SortFunc(s.Present, order)
	slices.SortFunc(s.Missing, order)
	s.Complete = len(parts) > 0 && s.Weight >= need-weightTolerance && len(s.Missing) == 0
	return s
}

// MeetsFloor reports whether an answer may be given: the weight that is present reaches the floor of the class and the
// minimum that the client asks for.
func (s *Report) MeetsFloor(floor, least float64) bool {
	return len(s.Present) > 0 && s.Weight >= max(floor, least)-weightTolerance
}
