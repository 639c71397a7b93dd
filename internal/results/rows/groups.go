package rows

import (
	"encoding/json"
	"errors"

	"ternstage/internal/results/merge"
)

// decodeSummaryAndGroups decodes the summary and the groups of an answer. The batch must have been decoded.
func (a *Answer) decodeSummaryAndGroups(summary *wireSummary, groups []wireGroup, request *Request) error {
	var err error
	a.Summary, err = summary.decode(&a.Batch, request)
	if err != nil {
		return err
	}
	if len(request.AggregateColumns) == 0 {
		if len(groups) > 0 {
			return malformed("groups that were not requested")
		}
		return nil
	}
	a.Groups, err = decodeGroups(groups, a.Batch.Schema, request)
	return err
}

// decodeGroups decodes the groups of an answer.
func decodeGroups(groups []wireGroup, schema merge.Schema, request *Request) (*merge.Groups, error) {
	aggregated, err := findColumns(schema, request.AggregateColumns, true)
	if err != nil {
		return nil, err
	}
	grouping, err := findColumns(schema, request.GroupColumns, false)
	if err != nil {
		return nil, err
	}
	decoded := merge.NewGroups(aggregated, request.MaxGroups)
	for i := range groups {
		group := &groups[i]
		if len(group.Values) != len(grouping) || len(group.Partials) != len(aggregated) || i >= request.MaxGroups {
			return nil, malformed("groups[%d]: %d values and %d aggregates, not %d and %d, or more than %d groups", i,
				len(group.Values), len(group.Partials), len(grouping), len(aggregated), request.MaxGroups)
		}
		values, partials, err := group.decode(i, grouping, aggregated)
		if err != nil {
			return nil, err
		}
		if err := decoded.Insert(values, partials); err != nil {
			return nil, malformed("groups[%d]: %v", i, err)
		}
	}
	return decoded, nil
}

// decode decodes the group at an index. The group must have one value for each grouping column and one aggregate for
// each aggregated column.
func (w *wireGroup) decode(index int, grouping, aggregated []merge.Column) (
	[]merge.Value, []*merge.PartialAggregate, error) {
	values := make([]merge.Value, len(grouping))
	for i, raw := range w.Values {
		value, err := decodeValue(raw, grouping[i].Kind)
		if err != nil {
			return nil, nil, malformed("groups[%d].by[%d]: %v", index, i, err)
		}
		values[i] = value
	}
	partials := make([]*merge.PartialAggregate, len(aggregated))
	for i := range w.Partials {
		partial, err := w.Partials[i].decode(aggregated[i])
		if err != nil {
			return nil, nil, malformed("groups[%d].of[%d]: %v", index, i, err)
		}
		partials[i] = partial
	}
	return values, partials, nil
}

// findColumns returns the columns of a schema with the given names. If allowRowCount is true, the name "" stands for
// an integer column without a name, which counts rows.
func findColumns(schema merge.Schema, names []string, allowRowCount bool) ([]merge.Column, error) {
	columns := make([]merge.Column, len(names))
	for i, name := range names {
		index := schema.Index(name)
		switch {
		case index >= 0:
			columns[i] = schema[index]
		case name == "" && allowRowCount:
			columns[i] = merge.Column{Kind: merge.Int}
		default:
			return nil, malformed("no column %q", name)
		}
	}
	return columns, nil
}

// decode decodes the aggregates of a column.
func (w *wirePartial) decode(column merge.Column) (*merge.PartialAggregate, error) {
	hasStatistics := w.Count > 0 && column.Name != ""
	var sum, minimum, maximum merge.Value
	for _, statistic := range []struct {
		raw     json.RawMessage
		decoded *merge.Value
		absent  bool
	}{
		{w.Sum, &sum, column.Kind == merge.Text}, // texts have no sum; one that is sent is ignored
		{w.Min, &minimum, false},
		{w.Max, &maximum, false},
	} {
		if statistic.absent {
			continue
		}
		var err error
		*statistic.decoded, err = decodeStatistic(statistic.raw, column.Kind, hasStatistics)
		if err != nil {
			return nil, err
		}
	}
	return merge.RestorePartialAggregate(column, w.Count, sum, minimum, maximum, w.Quantiles, w.Distinct)
}

// decodeStatistic decodes a sum, minimum or maximum. If hasStatistics is false, it must be absent, and the zero value
// of the kind is returned. Otherwise it must be present.
func decodeStatistic(raw json.RawMessage, kind merge.Kind, hasStatistics bool) (merge.Value, error) {
	if !hasStatistics {
		if len(raw) > 0 {
			return merge.Value{}, errors.New("sum, minimum or maximum given for no values")
		}
		return merge.Value{Kind: kind}, nil
	}
	if len(raw) == 0 {
		return merge.Value{}, errors.New("sum, minimum or maximum missing")
	}
	return decodeValue(raw, kind)
}

// encodeGroups is the inverse of decodeGroups. It returns nil for nil groups.
func encodeGroups(groups *merge.Groups) ([]wireGroup, error) {
	if groups == nil {
		return nil, nil
	}
	encoded := []wireGroup{}
	for _, group := range groups.Sorted() {
		wire := wireGroup{Values: encodeValues(group.Values)}
		for _, partial := range group.Partials {
			encodedPartial, err := encodePartial(partial)
			if err != nil {
				return nil, err
			}
			wire.Partials = append(wire.Partials, encodedPartial)
		}
		encoded = append(encoded, wire)
	}
	return encoded, nil
}

// encodePartial is the inverse of wirePartial.decode. A text column has neither a sum nor quantiles.
func encodePartial(partial *merge.PartialAggregate) (wirePartial, error) {
	wire := wirePartial{Count: partial.Count}
	if partial.Count == 0 || partial.Column.Name == "" {
		return wire, nil
	}
	isText := partial.Column.Kind == merge.Text
	if !isText {
		sum, err := partial.Sum()
		if err != nil {
			return wirePartial{}, err
		}
		wire.Sum = encodeValue(sum)
	}
	wire.Min = encodeValue(partial.Min)
	wire.Max = encodeValue(partial.Max)
	quantiles, distinct, err := partial.EncodeSketches()
	if err != nil {
		return wirePartial{}, err
	}
	if !isText {
		wire.Quantiles = quantiles
	}
	wire.Distinct = distinct
	return wire, nil
}
