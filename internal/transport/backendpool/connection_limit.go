package backendpool

import "math"

const (
	// maxUnsharedConnections is the number of connections to one backend, each with a call, from which calls share
	// one.
	maxUnsharedConnections = 4
	// limitGrowthIntervalMs is the time without a rejected connection in which the limit grows by one.
	limitGrowthIntervalMs = 5000.0
)

// connectionLimit is how many connections to one backend are opened so that calls need not share one. It is one limit
// for all backends of a Pool.
//
// A backend accepts a number of connections from all brokers together that is not announced. It rejects the first
// call on one more and closes it. The limit follows by additive increase and multiplicative decrease: it halves on
// such a rejection, to no less than 1, and grows by 1 every limitGrowthIntervalMs without. Connections that were
// opened before the last decrease do not decrease it again. So all brokers together settle below what the backends
// accept, whatever their number. The zero value is at the maximum.
type connectionLimit struct {
	limit           float64 // as of lastRejectedAt; 0 before the first rejection
	lastRejectedAt  float64 // growth counts from here: the last rejection
	lastDecreasedAt float64
}

// current returns the limit, 1 to maxUnsharedConnections.
func (l *connectionLimit) current(now float64) int {
	if l.limit == 0 {
		return maxUnsharedConnections
	}
	return int(math.Min(maxUnsharedConnections, l.limit+(now-l.lastRejectedAt)/limitGrowthIntervalMs))
}

// recordRejection notes that a connection opened at openedAt was one too many for its backend. Growth since the last
// rejection is lost.
func (l *connectionLimit) recordRejection(now, openedAt float64) {
	l.lastRejectedAt = now
	if l.limit == 0 || openedAt >= l.lastDecreasedAt {
		l.limit = math.Max(1, float64(l.current(now))/2)
		l.lastDecreasedAt = now
	}
}
