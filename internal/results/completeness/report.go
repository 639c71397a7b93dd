package completeness

import (
	"cmp"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Part is districts of a query that are in or missing together, with their share of its weight as it began.
type Part struct {
	Buckets    shardmap.Range
	Weight     float64
	Present    bool
	Version    uint64 // of the data that was read; of a missing part the newest that is known of, 0 for none
	ShardEpoch uint64 // epoch of the last change of the slice that holds them
	Reason     Reason // of a missing part
	Detail     string // of a spoilt one
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

// weightTolerance is what sums of weights may fall short by, as the platform's rules allow.
const weightTolerance = 1e-4

// New makes the statement of a query's parts. need is the share that makes a whole answer.
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

// MeetsFloor tells whether an answer may be given: its share is the class's floor or more, and what the client
// asked for if that is stricter.
func (s *Report) MeetsFloor(floor, least float64) bool {
	return len(s.Present) > 0 && s.Weight >= max(floor, least)-weightTolerance
}
