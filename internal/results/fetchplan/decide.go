package fetchplan

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

// weights are the weight that is in, and that is in or may still come.
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

// weightTolerance is what sums of weights may fall short by, as the platform's rules allow.
const weightTolerance = 1e-4

// Decision is what to do now.
type Decision struct {
	Done      bool             // merge what is in: nothing is waited for any more
	Hopeless  bool             // the floor cannot be reached: end it
	Abandoned []shardmap.Range // these are waited for no longer
	WakeAt    float64          // else ask again at this time at the latest
}

// Decide tells whether to wait. A late slice is dropped as soon as what is left reaches the floor and an
// answer in part is worth more than what waiting brings; never below the floor, and none before it is late
// but for want of time.
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

// lateAfter is after how many ms a slice is late: by the median of those that have answered.
func (p *Plan) lateAfter() float64 {
	if len(p.latencies) == 0 {
		return math.Inf(1)
	}
	return max(lateFactor*p.latencies[len(p.latencies)/2], minLateMs)
}
