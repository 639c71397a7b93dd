package completeness

import "math"

// Bound is the range of an aggregate over all rows, present and missing. The zero value means that no range is known.
type Bound struct {
	Known     bool
	Low, High float64 // inclusive
}

// IsExact reports whether the bound is a single value.
func (b Bound) IsExact() bool { return b.Known && b.Low == b.High }

// CountBound bounds the count of all rows, given the count of the present ones.
func (r *Report) CountBound(present uint64) Bound {
	bound := Bound{Known: true, Low: float64(present), High: float64(present)}
	for _, part := range r.Missing {
		summary := r.summaryOf(part)
		if summary == nil {
			return Bound{}
		}
		bound.Low += float64(summary.Count)
		bound.High += float64(summary.Count)
	}
	return bound
}

// SumBound bounds the sum over all rows, given the sum over the present ones. For a summary without a sum it uses the
// count, minimum and maximum.
func (r *Report) SumBound(present float64) Bound {
	bound := Bound{Known: true, Low: present, High: present}
	for _, part := range r.Missing {
		summary := r.summaryOf(part)
		switch {
		case summary == nil:
			return Bound{}
		case summary.Count == 0:
			// Without rows the sum stays the same.
		case !math.IsNaN(summary.Sum):
			bound.Low += summary.Sum
			bound.High += summary.Sum
		default:
			bound.Low += float64(summary.Count) * summary.Min
			bound.High += float64(summary.Count) * summary.Max
		}
	}
	if math.IsNaN(bound.Low) || math.IsNaN(bound.High) {
		return Bound{}
	}
	return bound
}

// MinBound returns the minimum over all rows, given the minimum over the present ones. If anyPresent is false, it
// ignores present.
func (r *Report) MinBound(present float64, anyPresent bool) Bound {
	return r.boundExtreme(present, anyPresent,
		func(summary *Summary) float64 { return summary.Min },
		func(a, b float64) bool { return a < b })
}

// MaxBound returns the maximum over all rows. Its parameters are like those of MinBound.
func (r *Report) MaxBound(present float64, anyPresent bool) Bound {
	return r.boundExtreme(present, anyPresent,
		func(summary *Summary) float64 { return summary.Max },
		func(a, b float64) bool { return a > b })
}

// boundExtreme returns the most extreme of a value, if that is known, and the values in the summaries of missing
// parts. moreExtreme reports whether a is more extreme than b.
func (r *Report) boundExtreme(extreme float64, known bool, valueOf func(*Summary) float64,
	moreExtreme func(a, b float64) bool) Bound {
	for _, part := range r.Missing {
		summary := r.summaryOf(part)
		if summary == nil {
			return Bound{}
		}
		if summary.Count == 0 {
			continue
		}
		value := valueOf(summary)
		if math.IsNaN(value) {
			return Bound{}
		}
		if !known || moreExtreme(value, extreme) {
			extreme = value
			known = true
		}
	}
	return Bound{Known: known, Low: extreme, High: extreme}
}

// MeanBound bounds the mean over all rows, given the sum and the count over the present ones.
func (r *Report) MeanBound(presentSum float64, presentCount uint64) Bound {
	count := r.CountBound(presentCount)
	sum := r.SumBound(presentSum)
	if !count.Known || !sum.Known || count.Low == 0 {
		return Bound{}
	}
	return Bound{Known: true, Low: sum.Low / count.Low, High: sum.High / count.High}
}
