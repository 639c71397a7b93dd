package rows

import (
	"math"

	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

// decode decodes the summary that came with a batch. It returns nil if there is none.
func (w *wireSummary) decode(batch *merge.Batch, request *Request) (*completeness.Summary, error) {
	if w == nil {
		return nil, nil
	}
	rank := request.RankColumns
	summary := &completeness.Summary{
		Buckets:    batch.Buckets,
		Version:    batch.Version,
		ShardEpoch: request.ShardEpoch,
		Count:      w.Count,
		Min:        numberOrNaN(w.Min),
		Max:        numberOrNaN(w.Max),
		Sum:        numberOrNaN(w.Sum),
	}
	surplus := w.Count == 0 && len(w.FirstRank) > 0
	incomplete := w.Count > 0 && len(w.FirstRank) != len(rank)
	if surplus || incomplete || summary.Min > summary.Max {
		return nil, malformed("summary: %d least values for %d rank columns and %d rows, minimum %v, maximum %v",
			len(w.FirstRank), len(rank), w.Count, summary.Min, summary.Max)
	}
	for i, raw := range w.FirstRank {
		column := batch.Schema.Index(rank[i])
		if column < 0 {
			return nil, malformed("summary: rank column %q is not in the schema", rank[i])
		}
		value, err := decodeValue(raw, batch.Schema[column].Kind)
		if err != nil || value.Kind == merge.Null || value.Kind == merge.Float && math.IsNaN(value.Float) {
			return nil, malformed("summary: least[%d]: %.40s is not a value of kind %v", i, raw, batch.Schema[column].Kind)
		}
		summary.FirstRank = append(summary.FirstRank, value)
	}
	return summary, nil
}

// encodeSummary is the inverse of decode. It returns nil for a nil summary.
func encodeSummary(summary *completeness.Summary) *wireSummary {
	if summary == nil {
		return nil
	}
	return &wireSummary{
		Count:     summary.Count,
		FirstRank: encodeValues(summary.FirstRank),
		Min:       numberOrNil(summary.Min),
		Max:       numberOrNil(summary.Max),
		Sum:       numberOrNil(summary.Sum),
	}
}

func numberOrNaN(number *float64) float64 {
	if number == nil {
		return math.NaN()
	}
	return *number
}

func numberOrNil(number float64) *float64 {
	if math.IsNaN(number) {
		return nil
	}
	return &number
}
