package backendpool

import "math"

const (
	// idleSlotCount is the number of slots into which idle times are divided. Each slot is twice as wide as the one
	// before: the first ends at 2 ms, the last begins at 32.8 s.
	idleSlotCount = 16
	// firstIdleSlot is the first slot that is recorded. It begins at 8 ms: a connection that was idle for a shorter
	// time counts as in use.
	firstIdleSlot = 3
	// newObservationWeight is the weight of the newest observation in a loss rate.
	newObservationWeight = 0.1
	// lossHalfLifeMs is the time in which a loss rate halves without observations, so that idle connections are
	// eventually used again.
	lossHalfLifeMs = 30000.0
	// maxLossRate is the loss rate above which a connection with that idle time is not used again.
	maxLossRate = 0.25
	// maxNonIdempotentLossRate is the loss rate above which a connection with that idle time does not get a call with
	// a non-idempotent part.
	maxNonIdempotentLossRate = 0.03
	// maxNonIdempotentIdleMs is the maximum idle time of a connection that gets a call with a non-idempotent part,
	// whatever the loss rates. Such a part must not be retried if it is lost with its connection.
	maxNonIdempotentIdleMs = 250.0
)

// idleRisk estimates the probability that a connection was dropped silently while it was idle, so that the next call
// on it is lost at once. It keeps a decaying loss rate for each slot of idle times. One loss alone does not raise a
// rate above maxLossRate. The zero value is ready to use.
type idleRisk struct {
	lossRates [idleSlotCount]float64 // as of updatedAt
	updatedAt [idleSlotCount]float64 // loop time in ms
}

// idleSlot returns the index of the slot that contains an idle time.
func idleSlot(idleMs float64) int {
	return min(max(int(math.Log2(max(idleMs, 1))), 0), idleSlotCount-1)
}

// record updates the loss rate after a call on a connection that had been idle for idleMs. lost means that the
// connection broke as soon as it was used.
func (r *idleRisk) record(now, idleMs float64, lost bool) {
	slot := idleSlot(idleMs)
	if slot < firstIdleSlot {
		return
	}
	rate := r.lossRate(slot, now) * (1 - newObservationWeight)
	if lost {
		rate += newObservationWeight
	}
	r.lossRates[slot] = rate
	r.updatedAt[slot] = now
}

// lossRate returns the loss rate of a slot at the time now.
func (r *idleRisk) lossRate(slot int, now float64) float64 {
	return r.lossRates[slot] * math.Exp2((r.updatedAt[slot]-now)/lossHalfLifeMs)
}

// allows reports whether a connection that has been idle for idleMs may be used: no slot up to that idle time has a
// loss rate above maxRate. Slots of shorter idle times are included, because a connection that is lost after a
// shorter idle time would also be lost after a longer one.
func (r *idleRisk) allows(now, idleMs, maxRate float64) bool {
	for slot := firstIdleSlot; slot <= idleSlot(idleMs); slot++ {
		if r.lossRate(slot, now) > maxRate {
			return false
		}
	}
	return true
}

// allowsNonIdempotent reports whether a connection that has been idle for idleMs may carry a non-idempotent part.
func (r *idleRisk) allowsNonIdempotent(now, idleMs float64) bool {
	return idleMs <= maxNonIdempotentIdleMs && r.allows(now, idleMs, maxNonIdempotentLossRate)
}
