package fetchplan

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

const (
	// weightTolerance is by how much sums of weights may fall short, as the platform's rules allow.
	weightTolerance = 1e-4

	// lateFactor times the median latency of the answers so far is when a shard is late.
	lateFactor = 3.0

	// minLateMs is the least latency at which a shard is late, in ms.
	minLateMs = 5.0

	// minWakeMs is the least time until the plan wants to decide again, in ms, while a shard is in flight.
	minWakeMs = 1.0
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
func (p *Plan) Decide(now float64) Decision {
	present, possible := p.weights()
	if possible < p.options.MinCompleteness-weightTolerance {
		return Decision{Done: true, CannotAnswer: true}
	}
	reached := present >= p.options.MinCompleteness-weightTolerance && present > 0
	waiting := p.inFlight()
	if len(waiting) == 0 {
		return Decision{Done: true, CannotAnswer: !reached}
	}
	lastCall := p.lastCall(reached, present)
	switch {
	case now >= lastCall && !reached:
		return Decision{Done: true, CannotAnswer: true}
	case now >= lastCall:
		return Decision{Done: true, Abandoned: abandon(waiting)}
	case !reached:
		return Decision{WakeAtMs: lastCall}
	}
	wakeAtMs, wait := p.waitForLate(now, lastCall, waiting)
	if wait {
		return Decision{WakeAtMs: wakeAtMs}
	}
	return Decision{Done: true, Abandoned: abandon(waiting)}
}

// lastCall is the time at which the answer must be sent. If the floor is reached and a partial answer now has at least
// the worth of a late one, that is before the latency objective.
func (p *Plan) lastCall(reached bool, present float64) float64 {
	deadline := p.options.DeadlineMs - p.options.MarginMs
	if reached && p.options.PartialFactor*present >= p.options.LateFactor {
		return min(deadline, p.options.LatencyObjectiveMs-p.options.MarginMs)
	}
	return deadline
}

// waitForLate reports whether to wait for the shards in flight, and until when at the latest. A shard is late after a
// multiple of the median latency. Once all are, a complete answer may still be worth waiting for, but no longer than
// that time again.
func (p *Plan) waitForLate(now, lastCall float64, waiting []*part) (wakeAtMs float64, wait bool) {
	lateAfter := p.lateAfter()
	wakeAtMs = lastCall
	for _, part := range waiting {
		lateAt := part.requestedAt + lateAfter
		wakeAtMs = min(wakeAtMs, max(lateAt, now+minWakeMs))
		if now < lateAt {
			return wakeAtMs, true
		}
	}
	giveUpAt := waiting[0].requestedAt + 2*lateAfter
	if now < giveUpAt && p.options.PartialFactor < 1 {
		return min(lastCall, giveUpAt), true
	}
	return 0, false
}

// weights are the weight that is present, and that which is present or may still come.
func (p *Plan) weights() (present, possible float64) {
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

// inFlight are the parts that are waited for, in the order of the plan.
func (p *Plan) inFlight() []*part {
	var waiting []*part
	for _, part := range p.parts {
		if part.state == inFlight {
			waiting = append(waiting, part)
		}
	}
	return waiting
}

// lateAfter is after how many ms a shard is late; infinite as long as none has answered.
func (p *Plan) lateAfter() float64 {
	if len(p.latencies) == 0 {
		return math.Inf(1)
	}
	median := p.latencies[len(p.latencies)/2]
	return max(lateFactor*median, minLateMs)
}

// abandon abandons parts and returns their buckets.
func abandon(parts []*part) []shardmap.Range {
	var buckets []shardmap.Range
	for _, part := range parts {
		part.state = abandoned
		buckets = append(buckets, part.buckets)
	}
	return buckets
}
