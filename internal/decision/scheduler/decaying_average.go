package scheduler

import "math"

// decayingAverage is a value and the time at which it was observed. Without new samples it decays exponentially. The
// reader supplies the half-life, so that it can depend on the traffic.
type decayingAverage struct {
	at    float64
	value float64
}

// valueAt returns the value decayed to the given time with a half-life in ms.
func (d decayingAverage) valueAt(now, halfLifeMs float64) float64 {
	if d.value == 0 {
		return 0 // the common case; Exp2 is expensive
	}
	return d.value * math.Exp2((d.at-now)/halfLifeMs)
}
