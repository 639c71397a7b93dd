package pageread

import (
	"slices"

	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

// Group holds the aggregates of one group, in the order of the clause.
type Group struct {
	Values     []merge.Value // of the columns that rows are grouped by
	Aggregates []Aggregate
}

// Aggregate is one aggregate over the present rows, with its bound over all rows.
type Aggregate struct {
	Name  string
	Value merge.Value
	Bound completeness.Bound
}

// computeAggregates computes the aggregates that the clause requests from the combined groups.
func (r *Reader) computeAggregates(combined *merge.Groups, report *completeness.Report) ([]Group, error) {
	clause := r.query.Clause
	columns := AggregateColumns(clause)
	canBound := len(report.Missing) == 0 || canBoundBySummaries(clause, columns)
	sorted := combined.Sorted()
	if len(sorted) == 0 && len(clause.Group) == 0 { // without grouping there is one group, even without rows
		group, err := combined.GetOrCreate(nil)
		if err != nil {
			return nil, err
		}
		sorted = append(sorted, group)
	}
	groups := make([]Group, 0, len(sorted))
	for _, group := range sorted {
		computed := Group{Values: group.Values}
		for i := range clause.Aggregate {
			requested := &clause.Aggregate[i]
			partial := group.Partials[slices.Index(columns, requested.Column)]
			value, bound, err := computeAggregate(requested, partial, report)
			if err != nil {
				return nil, err
			}
			if !canBound {
				bound = completeness.Bound{}
			}
			computed.Aggregates = append(computed.Aggregates, Aggregate{Name: requested.Name, Value: value, Bound: bound})
		}
		groups = append(groups, computed)
	}
	return groups, nil
}

// canBoundBySummaries reports whether summaries can bound the aggregates of a clause. A summary covers all rows of a
// shard and one column, so the clause must have no filter, no grouping and at most one aggregated column.
func canBoundBySummaries(clause *merge.Clause, columns []string) bool {
	namedColumns := 0
	for _, column := range columns {
		if column != "" {
			namedColumns++
		}
	}
	return len(clause.Filter) == 0 && len(clause.Group) == 0 && namedColumns <= 1
}

// computeAggregate computes one aggregate and its bound. Quantiles and distinct counts have no bound while parts are
// missing. Of the aggregates of texts, only the count has a bound.
func computeAggregate(requested *merge.AggregateClause, partial *merge.PartialAggregate, report *completeness.Report) (
	value merge.Value, bound completeness.Bound, err error) {
	sumValue, err := partial.Sum()
	if err != nil {
		return merge.Value{}, completeness.Bound{}, err
	}
	sum := toFloat(sumValue)
	value = sumValue
	switch requested.Function {
	case merge.FunctionCount:
		return merge.IntOf(int64(partial.Count)), report.CountBound(partial.Count), nil
	case merge.FunctionSum:
		bound = report.SumBound(sum)
	case merge.FunctionMin:
		value = partial.Min
		bound = report.MinBound(toFloat(partial.Min), partial.Count > 0)
	case merge.FunctionMax:
		value = partial.Max
		bound = report.MaxBound(toFloat(partial.Max), partial.Count > 0)
	case merge.FunctionMean:
		value, err = partial.Mean()
		bound = report.MeanBound(sum, partial.Count)
	case merge.FunctionQuantile:
		value, err = partial.Quantile(*requested.Quantile)
	case merge.FunctionDistinct:
		value = merge.IntOf(int64(partial.Distinct()))
	}
	if value.Kind == merge.Text {
		bound = completeness.Bound{}
	}
	return value, bound, err
}

// toFloat returns a value as a float; 0 for null and texts.
func toFloat(value merge.Value) float64 {
	if value.Kind == merge.Int {
		return float64(value.Int)
	}
	return value.Float
}
