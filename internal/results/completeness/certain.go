package completeness

import "ternstage/internal/results/merge"

// CertainRanks reports for each of an answer's positions, which are in order, whether its rank is certain: no missing
// part can hold a row before it. After a rank that is not certain no rank is.
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

// firstMissingPosition is the first position that a row of a missing part can have, nil if the missing parts have no rows. It
// is unknown if a missing part has no summary.
func (r *Report) firstMissingPosition(order *merge.Order) (first *merge.Position, known bool) {
	for _, part := range r.Missing {
		summary := r.summaryOf(part)
		if summary == nil {
			return nil, false
		}
		if summary.Count == 0 {
			continue
		}
		// The first row's bucket and key are not known: it may be of the first bucket and have any key.
		lowest := merge.Position{Rank: summary.FirstRank, Bucket: part.Buckets.Start}
		if first == nil || order.Compare(lowest, *first) < 0 {
			first = &lowest
		}
	}
	return first, true
}
