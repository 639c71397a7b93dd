package scheduler

import (
	"math"

	"ternstage/internal/decision/fleetshare"
)

const (
	initialReplicaMaxCost      = 4.0 // cost: a few slots of the smallest backend
	minReplicaMaxCost          = 1.0 // cost
	replicaLimitStep           = 0.5 // cost by which a normal answer raises a replica's limit, over the limit itself
	replicaLimitMinUtilization = 0.5 // share of its limit that must be in flight for the limit to grow

	minFleetMaxCost         = 4.0  // cost
	fleetLimitCutFactor     = 0.85 // factor on what is in flight when the fleet is slow, once per round trip
	fleetLimitStep          = 0.3  // cost by which the limit grows for each cost answered while the fleet is quick
	slowFleetObjectiveShare = 0.5  // share of the shortest objective; a fleet whose median part takes longer is slow
)

// replicaLimit is the cost in flight that a replica carries at its normal latency, for this broker. It grows
// additively with normal answers and shrinks to what was in flight with slow ones, once per round trip.
type replicaLimit struct {
	inFlight float64 // cost of this broker's attempts at the replica
	maxCost  float64
	cutAt    float64 // attempts sent before do not cut it again
}

// cut lowers the limit to what is in flight, unless that was done after the attempt had been sent.
func (l *replicaLimit) cut(now, sentAt float64) {
	if l.cutAt < sentAt {
		l.lowerToInFlight()
		l.cutAt = now
	}
}

// lowerToInFlight lowers the limit to what is in flight.
func (l *replicaLimit) lowerToInFlight() {
	l.maxCost = max(minReplicaMaxCost, min(l.maxCost, l.inFlight))
}

// collapse lowers the limit to the minimum, so that a stalled replica does not draw a crowd of attempts each time
// its bad latency has faded.
func (l *replicaLimit) lowerToMin(now, sentAt float64) {
	if l.cutAt < sentAt {
		l.maxCost = minReplicaMaxCost
		l.cutAt = now
	}
}

// observe adapts the limit to an answer: waiting queues must not burst onto a replica that has just become normal.
func (l *replicaLimit) observe(now float64, a *attempt, isQueueing bool) {
	if isQueueing {
		l.cut(now, a.sentAt)
		return
	}
	if l.inFlight >= l.maxCost*replicaLimitMinUtilization {
		l.maxCost += replicaLimitStep * a.part.cost / l.maxCost
	}
}

// fleetLimit is the cost in flight that the whole fleet carries for this broker at a useful latency. Only brokers
// of large fleets have one; others go by what is queued at each shard.
type fleetLimit struct {
	inFlight float64 // cost of all attempts in flight
	maxCost  float64 // +Inf until it is cut for the first time
	cutAt    float64
}

func newFleetLimit() fleetLimit { return fleetLimit{maxCost: math.Inf(1)} }

// isLargeFleet reports whether there are too many brokers for one to see, by its own attempts in flight, how long the
// queues of the replicas are.
func (s *Scheduler) isLargeFleet() bool { return s.settings.BrokerCount > fleetshare.SmallFleetBrokers }

// cutFleetLimit lowers the limit of the fleet once for what was sent since the last time.
func (s *Scheduler) cutFleetLimit(now, sentAt float64) {
	limit := &s.fleetLimit
	if s.isLargeFleet() && limit.cutAt < sentAt {
		limit.maxCost = max(minFleetMaxCost, fleetLimitCutFactor*min(limit.maxCost, limit.inFlight))
		limit.cutAt = now
	}
}

// adaptFleetLimit raises the limit of the fleet while its median part is quick, and cuts it while that is slow.
func (s *Scheduler) adaptFleetLimit(now float64, a *attempt) {
	isFast := s.latency.medianPartMs() <= slowFleetObjectiveShare*s.latency.minObjectiveMs
	if !s.isLargeFleet() || isFast {
		s.fleetLimit.maxCost += fleetLimitStep * a.part.cost
		return
	}
	s.cutFleetLimit(now, a.sentAt)
}
