package backends

import "math"

const (
	maxUnsharedConnections = 4      // connections to a backend on which nothing else is out, before calls share one
	limitGrowthMs          = 5000.0 // ms without a connection turned away for one more
)

// connectionLimit is how many connections to one backend are opened so that calls need not share one. A backend
// holds so many from all brokers together, a number that nobody is told: it answers the first call on one
// more with busy and closes it. Each broker halves what it opens when that happens, to no less than one, once
// for all that were opened before; it grows by one each limitGrow without. So what all open together comes
// down below what backends hold, whatever the number of brokers is; calls that share one cost nothing but
// what breaks with it. Times are the loop's, in ms.
type connectionLimit struct {
	limit, changedAt, reducedAt float64 // most as it was at at; what was opened before cutAt says nothing more
}

// current is the limit, in 1 to spread.
func (l *connectionLimit) current(now float64) int {
	if l.limit == 0 {
		return maxUnsharedConnections
	}
	return int(math.Min(maxUnsharedConnections, l.limit+(now-l.changedAt)/limitGrowthMs))
}

// connectionRejected notes that a connection opened at opened was one too many for its backend.
func (l *connectionLimit) connectionRejected(now, opened float64) {
	if l.changedAt = now; l.limit == 0 || opened >= l.reducedAt {
		l.limit, l.reducedAt = math.Max(1, float64(l.current(now))/2), now
	}
}
