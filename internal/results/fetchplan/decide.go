package fetchplan

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

const (
	// weightTolerance is by how much sums of weights may fall short, as the platform's rules allow.
	weightTolerance = 1e-4

	// lateLatencyMultiple times the median latency of the answers so far is when a shard is late.
	lateLatencyMultiple = 3.0

	// minLateThresholdMs is the least latency at which a shard is late, in ms.
	minLateThresholdMs = 5.0

	// minWakeDelayMs is the least time until the plan wants to decide again, in ms, while a shard is in flight.
	minWakeDelayMs = 1.0
)

// Decision is what to do next.
type Decision struct {
	Done         bool             // merge what is included: nothing is waited for
	CannotAnswer bool             // the floor cannot be reached: reject the query
	Abandoned    []shardmap.Range // shards that are no longer waited for
	WakeAtMs     float64          // ms; unless Done, decide again at this time at the latest
}

// Decide decides whether to wait for the shards in flight.
//
// Below the floor every shard is waited for until the deadline. From the floor on, waiting ends when all shards in
// flight are late, or when the time is up: as long as one is waited for, the others cost nothing.
func (p *Plan) Decide(nowMs float64) Decision {
	present, possible := p.sumWeights()
	if possible < p.options.MinCompleteness-weightTolerance {
		return Decision{Done: true, CannotAnswer: true}
	}
	meetsMinimum := present >= p.options.MinCompleteness-weightTolerance && present > 0
	pending := p.partsInFlight()
	if len(pending) == 0 {
		return Decision{Done: true, CannotAnswer: !meetsMinimum}
	}
	sendByMs := p.sendBy(meetsMinimum, present)
	switch {
	case nowMs >= sendByMs && !meetsMinimum:
		return Decision{Done: true, CannotAnswer: true}
	case nowMs >= sendByMs:
		return Decision{Done: true, Abandoned: abandonParts(pending)}
	case !meetsMinimum:
		return Decision{WakeAtMs: sendByMs}
	}
	wakeAtMs, wait := p.shouldWait(nowMs, sendByMs, pending)
	if wait {
		return Decision{WakeAtMs: wakeAtMs}
	}
	return Decision{Done: true, Abandoned: abandonParts(pending)}
}

// sendBy is the time at which the answer must be sent. If the floor is reached and a partial answer now has at least
// the worth of a late one, that is before the latency objective.
func (p *Plan) sendBy(meetsMinimum bool, present float64) float64 {
	deadline := p.options.DeadlineMs - p.options.MarginMs
	if meetsMinimum && p.options.PartialFactor*present >= p.options.LateFactor {
		return min(deadline, p.options.LatencyObjectiveMs-p.options.MarginMs)
	}
	return deadline
}

// shouldWait reports whether to wait for the shards in flight, and until when at the latest. A shard is late after a
// multiple of the median latency. Once all are, a complete answer may still be worth waiting for, but no longer than
// that time again.
func (p *Plan) shouldWait(nowMs, sendByMs float64, pending []*part) (wakeAtMs float64, wait bool) {
	lateThresholdMs := p.lateThreshold()
	wakeAtMs = sendByMs
	for _, part := range pending {
		lateAtMs := part.requestedAtMs + lateThresholdMs
		wakeAtMs = min(wakeAtMs, max(lateAtMs, nowMs+minWakeDelayMs))
		if nowMs < lateAtMs {
			return wakeAtMs, true
		}
	}
	abandonAtMs := pending[0].requestedAtMs + 2*lateThresholdMs
	if nowMs < abandonAtMs && p.options.PartialFactor < 1 {
		return min(sendByMs, abandonAtMs), true
	}
	return 0, false
}

// sumWeights are the weight that is present, and that which is present or may still come.
func (p *Plan) sumWeights() (present, possible float64) {
	for _, part := range p.parts {
		switch part.state {
		case answered:
			present += part.weight
			possible += part.weight
		case inFlight:
			possible += part.weight
		}
	}
	return present, possible
}

// partsInFlight are the parts that are waited for, in the order of the plan.
func (p *Plan) partsInFlight() []*part {
	var pending []*part
	for _, part := range p.parts {
		if part.state == inFlight {
			pending = append(pending, part)
		}
	}
	return pending
}

// lateThreshold is after how many ms a shard is late; infinite as long as none has answered.
func (p *Plan) lateThreshold() float64 {
	if len(p.latenciesMs) == 0 {
		return math.Inf(1)
	}
	medianMs := p.latenciesMs[len(p.latenciesMs)/2]
	return max(lateLatencyMultiple*medianMs, minLateThresholdMs)
}

// abandonParts abandons parts and returns their buckets.
func abandonParts(parts []*part) []shardmap.Range {
	var buckets []shardmap.Range
	for _, part := range parts {
		part.state = abandoned
		buckets = append(buckets, part.buckets)
	}
	return buckets
}
