package pageread

import (
	"cmp"
	"slices"

	"ternstage/internal/results/merge"
)

// MaxGroups bounds the groups of an answer.
const MaxGroups = 1000

// combinable finds what can be merged of all shards that are included, and rejects the others: those with another
// schema than most of the weight has, and those with which a sum overflows or there are too many groups. ok is false if
// nothing can be merged.
func (r *Reader) combinable() (*merge.Order, []*merge.Batch, *merge.Groups) {
	type vote struct {
		schema merge.Schema
		weight float64
	}
	var votes []*vote
	in := slices.Clone(r.shards)
	slices.SortFunc(in, func(a, b *shard) int { return cmp.Compare(a.Buckets.Start, b.Buckets.Start) })
	in = slices.DeleteFunc(in, func(s *shard) bool { return s.batch == nil || !r.plan.Included(s.Buckets) })
	for _, s := range in {
		i := slices.IndexFunc(votes, func(v *vote) bool { return v.schema.CheckCompatible(s.batch.Schema) == nil })
		if i < 0 {
			i = len(votes)
			votes = append(votes, &vote{schema: s.batch.Schema})
		}
		votes[i].weight += s.Weight
	}
	if len(votes) == 0 {
		return nil, nil, nil
	}
	best := votes[0]
	for _, v := range votes[1:] {
		if v.weight > best.weight {
			best = v
		}
	}
	var out []*merge.Batch
	var total *merge.Groups
	for _, s := range in {
		if err := best.schema.CheckCompatible(s.batch.Schema); err != nil {
			r.reject(s, err)
			continue
		}
		if s.groups != nil {
			if total == nil {
				total = merge.NewGroups(s.groups.Columns(), MaxGroups)
			}
			if err := total.Combine(s.groups); err != nil {
				r.reject(s, err) // a sum that overflows with it, more groups than the bound: without it there is a figure
				continue
			}
		}
		out = append(out, s.batch)
	}
	order, err := merge.NewOrder(best.schema, r.query.Clause.SortColumns())
	if err != nil {
		return nil, nil, nil
	}
	return order, out, total
}
