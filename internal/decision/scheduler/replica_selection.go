package scheduler

import "cmp"

const (
	// failureTieWeight is the normalized latency that a failure rate of 1 equals in a tie break.
	failureTieWeight = 2
	// otherZonePenalty is the normalized latency that another zone adds in a tie break.
	otherZonePenalty = 0.5
	// tieNoise is the range of the random term of a tie break, which keeps brokers from choosing in lockstep.
	tieNoise = 0.15
	// pacedReplicaLatency is the multiple of the fleet's median latency above which the attempts at a replica are
	// paced (see isAllowedByPacing).
	pacedReplicaLatency = 1.8
	// assumedConcurrency is the number of parts that a paced replica is assumed to serve concurrently.
	assumedConcurrency = 2.0
)

// The tiers of eligibility, best first. tierAlreadyAttempted is added to the tier of a replica that the part was sent
// to before, so that it ranks after all others.
const (
	tierHealthy                = 0
	tierAvoidedByNonIdempotent = 0.5 // healthy, but with a failure rate or latency that non-idempotent parts avoid
	tierOutlier                = 1
	tierAlreadyAttempted       = 2
)

// selection is the replica selected for a part, and whether any replica of its tier has capacity.
type selection struct {
	replica         *replica
	tierHasCapacity bool
}

// rank orders the candidates for a part; the lowest is selected.
type rank struct {
	tier     float64
	calls    float64 // this broker's calls in flight at the replica
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

// selectReplica selects the replica of a shard with the fewest of this broker's calls in flight. Latency, failures
// and zone break ties. Outliers are selected only if no other replica is available. With avoidAttempted, replicas
// that the part was sent to before rank last. cost is the cost of the part or of its whole call.
func (s *Scheduler) selectReplica(now float64, p *part, cost float64, avoidAttempted bool) selection {
	var best selection
	var bestRank rank
	callsAreExpensive := s.callsAreExpensive()
	for _, r := range s.replicasOf(p.Shard) {
		if s.availableAt(now, r, cost) > now {
			continue
		}
		latency := s.normalizedLatency(now, r)
		candidate := s.rankReplica(now, r, p, latency, callsAreExpensive)
		if avoidAttempted && p.attemptedAt(r) {
			candidate.tier += tierAlreadyAttempted
		}
		isBetterTier := best.replica == nil || candidate.tier < bestRank.tier
		if isBetterTier {
			best.tierHasCapacity = false
		}
		if isBetterTier || candidate.tier == bestRank.tier {
			best.tierHasCapacity = best.tierHasCapacity || s.hasCapacity(now, r, latency)
		}
		if best.replica == nil || candidate.compare(bestRank) < 0 {
			best.replica = r
			bestRank = candidate
		}
	}
	return best
}

// rankReplica returns the rank of a replica for a part. It draws exactly one random number.
func (s *Scheduler) rankReplica(now float64, r *replica, p *part, latency float64, callsAreExpensive bool) rank {
	result := rank{
		tier:     tierHealthy,
		calls:    float64(r.callsInFlight),
		tieBreak: latency + failureTieWeight*s.decayedEstimate(r.outliers.failureRate, now) + tieNoise*s.random.Float64(),
	}
	if callsAreExpensive && s.canJoinCall(r) {
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
	// A non-idempotent part is lost by one failure, so parts of other classes probe doubtful replicas. A slow replica
	// is preferred to a failing one.
	isAvoided, failureRate := s.isAvoidedByNonIdempotent(now, r, latency)
	if isAvoided {
		result.tier = tierAvoidedByNonIdempotent
		result.calls = 0
		result.tieBreak += failureRateWeight * failureRate
	}
	return result
}

// canJoinCall reports whether a part can join the call to a replica that was begun in this round.
func (s *Scheduler) canJoinCall(r *replica) bool {
	call := r.currentCall
	return r.currentRound == s.round && call.partsInFlight > 0 && call.parts < s.settings.MaxPartsPerCall
}

// hasCapacity reports whether a replica can be sent more work now: its circuit is closed, it is not queueing, and the
// cost in flight is below its limit. A replica without attempts of this broker in flight is sent one at any latency
// if pacing allows, so that queued parts cannot deadlock.
func (s *Scheduler) hasCapacity(now float64, r *replica, latency float64) bool {
	if now < r.circuitOpenUntil {
		return false
	}
	hasNothingInFlight := len(r.inFlight) == 0
	if hasNothingInFlight && s.isAllowedByPacing(now, r, latency) {
		return true
	}
	return latency <= s.latency.queueingLatency && (hasNothingInFlight || r.limit.costInFlight < r.limit.maxCost)
}

// isAllowedByPacing reports whether an attempt may go to a replica at which this broker has none in flight. In a
// large fleet one attempt of each broker would keep the queue of a congested replica full. So each broker sends one
// attempt in the time in which the replica serves one attempt of every broker. This may limit the broker with the
// most traffic more than necessary.
func (s *Scheduler) isAllowedByPacing(now float64, r *replica, latency float64) bool {
	if !s.isLargeFleet() || latency <= pacedReplicaLatency*s.latency.fleetMedian {
		return true
	}
	return now >= r.lastUsedAt+s.latency.baseline*float64(s.settings.BrokerCount)/assumedConcurrency
}
