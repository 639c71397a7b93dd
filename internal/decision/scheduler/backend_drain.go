package scheduler

import "math"

// drainSendShare is the share of the drain grace in which a draining replica may still be sent attempts. The rest
// is for reading the endpoint list and for attempts that were decided on and have not begun.
const drainSendShare = 0.5

// drainState is since when a replica is known to leave.
type drainState struct {
	// informedAt is when the endpoint list first called it draining or removed; +Inf while it is ready.
	informedAt float64
}

// update notes the time of the first report that a replica leaves; one that is ready again has not left.
func (d *drainState) update(now float64, state ReplicaState) {
	d.informedAt = min(d.informedAt, now)
	if state == Ready {
		d.informedAt = math.Inf(1)
	}
}

// allowsAttempts reports whether a replica that leaves may still be sent attempts; a ready one always may.
func (d *drainState) allowsAttempts(now, drainGraceMs float64) bool {
	return now <= d.informedAt+drainGraceMs*drainSendShare
}
