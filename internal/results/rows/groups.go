package rows

import (
	"encoding/json"
	"fmt"
	"slices"

	"ternstage/internal/results/merge"
)

// decodeRest decodes what an answer has beside its batch, which must have been decoded.
func (a *Answer) decodeRest(n *wireSummary, groups []wireGroup, w Request) (err error) {
	if a.Summary, err = n.decode(a.Batch, w.ShardEpoch, w.RankColumns); err != nil {
		return err
	}
	if len(w.AggregateColumns) == 0 {
		if len(groups) > 0 {
			return malformed("groups, and none were asked for")
		}
		return nil
	}
	columns, by := make([]merge.Column, len(w.AggregateColumns)), make([]merge.Column, len(w.GroupColumns))
	for i, name := range append(slices.Clone(w.AggregateColumns), w.GroupColumns...) {
		c := merge.Column{Kind: merge.Int}
		if at := a.Batch.Schema.Index(name); at >= 0 {
			c = a.Batch.Schema[at]
		} else if name != "" || i >= len(w.AggregateColumns) {
			return malformed("column %q is not there", name)
		}
		if i < len(w.AggregateColumns) {
			columns[i] = c
		} else {
			by[i-len(w.AggregateColumns)] = c
		}
	}
	a.Groups = merge.NewGroups(columns, w.MaxGroups)
	for i, g := range groups {
		if len(g.Values) != len(by) || len(g.Partials) != len(columns) || i >= w.MaxGroups {
			return malformed("groups[%d]: %d values and %d aggregates, of at most %d groups", i, len(g.Values), len(g.Partials),
				w.MaxGroups)
		}
		values := make([]merge.Value, len(by))
		for j, raw := range g.Values {
			if values[j], err = decodeValue(raw, by[j].Kind); err != nil {
				return malformed("groups[%d].by[%d]: %v", i, j, err)
			}
		}
		partials := make([]*merge.PartialAggregate, len(columns))
		for j, p := range g.Partials {
			if partials[j], err = p.decode(columns[j]); err != nil {
				return malformed("groups[%d].of[%d]: %v", i, j, err)
			}
		}
		if err := a.Groups.Insert(values, partials); err != nil {
			return malformed("groups[%d]: %v", i, err)
		}
	}
	return nil
}

// decode makes the aggregates of a column.
func (p *wirePartial) decode(c merge.Column) (*merge.PartialAggregate, error) {
	var v [3]merge.Value
	for i, raw := range []json.RawMessage{p.Sum, p.Min, p.Max} {
		kind := c.Kind
		if i == 0 && kind == merge.Text {
			continue // a text has no sum
		}
		if p.Count == 0 || c.Name == "" {
			if v[i] = (merge.Value{Kind: kind}); len(raw) > 0 {
				return nil, fmt.Errorf("sum, min or max of nothing")
			}
			continue
		}
		var err error
		if len(raw) == 0 {
			return nil, fmt.Errorf("sum, min or max missing")
		}
		if v[i], err = decodeValue(raw, kind); err != nil {
			return nil, err
		}
	}
	return merge.RestorePartialAggregate(c, p.Count, v[0], v[1], v[2], p.Quantiles, p.Distinct)
}

// encodeGroups is the inverse of decodeGroups; nil of nil.
func encodeGroups(g *merge.Groups) ([]wireGroup, error) {
	if g == nil {
		return nil, nil
	}
	out := []wireGroup{}
	for _, x := range g.Sorted() {
		f := wireGroup{}
		for _, v := range x.Values {
			f.Values = append(f.Values, encodeValue(v))
		}
		for _, p := range x.Partials {
			q := wirePartial{Count: p.Count}
			if p.Count > 0 && p.Column.Name != "" {
				if p.Column.Kind != merge.Text {
					sum, err := p.Sum()
					if err != nil {
						return nil, err
					}
					q.Sum = encodeValue(sum)
				}
				q.Min, q.Max = encodeValue(p.Min), encodeValue(p.Max)
				var err error
				if q.Quantiles, q.Distinct, err = p.Sketches(); err != nil {
					return nil, err
				}
				if p.Column.Kind == merge.Text {
					q.Quantiles = nil
				}
			}
			f.Partials = append(f.Partials, q)
		}
		out = append(out, f)
	}
	return out, nil
}
