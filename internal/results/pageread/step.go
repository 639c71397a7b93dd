package pageread

import (
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
)

// Step is what to do next.
type Step struct {
	Requests  []Request
	Abandoned []shardmap.Range // shards that are no longer waited for
	Result    *Result          // the page, once it is final
	Hopeless  bool             // there can be no answer
	WakeAt    float64          // ms; without requests, result or Hopeless: step again at this time at the latest
}

// Step decides what follows from what has been recorded.
func (r *Reader) Step(now float64) Step {
	v := r.plan.Decide(now)
	for _, d := range v.Abandoned {
		if s := r.find(d); s != nil {
			s.batch, s.reason = nil, completeness.TimedOut
		}
	}
	if v.Hopeless {
		return Step{Hopeless: true, Abandoned: v.Abandoned}
	}
	if !v.Done {
		return Step{WakeAt: v.WakeAt}
	}
	order, batches, total := r.combinable()
	if in := r.presentWeight(); in < r.query.Plan.Floor-1e-4 || order == nil {
		return Step{Hopeless: true, Abandoned: v.Abandoned}
	}
	page := order.Merge(batches, r.query.Plan.Limit)
	if asks := r.plan.RequestMore(now, page.NeedMore); len(asks) > 0 {
		return Step{Requests: r.requests(asks), Abandoned: v.Abandoned}
	}
	out := r.result(order, page)
	if total != nil {
		var err error
		if out.Groups, err = r.aggregates(total, out.Report); err != nil {
			return Step{Hopeless: true, Abandoned: v.Abandoned} // no figure can be given: never a wrong one in silence
		}
	}
	return Step{Result: out, Abandoned: v.Abandoned}
}

// presentWeight is the weight of the shards that are not missing.
func (r *Reader) presentWeight() (in float64) {
	for _, s := range r.shards {
		if s.batch != nil {
			in += s.Weight
		}
	}
	return in
}
