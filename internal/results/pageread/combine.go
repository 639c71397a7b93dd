package pageread

import (
	"cmp"
	"slices"

	"ternstage/internal/results/merge"
)

// MaxGroups is the maximum number of groups in an answer.
const MaxGroups = 1000

// mergeInputs holds the answers that can be merged.
type mergeInputs struct {
	order   *merge.Order
	batches []*merge.Batch
	groups  *merge.Groups // combined; nil without aggregates
}

// collectInputs collects the answers of included shards that can be merged. It rejects answers whose schema differs
// from the common one, and answers with which a sum overflows or there are too many groups. It returns ok as false if
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

// includedShards returns the shards whose answers the plan includes, ordered by bucket.
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

// commonSchema returns the schema that shards with the most weight have. Among schemas of equal weight it returns
// that of the first buckets, so the result does not depend on the order in which answers arrive.
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
