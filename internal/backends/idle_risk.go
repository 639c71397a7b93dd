package backends

import "math"

const (
	idleTimeSlots            = 16      // of idle times, each twice as long as the one before: 1 ms to a minute
	firstIdleSlot            = 3       // slot, of 8 ms, under which a connection is in use rather than idle
	newestLossWeight         = 0.1     // weight of the newest part that went out on an idle connection
	lossHalfLifeMs           = 30000.0 // ms in which what is known halves, so that it is tried again
	maxLossRate              = 0.25    // share of parts lost from which connections so long idle are not used again
	maxNonIdempotentLossRate = 0.03    // the same for parts that must not run twice
)

// idleRisk learns how long a connection may be idle before something on the way drops it unseen: then the
// next part on it is lost at once. One fault in between does not tell; several of the same idle time do.
type idleRisk struct {
	lossRates, updatedAt [idleTimeSlots]float64
}

func idleTimeSlot(idle float64) int {
	return min(max(int(math.Log2(max(idle, 1))), 0), idleTimeSlots-1)
}

// record takes what became of a part on a connection that had been idle.
func (r *idleRisk) record(now, idle float64, lost bool) {
	i := idleTimeSlot(idle)
	if i < firstIdleSlot {
		return
	}
	r.lossRates[i] = r.lossRate(i, now) * (1 - newestLossWeight)
	if r.updatedAt[i] = now; lost {
		r.lossRates[i] += newestLossWeight
	}
}

func (r *idleRisk) lossRate(i int, now float64) float64 {
	return r.lossRates[i] * math.Exp2((r.updatedAt[i]-now)/lossHalfLifeMs)
}

// allows tells whether a part may go out on a connection that has been idle for so long: what is lost after
// less idle time is lost after more.
func (r *idleRisk) allows(now, idle, most float64) bool {
	for i := firstIdleSlot; i <= idleTimeSlot(idle); i++ {
		if r.lossRate(i, now) > most {
			return false
		}
	}
	return true
}
