package backends

import "math"

const (
	riskSlots = 16      // of idle times, each twice as long as the one before: 1 ms to a minute
	riskFirst = 3       // slot, of 8 ms, under which a connection is in use rather than idle
	riskGain  = 0.1     // weight of the newest part that went out on an idle connection
	riskHalf  = 30000.0 // ms in which what is known halves, so that it is tried again
	riskMost  = 0.25    // share of parts lost from which connections so long idle are not used again
	riskOnce  = 0.03    // the same for parts that must not run twice
)

// idleRisk learns how long a connection may be idle before something on the way drops it unseen: then the
// next part on it is lost at once. One fault in between does not tell; several of the same idle time do.
type idleRisk struct {
	lost, at [riskSlots]float64
}

func riskSlot(idle float64) int {
	return min(max(int(math.Log2(max(idle, 1))), 0), riskSlots-1)
}

// note takes what became of a part on a connection that had been idle.
func (r *idleRisk) note(now, idle float64, lost bool) {
	i := riskSlot(idle)
	if i < riskFirst {
		return
	}
	r.lost[i] = r.now(i, now) * (1 - riskGain)
	if r.at[i] = now; lost {
		r.lost[i] += riskGain
	}
}

func (r *idleRisk) now(i int, now float64) float64 {
	return r.lost[i] * math.Exp2((r.at[i]-now)/riskHalf)
}

// fits tells whether a part may go out on a connection that has been idle for so long: what is lost after
// less idle time is lost after more.
func (r *idleRisk) fits(now, idle, most float64) bool {
	for i := riskFirst; i <= riskSlot(idle); i++ {
		if r.now(i, now) > most {
			return false
		}
	}
	return true
}
