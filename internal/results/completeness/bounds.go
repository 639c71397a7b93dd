package completeness

import "math"

// Bound is the range in which an aggregate over all rows lies. The zero value is unknown.
type Bound struct {
	Known     bool
	Low, High float64 // both included
}

// IsExact reports whether the aggregate is known without error.
func (b Bound) IsExact() bool { return b.Known && b.Low == b.High }

// CountBound bounds the count of all rows, of which present ones are counted.
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

// SumBound bounds the sum over all rows, given that over the present ones. Where a summary has no sum, its count,
// minimum and maximum bound it.
func (r *Report) SumBound(present float64) Bound {
	bound := Bound{Known: true, Low: present, High: present}
	for _, part := range r.Missing {
		summary := r.summaryOf(part)
		switch {
		case summary == nil:
			return Bound{}
		case summary.Count == 0:
			// No rows change no sum.
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

// MinBound is the minimum over all rows, given that over the present ones if there are any; else present counts for
// nothing.
func (r *Report) MinBound(present float64, anyPresent bool) Bound {
	return r.boundExtreme(present, anyPresent,
		func(summary *Summary) float64 { return summary.Min },
		func(a, b float64) bool { return a < b })
}

// MaxBound is the maximum over all rows, like MinBound.
func (r *Report) MaxBound(present float64, anyPresent bool) Bound {
	return r.boundExtreme(present, anyPresent,
		func(summary *Summary) float64 { return summary.Max },
		func(a, b float64) bool { return a > b })
}

// boundExtreme is the most extreme of a value and those of the summaries of missing parts, where moreExtreme compares
// two values.
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

// MeanBound bounds the mean over all rows, given the sum and count over the present ones.
func (r *Report) MeanBound(presentSum float64, presentCount uint64) Bound {
	count := r.CountBound(presentCount)
	sum := r.SumBound(presentSum)
	if !count.Known || !sum.Known || count.Low == 0 {
		return Bound{}
	}
	return Bound{Known: true, Low: sum.Low / count.Low, High: sum.High / count.High}
}
