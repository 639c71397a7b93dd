package pageread

import (
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
)

// weightTolerance is by how much sums of weights may fall short, as the platform's rules allow.
const weightTolerance = 1e-4

// Step is what to do next.
type Step struct {
	Requests     []Request
	Abandoned    []shardmap.Range // shards that are no longer waited for
	Result       *Result          // the page, once it is final
	CannotAnswer bool             // there can be no answer
	WakeAtMs     float64          // ms; without requests, result or CannotAnswer: step again at this time at the latest
}

// Step decides what follows from what has been recorded.
func (r *Reader) Step(nowMs float64) Step {
	decision := r.plan.Decide(nowMs)
	for _, buckets := range decision.Abandoned {
		if shard := r.findShard(buckets); shard != nil {
			shard.batch = nil
			shard.reason = completeness.TimedOut
		}
	}
	cannotAnswer := Step{CannotAnswer: true, Abandoned: decision.Abandoned}
	if decision.CannotAnswer {
		return cannotAnswer
	}
	if !decision.Done {
		return Step{WakeAtMs: decision.WakeAtMs}
	}
	inputs, ok := r.collectInputs()
	if !ok || r.presentWeight() < r.query.Plan.MinCompleteness-weightTolerance {
		return cannotAnswer
	}
	page := inputs.order.Merge(inputs.batches, r.query.Plan.Limit)
	if requests := r.plan.RequestMore(nowMs, page.NeedMore); len(requests) > 0 {
		return Step{Requests: r.toRequests(requests), Abandoned: decision.Abandoned}
	}
	result := r.buildResult(inputs.order, page)
	if inputs.groups != nil {
		groups, err := r.computeAggregates(inputs.groups, result.Report)
		if err != nil {
			return cannotAnswer // no answer rather than one without the aggregates that were asked for
		}
		result.Groups = groups
	}
	return Step{Result: result, Abandoned: decision.Abandoned}
}

// presentWeight is the weight of the shards that are not missing.
func (r *Reader) presentWeight() float64 {
	weight := 0.0
	for _, shard := range r.shards {
		if shard.batch != nil {
			weight += shard.Weight
		}
	}
	return weight
}
