package scheduler

import "math"

// drainSendShare is the share of the drain grace in which a draining replica may still be sent attempts. The rest
// covers the delay of endpoint list updates and attempts that have been decided on but not begun.
const drainSendShare = 0.5

// drainState records since when a replica has been reported draining or removed.
type drainState struct {
	// informedAt is when the endpoint list first reported the replica as draining or removed; +Inf while it is ready.
	informedAt float64
}

// update records the time of the first report that a replica is draining or removed. A ready replica resets it.
func (d *drainState) update(now float64, state ReplicaState) {
	d.informedAt = min(d.informedAt, now)
	if state == Ready {
		d.informedAt = math.Inf(1)
	}
}

// allowsAttempts reports whether the replica may still be sent attempts: always while it is ready, otherwise within
// the first part of the drain grace.
func (d *drainState) allowsAttempts(now, drainGraceMs float64) bool {
	return now <= d.informedAt+drainGraceMs*drainSendShare
}
