package backendpool

import "math"

const (
	// maxUnsharedConnections is the maximum number of connections that are opened to one backend so that each call
	// has its own. Further calls share connections.
	maxUnsharedConnections = 4
	// limitGrowthIntervalMs is the time without a rejected connection in which the limit grows by one.
	limitGrowthIntervalMs = 5000.0
)

// connectionLimit limits the connections to one backend that are opened so that calls need not share one. One limit
// applies to every backend of a Pool.
//
// A backend accepts a limited number of connections from all brokers together and does not announce that number. On a
// connection beyond that number, the backend rejects the first call and closes the connection. The limit adapts by
// additive increase and multiplicative decrease: it grows by 1 in each limitGrowthIntervalMs without a rejection, and
// each rejection cancels the growth since the one before and halves the limit, to no less than 1. The rejection of a
// connection that was opened before the limit was last halved does not halve it again. In this way all brokers
// together settle below what the backends accept, whatever the number of brokers. The zero value is at the maximum.
type connectionLimit struct {
	limit           float64 // as of lastRejectedAt; 0 before the first rejection
	lastRejectedAt  float64 // loop time in ms of the last rejection, from which growth counts
	lastDecreasedAt float64 // loop time in ms at which the limit was last halved
}

// current returns the limit at the time now, which is 1 to maxUnsharedConnections.
func (l *connectionLimit) current(now float64) int {
	if l.limit == 0 {
		return maxUnsharedConnections
	}
	return int(math.Min(maxUnsharedConnections, l.limit+(now-l.lastRejectedAt)/limitGrowthIntervalMs))
}

// recordRejection records that the backend rejected and closed a connection that was opened at openedAt. It cancels
// the growth of the limit since the rejection before.
func (l *connectionLimit) recordRejection(now, openedAt float64) {
	l.lastRejectedAt = now
	if l.limit == 0 || openedAt >= l.lastDecreasedAt {
		l.limit = math.Max(1, float64(l.current(now))/2)
		l.lastDecreasedAt = now
	}
}
