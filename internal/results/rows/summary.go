package rows

import (
	"math"

	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

// decode makes the summary of the shard that a batch is from; nil of nil.
func (n *wireSummary) decode(b merge.Batch, since uint64, rank []string) (*completeness.Summary, error) {
	if n == nil {
		return nil, nil
	}
	s := &completeness.Summary{Buckets: b.Buckets, Version: b.Version, ShardEpoch: since, Count: n.Count,
		Min: math.NaN(),
		Max: math.NaN(), Sum: math.NaN()}
	for _, v := range []struct {
		from *float64
		to   *float64
	}{{n.Min, &s.Min}, {n.Max, &s.Max}, {n.Sum, &s.Sum}} {
		if v.from != nil {
			*v.to = *v.from
		}
	}
	if n.Count == 0 && len(n.FirstRank) > 0 || n.Count > 0 && len(n.FirstRank) != len(rank) || s.Min > s.Max {
		return nil, malformed("summary: %d least values of %d rank columns, %d rows, %v to %v", len(n.FirstRank), len(rank),
			n.Count,
			s.Min, s.Max)
	}
	for i, raw := range n.FirstRank {
		at := b.Schema.Index(rank[i])
		if at < 0 {
			return nil, malformed("summary: rank column %q is not there", rank[i])
		}
		v, err := decodeValue(raw, b.Schema[at].Kind)
		if err != nil || v.Kind == merge.Null || v.Kind == merge.Float && math.IsNaN(v.Float) {
			return nil, malformed("summary: least[%d]: %.40s", i, raw)
		}
		s.FirstRank = append(s.FirstRank, v)
	}
	return s, nil
}

func numberOrNil(x float64) *float64 {
	if math.IsNaN(x) {
		return nil
	}
	return &x
}
