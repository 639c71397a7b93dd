package pageread

import (
	"cmp"
	"slices"

	"ternstage/internal/results/merge"
)

// MaxGroups bounds the groups of an answer.
const MaxGroups = 1000

// mergeInputs is what can be merged.
type mergeInputs struct {
	order   *merge.Order
	batches []*merge.Batch
	groups  *merge.Groups // combined; nil without aggregates
}

// collectInputs finds what can be merged of all shards that are included, and rejects the others: those with another
// schema than most of the weight has, and those with which a sum overflows or there are too many groups. ok is false if
// nothing can be merged.
func (r *Reader) collectInputs() (inputs mergeInputs, ok bool) {
	included := r.includedShards()
	if len(included) == 0 {
		return mergeInputs{}, false
	}
	schema := commonSchema(included)
	for _, shard := range included {
		if err := schema.CheckCompatible(shard.batch.Schema); err != nil {
			r.reject(shard, err)
			continue
		}
		if shard.groups != nil {
			if inputs.groups == nil {
				inputs.groups = merge.NewGroups(shard.groups.Columns(), MaxGroups)
			}
			if err := inputs.groups.Combine(shard.groups); err != nil {
				r.reject(shard, err)
				continue
			}
		}
		inputs.batches = append(inputs.batches, shard.batch)
	}
	order, err := merge.NewOrder(schema, r.query.Clause.SortColumns())
	if err != nil {
		return mergeInputs{}, false
	}
	inputs.order = order
	return inputs, true
}

// includedShards are the shards whose answers the plan includes, in the order of their buckets.
func (r *Reader) includedShards() []*shard {
	included := slices.Clone(r.shards)
	sortByBuckets(included)
	return slices.DeleteFunc(included, func(s *shard) bool {
		return s.batch == nil || !r.plan.IsIncluded(s.Buckets)
	})
}

func sortByBuckets(shards []*shard) {
	slices.SortFunc(shards, func(a, b *shard) int { return cmp.Compare(a.Buckets.Start, b.Buckets.Start) })
}

// commonSchema is the schema that most weight of some shards has; of equals that of the first buckets. The order in
// which answers arrive does not matter.
func commonSchema(shards []*shard) merge.Schema {
	type candidate struct {
		schema merge.Schema
		weight float64
	}
	var candidates []*candidate
	for _, shard := range shards {
		i := slices.IndexFunc(candidates, func(c *candidate) bool {
			return c.schema.CheckCompatible(shard.batch.Schema) == nil
		})
		if i < 0 {
			i = len(candidates)
			candidates = append(candidates, &candidate{schema: shard.batch.Schema})
		}
		candidates[i].weight += shard.Weight
	}
	common := candidates[0]
	for _, candidate := range candidates[1:] {
		if candidate.weight > common.weight {
			common = candidate
		}
	}
	return common.schema
}
