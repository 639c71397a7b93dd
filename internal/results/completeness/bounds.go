package completeness

import "math"

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
