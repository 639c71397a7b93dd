package scheduler

import "cmp"

const (
	// failureTieWeight is the normalized latency that a failure rate of 1 weighs in a tie.
	failureTieWeight = 2
	// otherZonePenalty is the normalized latency that another zone weighs in a tie.
	otherZonePenalty = 0.5
	// tieNoise is the random part of a tie, so that brokers do not move in step.
	tieNoise = 0.15
	// pacedReplicaLatency is how many times the fleet's level makes a replica that holds parts back get them at a pace.
	pacedReplicaLatency = 1.8
	// assumedConcurrency is how many parts a replica is taken to serve side by side for that pace.
	assumedConcurrency = 2.0
)

// The tiers of eligibility, best first. A replica that the part was sent to before comes after all others.
const (
	tierHealthy                = 0
	tierAvoidedByNonIdempotent = 0.5 // healthy, but avoided by non-idempotent parts
	tierOutlier                = 1
	tierAlreadyAttempted       = 2 // added to the others
)

// selection is the replica chosen for a part, and whether some replica of its tier takes more work now.
type selection struct {
	replica         *replica
	tierHasCapacity bool
}

// rank orders the candidates for a part; the least is chosen.
type rank struct {
	tier     float64
	calls    float64 // of this broker in flight at the replica
	tieBreak float64
}

func (r rank) compare(other rank) int {
	if c := cmp.Compare(r.tier, other.tier); c != 0 {
		return c
	}
	if c := cmp.Compare(r.calls, other.calls); c != 0 {
		return c
	}
	return cmp.Compare(r.tieBreak, other.tieBreak)
}

// selectReplica chooses the replica of a shard with the fewest calls of this broker in flight; ties go by latency,
// failures and zone. Outliers are chosen only if nothing else is allowed and, with avoidAttempted, replicas that the part
// was sent to before come last. cost is that of the part or of the call that it shares.
func (s *Scheduler) selectReplica(now float64, p *part, cost float64, avoidAttempted bool) selection {
	var best selection
	var bestRank rank
	isExpensive := s.callsAreExpensive()
	for _, r := range s.replicasOf(p.Shard) {
		if s.availableAt(now, r, cost) > now {
			continue
		}
		level := s.normalizedLatency(now, r)
		candidate := s.rankReplica(now, r, p, level, isExpensive)
		if avoidAttempted && p.attemptedAt(r) {
			candidate.tier += tierAlreadyAttempted
		}
		isBetterTier := best.replica == nil || candidate.tier < bestRank.tier
		if isBetterTier {
			best.tierHasCapacity = false
		}
		if isBetterTier || candidate.tier == bestRank.tier {
			best.tierHasCapacity = best.tierHasCapacity || s.hasCapacity(now, r, level)
		}
		if best.replica == nil || candidate.compare(bestRank) < 0 {
			best.replica = r
			bestRank = candidate
		}
	}
	return best
}

// rankReplica ranks a replica for a part. It draws one random number.
func (s *Scheduler) rankReplica(now float64, r *replica, p *part, level float64, isExpensive bool) rank {
	result := rank{
		tier:     tierHealthy,
		calls:    float64(r.callsInFlight),
		tieBreak: level + failureTieWeight*s.decayedEstimate(r.outliers.failureRate, now) + tieNoise*s.random.Float64(),
	}
	if isExpensive && s.canJoinCall(r) {
		result.calls-- // joining a call of this round adds none
		result.tieBreak -= s.settings.CallOverhead / s.meanPartWorkMs()
	}
	if r.Zone != s.settings.LocalZone {
		result.tieBreak += otherZonePenalty
	}
	if !s.isHealthy(now, r) {
		result.tier = tierOutlier
		result.calls = 0
		return result
	}
	if p.query.class.Idempotency != NonIdempotent {
		return result
	}
	// One failure loses a non-idempotent part, so others test a doubtful replica. Slow is better than failing.
	avoids, failureRate := s.isAvoidedByNonIdempotent(now, r, level)
	if avoids {
		result.tier = tierAvoidedByNonIdempotent
		result.calls = 0
		result.tieBreak += failureRateWeight * failureRate
	}
	return result
}

// canJoinCall reports whether a part can join a call that was begun to the replica in this round.
func (s *Scheduler) canJoinCall(r *replica) bool {
	call := r.currentCall
	return r.currentRound == s.round && call.partsInFlight > 0 && call.parts < s.settings.MaxPartsPerCall
}

// hasCapacity reports whether a replica takes more work now: it is not queueing and below its limit. One with nothing
// of this broker in flight takes an attempt whatever its latency, so that holding back cannot deadlock.
func (s *Scheduler) hasCapacity(now float64, r *replica, level float64) bool {
	if now < r.circuitOpenUntil {
		return false
	}
	hasNothingInFlight := len(r.inFlight) == 0
	if hasNothingInFlight && s.isAllowedByPacing(now, r, level) {
		return true
	}
	return level <= s.latency.queueingLatency && (hasNothingInFlight || r.limit.inFlight < r.limit.maxCost)
}

// isAllowedByPacing reports whether an attempt may go to a replica that has nothing of this broker in flight. In a large fleet
// one attempt of each broker would keep a congested replica's queue full, so each sends one in the time in which the
// replica serves one of every broker's. That may hold back the broker with the most traffic.
func (s *Scheduler) isAllowedByPacing(now float64, r *replica, level float64) bool {
	if !s.isLargeFleet() || level <= pacedReplicaLatency*s.latency.fleetMedian {
		return true
	}
	return now >= r.lastUsedAt+s.latency.baseline*float64(s.settings.BrokerCount)/assumedConcurrency
}
