// Package completeness says how complete an answer is: which districts are in and which are missing and why,
// which ranks are certain, and between what an aggregate lies. It has no I/O and no clock, and claims nothing
// that it cannot know.
package completeness

import (
	"cmp"
	"math"
	"slices"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// Reason tells why districts are missing.
type Reason uint8

// The reasons.
const (
	Rejected     Reason = iota // turned away, or never sent
	TimedOut                   // no answer in time
	Failed                     // the node failed, or its connection
	NotHolder                  // no node held them
	Malformed                  // what came cannot be combined
	StaleVersion               // only an older data version than the page before
)

var reasonNames = [...]string{"refused", "timed-out", "failed", "moved", "spoilt", "older-version"}

// String names the reason as answers do.
func (w Reason) String() string { return reasonNames[w] }

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

// summaryOf is what holds of a missing part.
func (s *Report) summaryOf(p Part) *Summary {
	if x := s.summaries[p.Buckets]; x.AppliesTo(p) {
		return x
	}
	return nil
}

// CertainRanks tells of each place, in order, whether its rank is certain: no missing part could hold a row that
// comes before it. Once one is not, none after it is.
func (s *Report) CertainRanks(o *merge.Order, places []merge.Position) []bool {
	out := make([]bool, len(places))
	// The first place that a missing row could take bounds them all.
	var first *merge.Position
	for _, p := range s.Missing {
		x := s.summaryOf(p)
		if x == nil {
			return out // it might hold anything
		}
		if x.Count == 0 {
			continue
		}
		// The key of its first row is not known: any key of its first district may be.
		least := merge.Position{Rank: x.FirstRank, Bucket: p.Buckets.Start}
		if first == nil || o.Compare(least, *first) < 0 {
			first = &least
		}
	}
	for i, at := range places {
		if out[i] = first == nil || o.Compare(at, *first) < 0; !out[i] {
			break
		}
	}
	return out
}

// Bound is between what a figure lies; unknown if nothing can be said.
type Bound struct {
	Known     bool
	Low, High float64
}

// Exact tells that the figure is what was counted.
func (b Bound) Exact() bool { return b.Known && b.Low == b.High }

// CountBound is between what the count of all rows lies, of which so many are in.
func (s *Report) CountBound(in uint64) Bound {
	b := Bound{true, float64(in), float64(in)}
	for _, p := range s.Missing {
		x := s.summaryOf(p)
		if x == nil {
			return Bound{}
		}
		b.Low, b.High = b.Low+float64(x.Count), b.High+float64(x.Count)
	}
	return b
}

// SumBound is between what the sum lies. Where a summary's sum is no number its count, least and most bound it.
func (s *Report) SumBound(in float64) Bound {
	b := Bound{true, in, in}
	for _, p := range s.Missing {
		x := s.summaryOf(p)
		switch {
		case x == nil:
			return Bound{}
		case x.Count == 0:
		case !math.IsNaN(x.Sum):
			b.Low, b.High = b.Low+x.Sum, b.High+x.Sum
		default:
			b.Low, b.High = b.Low+float64(x.Count)*x.Min, b.High+float64(x.Count)*x.Max
		}
	}
	if math.IsNaN(b.Low) || math.IsNaN(b.High) {
		return Bound{}
	}
	return b
}

// MinBound is between what the least value lies, of which the least that is in is given; any tells whether one is
// in.
func (s *Report) MinBound(in float64, any bool) Bound {
	return s.extremeBound(in, any, func(x *Summary) float64 { return x.Min }, less)
}

// MaxBound is the same for the greatest.
func (s *Report) MaxBound(in float64, any bool) Bound {
	return s.extremeBound(in, any, func(x *Summary) float64 { return x.Max }, more)
}

func less(a, b float64) bool { return a < b }
func more(a, b float64) bool { return a > b }

func (s *Report) extremeBound(in float64, any bool, of func(*Summary) float64,
	better func(a, b float64) bool) Bound {
	for _, p := range s.Missing {
		x := s.summaryOf(p)
		if x == nil || x.Count > 0 && math.IsNaN(of(x)) {
			return Bound{}
		}
		if x.Count > 0 && (!any || better(of(x), in)) {
			in, any = of(x), true
		}
	}
	return Bound{any, in, in}
}

// MeanBound is between what the mean lies.
func (s *Report) MeanBound(sum float64, count uint64) Bound {
	n, t := s.CountBound(count), s.SumBound(sum)
	if !n.Known || !t.Known || n.Low == 0 {
		return Bound{}
	}
	return Bound{true, t.Low / n.Low, t.High / n.Low}
}
