package backendpool

import "math"

const (
	// idleSlotCount is the number of classes of idle times. Each is twice as wide as the one before: the first
	// ends at 2 ms, the last begins at 32.8 s.
	idleSlotCount = 16
	// firstIdleSlot is the first class that counts, from 8 ms: a connection that was idle for less counts as in use.
	firstIdleSlot = 3
	// newObservationWeight is the weight of the newest observation in a loss rate.
	newObservationWeight = 0.1
	// lossHalfLifeMs is the time in which a loss rate halves, so that idle connections are tried again.
	lossHalfLifeMs = 30000.0
	// maxLossRate is the loss rate above which a connection that has been idle so long is not used again.
	maxLossRate = 0.25
	// maxNonIdempotentLossRate is the same for calls with a non-idempotent part.
	maxNonIdempotentLossRate = 0.03
	// maxNonIdempotentIdleMs is how long a connection may have been idle that carries a call with a non-idempotent part,
	// whatever the loss rates are: a part that is lost with its connection must not be retried.
	maxNonIdempotentIdleMs = 250.0
)

// idleRisk estimates how likely a connection was dropped unseen while it was idle, so that the next call on it is lost
// at once. It keeps a decaying loss rate for each class of idle times; one loss alone stays below maxLossRate. The zero
// value is ready to use.
type idleRisk struct {
	lossRates [idleSlotCount]float64 // as of updatedAt
	updatedAt [idleSlotCount]float64
}

// idleSlot returns the class of an idle time.
func idleSlot(idleMs float64) int {
	return min(max(int(math.Log2(max(idleMs, 1))), 0), idleSlotCount-1)
}

// record notes whether a call on a connection that had been idle was lost at once.
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

// lossRate returns the loss rate of a class at present.
func (r *idleRisk) lossRate(slot int, now float64) float64 {
	return r.lossRates[slot] * math.Exp2((r.updatedAt[slot]-now)/lossHalfLifeMs)
}

// allows reports whether the loss rate of connections that have been idle so long is not above maxRate. What is lost
// after a shorter idle time counts too, as it would be lost after a longer one.
func (r *idleRisk) allows(now, idleMs, maxRate float64) bool {
	for slot := firstIdleSlot; slot <= idleSlot(idleMs); slot++ {
		if r.lossRate(slot, now) > maxRate {
			return false
		}
	}
	return true
}

// allowsNonIdempotent reports whether a connection that has been idle so long may carry a non-idempotent part.
func (r *idleRisk) allowsNonIdempotent(now, idleMs float64) bool {
	return idleMs <= maxNonIdempotentIdleMs && r.allows(now, idleMs, maxNonIdempotentLossRate)
}
