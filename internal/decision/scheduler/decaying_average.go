package scheduler

import "math"

// decayingAverage is a value and the time at which it held. Without new samples it halves at a rate that the reader
// gives, so that one estimate can fade faster or slower depending on traffic.
type decayingAverage struct {
	at    float64
	value float64
}

// valueAt is what is left of the value at a time, with the given half-life in ms.
func (d decayingAverage) valueAt(now, halfLifeMs float64) float64 {
	if d.value == 0 {
		return 0 // the common case, and the power is expensive
	}
	return d.value * math.Exp2((d.at-now)/halfLifeMs)
}
