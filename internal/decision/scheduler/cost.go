package scheduler

import "cmp"

const (
	maxCostHint       = 1e7   // in the hint's unit; a larger hint is ignored
	minPartCost       = 0.3   // cost units; a part with a lower hint still takes a fixed time
	maxPartCost       = 64.0  // cost units; bounds the rounds of deficit round robin before a call is released
	hintGain          = 0.002 // weight of the newest hint in the mean hint
	unknownPartWorkMs = 100.0 // ms of work of a part before anything has been measured

	// neighborCostShare is the fraction of the cost of the other parts of a call that is added to a part's own cost
	// when its latency is normalized.
	neighborCostShare = 0.3
	// expensiveCallRatio is the overhead of a call, relative to the work of a mean part, above which parts should
	// share calls.
	expensiveCallRatio = 0.5
	// floorDistrustRatio is the ratio of the baseline floor to the mean hint above which hints count as too low.
	floorDistrustRatio = 3
)

// costModel converts cost hints into costs. The unit of cost is the mean hint of this broker's own traffic, so that
// the thresholds of the queues do not depend on the unit of the hints.
type costModel struct {
	meanHint  float64 // in the hints' unit; 0 before the first hint
	hintCount float64 // number of usable hints so far
}

// costOf returns the cost of a part and updates the mean hint. A part without a usable hint has cost 1.
func (c *costModel) costOf(part *Part) float64 {
	isUsable := part.HasCostHint && part.CostHint > 0 && part.CostHint < maxCostHint
	if !isUsable {
		return 1
	}
	c.hintCount++
	c.meanHint += (part.CostHint - c.meanHint) * max(hintGain, 1/c.hintCount)
	return min(max(part.CostHint/c.meanHint, minPartCost), maxPartCost)
}

// meanPartWorkMs returns the expected work of a part of cost 1, in ms: the mean hint or, should hints be too low, the
// measured baseline latency.
func (s *Scheduler) meanPartWorkMs() float64 {
	return cmp.Or(max(s.costs.meanHint, s.latency.baseline), unknownPartWorkMs)
}

// warmupWorkMs returns the expected work of a part, in ms, that counts toward the slow-start allowance of a warming
// replica. Latencies include queueing, so the hints are used unless even the baseline floor is far above them.
func (s *Scheduler) warmupWorkMs(cost float64) float64 {
	perUnit := s.costs.meanHint
	if s.latency.baselineFloor > floorDistrustRatio*s.costs.meanHint {
		perUnit = s.latency.baselineFloor
	}
	return cmp.Or(perUnit, unknownPartWorkMs) * max(cost, 1)
}

// callsAreExpensive reports whether the overhead of a call is large compared with the work of a part.
func (s *Scheduler) callsAreExpensive() bool {
	partWork := cmp.Or(s.costs.meanHint, s.meanPartWorkMs())
	return s.settings.CallOverhead > expensiveCallRatio*partWork
}

// latencyCost returns the cost by which the latency of an attempt is divided: the cost of its part, a fraction of the
// cost of the other parts of its call, and the overhead of the call.
func (s *Scheduler) latencyCost(a *attempt) float64 {
	cost := a.part.cost + neighborCostShare*(a.call.cost-a.part.cost)
	if s.costs.meanHint > 0 {
		cost += s.settings.CallOverhead / s.costs.meanHint
	}
	return max(cost, minPartCost)
}

// expectedLatencyMs returns the baseline latency of an attempt, in ms.
func (s *Scheduler) expectedLatencyMs(a *attempt) float64 {
	return cmp.Or(s.latency.baseline, s.meanPartWorkMs()) * s.latencyCost(a)
}
