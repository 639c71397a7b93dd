package pageread

import (
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
)

// weightTolerance is how far a sum of weights may fall short of a limit, as the platform's rules allow.
const weightTolerance = 1e-4

// Step tells the caller what to do next.
type Step struct {
	Requests     []Request
	Abandoned    []shardmap.Range // shards whose answers are no longer wanted
	Result       *Result          // the page; nil until it is final
	CannotAnswer bool             // reject the query: no answer is possible
	WakeAtMs     float64          // without Requests, Result or CannotAnswer: call Step again by this time
}

// Step decides what to do next from the answers and failures recorded so far.
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
			return cannotAnswer // an answer must have all requested aggregates
		}
		result.Groups = groups
	}
	return Step{Result: result, Abandoned: decision.Abandoned}
}

// presentWeight returns the weight of the shards that are not missing.
func (r *Reader) presentWeight() float64 {
	weight := 0.0
	for _, shard := range r.shards {
		if shard.batch != nil {
			weight += shard.Weight
		}
	}
	return weight
}
