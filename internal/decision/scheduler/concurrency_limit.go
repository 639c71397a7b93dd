package scheduler

import (
	"math"

	"ternstage/internal/decision/fleetshare"
)

const (
	initialReplicaMaxCost      = 4.0 // cost; a few slots of the smallest backend
	minReplicaMaxCost          = 1.0 // cost
	replicaLimitStep           = 0.5 // cost/limit that a normal answer of cost 1 adds to a replica's limit
	replicaLimitMinUtilization = 0.5 // fraction of the limit that must be in flight for the limit to grow

	minFleetMaxCost         = 4.0  // cost
	fleetLimitCutFactor     = 0.85 // factor on the cost in flight when the fleet is slow, at most once per round trip
	fleetLimitStep          = 0.3  // cost that the limit grows by for each unit of cost answered while the fleet is fast
	slowFleetObjectiveShare = 0.5  // share of the shortest objective; the fleet is slow if its median part takes longer
)

// replicaLimit limits this broker's cost in flight at a replica to what the replica serves at its normal latency. It
// grows additively with answers at normal latency. A slow answer lowers it to the cost in flight, at most once per
// round trip.
type replicaLimit struct {
	costInFlight float64 // cost of this broker's attempts in flight at the replica
	maxCost      float64
	cutAt        float64 // time of the last cut; attempts sent before it do not cut the limit again
}

// cut lowers the limit to the cost in flight unless the limit was cut after the attempt had been sent.
func (l *replicaLimit) cut(now, sentAt float64) {
	if l.cutAt < sentAt {
		l.lowerToInFlight()
		l.cutAt = now
	}
}

// lowerToInFlight lowers the limit to the cost in flight, but not below the minimum.
func (l *replicaLimit) lowerToInFlight() {
	l.maxCost = max(minReplicaMaxCost, min(l.maxCost, l.costInFlight))
}

// lowerToMin lowers the limit to the minimum unless it was cut after the attempt had been sent. Otherwise a stalled
// replica would receive many attempts each time its recorded latency has decayed.
func (l *replicaLimit) lowerToMin(now, sentAt float64) {
	if l.cutAt < sentAt {
		l.maxCost = minReplicaMaxCost
		l.cutAt = now
	}
}

// observe adapts the limit to an answer. It grows in small steps, so that queued parts do not reach a replica in one
// burst as soon as its latency is normal again.
func (l *replicaLimit) observe(now float64, a *attempt, isQueueing bool) {
	if isQueueing {
		l.cut(now, a.sentAt)
		return
	}
	if l.costInFlight >= l.maxCost*replicaLimitMinUtilization {
		l.maxCost += replicaLimitStep * a.part.cost / l.maxCost
	}
}

// fleetLimit limits this broker's cost in flight over all replicas to what the fleet serves at a useful latency. Only
// brokers of large fleets cut it; others detect overload by the queues of each shard.
type fleetLimit struct {
	costInFlight float64 // cost of all attempts in flight
	maxCost      float64 // +Inf until it is cut for the first time
	cutAt        float64
}

func newFleetLimit() fleetLimit { return fleetLimit{maxCost: math.Inf(1)} }

// isLargeFleet reports whether there are so many brokers that a broker cannot estimate the queue lengths of the
// replicas from its own attempts in flight.
func (s *Scheduler) isLargeFleet() bool { return s.settings.BrokerCount > fleetshare.SmallFleetBrokers }

// cutFleetLimit lowers the fleet's limit unless it was cut after the given send time.
func (s *Scheduler) cutFleetLimit(now, sentAt float64) {
	limit := &s.fleetLimit
	if s.isLargeFleet() && limit.cutAt < sentAt {
		limit.maxCost = max(minFleetMaxCost, fleetLimitCutFactor*min(limit.maxCost, limit.costInFlight))
		limit.cutAt = now
	}
}

// adaptFleetLimit raises the fleet's limit while its median part is fast, and cuts it while the median part is slow.
func (s *Scheduler) adaptFleetLimit(now float64, a *attempt) {
	isFast := s.latency.medianPartMs() <= slowFleetObjectiveShare*s.latency.minObjectiveMs
	if !s.isLargeFleet() || isFast {
		s.fleetLimit.maxCost += fleetLimitStep * a.part.cost
		return
	}
	s.cutFleetLimit(now, a.sentAt)
}
