package fetchplan

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

const (
	// weightTolerance is how far a sum of weights may fall short of a limit, as the platform's rules allow.
	weightTolerance = 1e-4

	// lateLatencyMultiple is the multiple of the median latency, over the answers so far, after which a shard is late.
	lateLatencyMultiple = 3.0

	// minLateThresholdMs is the minimum latency, in ms, after which a shard is late.
	minLateThresholdMs = 5.0

	// minWakeDelayMs is the shortest time, in ms, until the next decision while a shard is in flight.
	minWakeDelayMs = 1.0
)

// Decision tells the caller what to do next.
type Decision struct {
	Done         bool             // merge the shards that have answered, and do not wait any longer
	CannotAnswer bool             // reject the query: the minimum completeness cannot be reached
	Abandoned    []shardmap.Range // shards whose answers are no longer wanted
	WakeAtMs     float64          // unless Done, call Decide again by this time
}

// Decide decides whether to wait for the shards in flight.
//
// Below the minimum completeness it waits for every shard until the deadline. Once the minimum is met, it waits until
// all shards in flight are late or the time to answer has come. While it waits for one shard, waiting for the others
// costs nothing.
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

// sendBy returns the time by which the answer must be sent, in ms. It is MarginMs before the latency objective if the
// minimum completeness is met and a partial answer in time counts at least as much as a complete late one. Otherwise
// it is MarginMs before the deadline.
func (p *Plan) sendBy(meetsMinimum bool, present float64) float64 {
	deadlineMs := p.options.DeadlineMs - p.options.MarginMs
	if meetsMinimum && p.options.PartialFactor*present >= p.options.LateFactor {
		return min(deadlineMs, p.options.LatencyObjectiveMs-p.options.MarginMs)
	}
	return deadlineMs
}

// shouldWait reports whether to wait for the shards in flight, and until when at most. A shard is late after a
// multiple of the median latency. Once all shards in flight are late, a complete answer may still be worth the wait,
// but at most for the same time again.
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

// sumWeights returns the weight of the shards that have answered, and that weight plus the weight of the shards in
// flight.
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

// partsInFlight returns the parts in flight, in the order of the plan.
func (p *Plan) partsInFlight() []*part {
	var pending []*part
	for _, part := range p.parts {
		if part.state == inFlight {
			pending = append(pending, part)
		}
	}
	return pending
}

// lateThreshold returns the time in ms after which a shard is late. It is infinite until a shard has answered.
func (p *Plan) lateThreshold() float64 {
	if len(p.latenciesMs) == 0 {
		return math.Inf(1)
	}
	medianMs := p.latenciesMs[len(p.latenciesMs)/2]
	return max(lateLatencyMultiple*medianMs, minLateThresholdMs)
}

// abandonParts marks parts as abandoned and returns their buckets.
func abandonParts(parts []*part) []shardmap.Range {
	var buckets []shardmap.Range
	for _, part := range parts {
		part.state = abandoned
		buckets = append(buckets, part.buckets)
	}
	return buckets
}
