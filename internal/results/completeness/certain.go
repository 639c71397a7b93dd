package completeness

import "ternstage/internal/results/merge"

// CertainRanks reports for each position of an answer, given in order, whether its rank is certain. A rank is certain
// if no missing part can hold a row before it. If one rank is uncertain, all after it are, too.
func (r *Report) CertainRanks(order *merge.Order, positions []merge.Position) []bool {
	certain := make([]bool, len(positions))
	first, known := r.firstMissingPosition(order)
	if !known {
		return certain
	}
	for i, position := range positions {
		if first != nil && order.Compare(position, *first) >= 0 {
			break
		}
		certain[i] = true
	}
	return certain
}

// firstMissingPosition returns the first position that a row of a missing part can have, or nil if the missing parts
// have no rows. It returns known as false if a missing part has no applicable summary.
func (r *Report) firstMissingPosition(order *merge.Order) (first *merge.Position, known bool) {
	for _, part := range r.Missing {
		summary := r.summaryOf(part)
		if summary == nil {
			return nil, false
		}
		if summary.Count == 0 {
			continue
		}
		// Bucket and key of the first row are not known, so assume the first bucket and the lowest key.
		lowest := merge.Position{Rank: summary.FirstRank, Bucket: part.Buckets.Start}
		if first == nil || order.Compare(lowest, *first) < 0 {
			first = &lowest
		}
	}
	return first, true
}
