package completeness

import "ternstage/internal/results/merge"

// CertainRanks reports for each of an answer's positions, which are in order, whether its rank is certain: no missing
// part can hold a row before it. After a rank that is not certain no rank is.
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
