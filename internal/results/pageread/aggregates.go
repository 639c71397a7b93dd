package pageread

import (
	"slices"

	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

// Group is the aggregates of one group, in the order of the clause.
type Group struct {
	Values     []merge.Value // of the columns by which rows are grouped
	Aggregates []Aggregate
}

// Aggregate is one aggregate over the rows that are present, and its bound over all rows.
type Aggregate struct {
	Name  string
	Value merge.Value
	Bound completeness.Bound
}

// aggregates computes what the clause asks for of combined groups.
func (r *Reader) aggregates(total *merge.Groups, st *completeness.Report) ([]Group, error) {
	c, of := r.query.Clause, AggregateColumns(r.query.Clause)
	columns := 0
	for _, name := range of {
		if name != "" {
			columns++
		}
	}
	bounded := len(st.Missing) == 0 || len(c.Filter) == 0 && len(c.Group) == 0 && columns <= 1
	list := total.Sorted()
	if len(list) == 0 && len(c.Group) == 0 { // of no rows at all there is one group of nothing
		g, err := total.GetOrCreate(nil)
		if err != nil {
			return nil, err
		}
		list = append(list, g)
	}
	out := make([]Group, 0, len(list))
	for _, g := range list {
		x := Group{Values: g.Values}
		for _, f := range c.Aggregate {
			p := g.Partials[slices.Index(of, f.Column)]
			v, b, err := compute(f, p, st)
			if err != nil {
				return nil, err
			}
			if !bounded {
				b = completeness.Bound{}
			}
			x.Aggregates = append(x.Aggregates, Aggregate{f.Name, v, b})
		}
		out = append(out, x)
	}
	return out, nil
}

// compute computes one aggregate and its bound. While parts are missing, quantiles and distinct counts have no bound;
// neither have aggregates of texts but the count.
func compute(f merge.AggregateClause, p *merge.PartialAggregate, st *completeness.Report) (
	v merge.Value, b completeness.Bound, err error) {
	sum := 0.0
	if v, err = p.Sum(); err != nil {
		return v, b, err
	}
	if sum = v.Float; v.Kind == merge.Int {
		sum = float64(v.Int)
	}
	number := func(x merge.Value) float64 {
		if x.Kind == merge.Int {
			return float64(x.Int)
		}
		return x.Float
	}
	switch f.Function {
	case "count":
		return merge.IntOf(int64(p.Count)), st.CountBound(p.Count), nil
	case "sum":
		b = st.SumBound(sum)
	case "min":
		v, b = p.Min, st.MinBound(number(p.Min), p.Count > 0)
	case "max":
		v, b = p.Max, st.MaxBound(number(p.Max), p.Count > 0)
	case "mean":
		v, err = p.Mean()
		b = st.MeanBound(sum, p.Count)
	case "quantile":
		v, err = p.Quantile(*f.Quantile)
	case "distinct":
		v = merge.IntOf(int64(p.Distinct()))
	}
	if v.Kind == merge.Text {
		b = completeness.Bound{}
	}
	return v, b, err
}
