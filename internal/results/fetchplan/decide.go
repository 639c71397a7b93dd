package fetchplan

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

// weights are the weight that is present, and that which is present or may still come.
func (p *Plan) weights() (in, could float64) {
	for _, x := range p.parts {
		switch x.state {
		case answered:
			in, could = in+x.weight, could+x.weight
		case inFlight:
			could += x.weight
		}
	}
	return in, could
}

const weightTolerance = 1e-4

// Decision is what to do next.
type Decision struct {
	Done      bool             // merge what is included: nothing is waited for
	Hopeless  bool             // the floor cannot be reached: reject the query
	Abandoned []shardmap.Range // shards that are no longer waited for
	WakeAt    float64          // ms; unless Done, decide again at this time at the latest
}

// Decide decides whether to wait for the shards in flight.
//
// Below the floor every shard is waited for until the deadline. From the floor on, waiting ends when all shards in
// flight are late, or when the time is up: as long as one is waited for, the others cost nothing.
func (p *Plan) Decide(now float64) Decision {
	in, could := p.weights()
	if could < p.options.Floor-weightTolerance {
		return Decision{Done: true, Hopeless: true}
	}
	var out []*part
	for _, x := range p.parts {
		if x.state == inFlight {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return Decision{Done: true, Hopeless: in < p.options.Floor-weightTolerance || in == 0}
	}
	enough := in >= p.options.Floor-weightTolerance && in > 0
	last := p.options.Deadline - p.options.Margin
	if enough && p.options.PartialWorth*in >= p.options.LateWorth {
		// After the aim a whole answer is worth less than this one now.
		last = min(last, p.options.LatencyObjective-p.options.Margin)
	}
	if now >= last {
		if !enough {
			return Decision{Done: true, Hopeless: true}
		}
		return Decision{Done: true, Abandoned: p.drop(out)}
	}
	v := Decision{WakeAt: last}
	if !enough {
		return v // below the floor nothing is dropped, however late it is
	}
	// Who is late is dropped only once all that is out is: as long as one is waited for, the others cost
	// nothing.
	late := p.lateAfter()
	for _, x := range out {
		v.WakeAt = min(v.WakeAt, max(x.requestedAt+late, now+1))
		if now < x.requestedAt+late {
			return v
		}
	}
	// Waiting to the aim for slices that are late might make the answer whole; that they come is not to be
	// counted on once they are as late again.
	if now < out[0].requestedAt+2*late && p.options.PartialWorth < 1 {
		v.WakeAt = min(last, out[0].requestedAt+2*late)
		return v
	}
	return Decision{Done: true, Abandoned: p.drop(out)}
}

// lateAfter is after how many ms a shard is late; infinite as long as none has answered.
func (p *Plan) lateAfter() float64 {
	if len(p.latencies) == 0 {
		return math.Inf(1)
	}
	return max(lateFactor*p.latencies[len(p.latencies)/2], minLateMs)
}
