package scheduler

import "cmp"

const (
	maxCostHint       = 1e7   // in the hint's unit; a larger hint is ignored
	minPartCost       = 0.3   // cost units: a part hinted cheaper still takes a fixed time
	maxPartCost       = 64.0  // cost units: bounds the rounds that one call can take of a queue's drain
	hintGain          = 0.002 // weight of the newest hint in the mean hint
	unknownPartWorkMs = 100.0 // ms of work of a part while nothing has been measured

	// neighborCostShare is the share of the other parts' cost in a call that is added to a part's own when its
	// latency is judged.
	neighborCostShare = 0.3
	// expensiveCallRatio is the overhead of a call, in parts' work, from which parts had better share calls.
	expensiveCallRatio = 0.5
	// floorDistrustRatio is the ratio of the baseline floor to the mean hint above which hints are taken to be too low.
	floorDistrustRatio = 3
)

// costModel turns cost hints into costs. The unit of cost is the mean hint of this broker's own traffic, so that
// the thresholds of the queues mean the same in every deployment.
type costModel struct {
	meanHint  float64 // in the hints' unit; 0 before the first hint
	hintCount float64 // number of hints seen
}

// costOf takes the hint of a part into the mean and returns the part's cost.
func (c *costModel) costOf(part *Part) float64 {
	isUsable := part.HasCostHint && part.CostHint > 0 && part.CostHint < maxCostHint
	if !isUsable {
		return 1
	}
	c.hintCount++
	c.meanHint += (part.CostHint - c.meanHint) * max(hintGain, 1/c.hintCount)
	return min(max(part.CostHint/c.meanHint, minPartCost), maxPartCost)
}

// meanPartWorkMs is the time that a part of cost 1 is expected to take, in ms: by the mean hint or, should hints be
// too low, by measured latencies.
func (s *Scheduler) meanPartWorkMs() float64 {
	return cmp.Or(max(s.costs.meanHint, s.latency.baseline), unknownPartWorkMs)
}

// warmupWorkMs is the time that a part of a cost is expected to take for the allowance of warming replicas, in ms.
// Latencies include queueing there, so hints are believed unless even the baseline floor is far above them.
func (s *Scheduler) warmupWorkMs(cost float64) float64 {
	perUnit := s.costs.meanHint
	if s.latency.baselineFloor > floorDistrustRatio*s.costs.meanHint {
		perUnit = s.latency.baselineFloor
	}
	return cmp.Or(perUnit, unknownPartWorkMs) * max(cost, 1)
}

// callsAreExpensive reports whether the overhead of a call is large beside its parts.
func (s *Scheduler) callsAreExpensive() bool {
	partWork := cmp.Or(s.costs.meanHint, s.meanPartWorkMs())
	return s.settings.CallOverhead > expensiveCallRatio*partWork
}

// callCost is the cost against which the latency of an attempt is measured: the part's own, some of what shares its
// call, and the call's overhead.
func (s *Scheduler) latencyCost(a *attempt) float64 {
	cost := a.part.cost + neighborCostShare*(a.call.cost-a.part.cost)
	if s.costs.meanHint > 0 {
		cost += s.settings.CallOverhead / s.costs.meanHint
	}
	return max(cost, minPartCost)
}

// expectedLatencyMs is the normal latency of an attempt's call at its replica, in ms.
func (s *Scheduler) expectedLatencyMs(a *attempt) float64 {
	return cmp.Or(s.latency.baseline, s.meanPartWorkMs()) * s.latencyCost(a)
}
