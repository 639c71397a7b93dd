package completeness

import "math"

// Bound is the range in which an aggregate over all rows lies. The zero value is unknown.
type Bound struct {
	Known     bool
	Low, High float64 // both included
}

// Exact reports whether the aggregate is known without error.
func (b Bound) Exact() bool { return b.Known && b.Low == b.High }

// CountBound bounds the count of all rows, of which present ones are counted.
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

// SumBound bounds the sum over all rows, given that over the present ones. Where a summary has no sum, its count,
// minimum and maximum bound it.
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

// MinBound is the minimum over all rows, given that over the present ones if there are any; else present counts for
// nothing.
func (s *Report) MinBound(in float64, any bool) Bound {
	return s.extremeBound(in, any, func(x *Summary) float64 { return x.Min }, less)
}

// MaxBound is the maximum over all rows, like MinBound.
func (s *Report) MaxBound(in float64, any bool) Bound {
	return s.extremeBound(in, any, func(x *Summary) float64 { return x.Max }, more)
}

func less(a, b float64) bool { return a < b }

func more(a, b float64) bool { return a > b }

// extremeBound is the most extreme of a value and those of the summaries of missing parts, where moreExtreme compares
// two values.
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

// MeanBound bounds the mean over all rows, given the sum and count over the present ones.
func (s *Report) MeanBound(sum float64, count uint64) Bound {
	n, t := s.CountBound(count), s.SumBound(sum)
	if !n.Known || !t.Known || n.Low == 0 {
		return Bound{}
	}
	return Bound{true, t.Low / n.Low, t.High / n.Low}
}
