package scheduler

import (
	"cmp"
	"slices"

	"ternstage/internal/decision/fleetshare"
)

const (
	// clientRetryPriorityFactor is the fraction of its priority that a query keeps which was asked before: part of its time
	// is gone, and what rejected it may last.
	clientRetryPriorityFactor = 0.25
	// shortClientRetryRatio is a share of the mean time that first tries are given. A client's repeat with less time left
	// than that was cut short by its class's deadline, which spans all tries of the client.
	shortClientRetryRatio = 0.97

	// A shard counts as congested when calls have waited there for more than a share of the objective:
	// baseQueueWaitShare for queries of no priority, and queueWaitSharePerPriority more at full priority.
	baseQueueWaitShare        = 0.06
	queueWaitSharePerPriority = 0.20
	// queuedWeightFactor is how much a part of a congested shard weighs among what may be missing.
	queuedWeightFactor = 1.5
	// availabilityObjectiveShare is the share of the objective for which a part waits for a replica to become
	// available.
	availabilityObjectiveShare = 0.5
	// baseFleetLimitShare is the share of the fleet's limit that queries of no priority may use; each unit of
	// priority adds a whole limit.
	baseFleetLimitShare = 0.5

	// weightTolerance allows for rounding in sums of weights, by half of what the platform allows.
	weightTolerance = 5e-5
)

// rejection is why a query is rejected at admission.
type rejection uint8

// The reasons for a rejection, in the order in which they are checked.
const (
	notRejected rejection = iota
	rejectedTooLate
	rejectedMissingParts
	rejectedOverLimit
	rejectedPacing
	rejectedThrottled
)

// admissionLoad is what admission weighs against a query.
type admissionLoad struct {
	priority      float64 // of the query, by that of the highest class
	limit         float64 // cost that the fleet carries for queries of this priority
	cost          float64 // of the query's parts
	queuedWeight  float64 // of parts by how long calls wait at their replicas
	missingWeight float64 // of parts that no replica would take in time
}

// QueryArrived takes a query. Its parts follow before the next round, which admits or rejects it.
func (s *Scheduler) QueryArrived(now float64, in Query) {
	s.recordArrival(now)
	if s.queries[in.ID] != nil {
		return
	}
	in.Class = max(in.Class, 0)
	if in.Class >= len(s.settings.Classes) {
		s.actions.Fail(in.ID)
		return
	}
	class := &s.settings.Classes[in.Class]
	q := &query{
		Query:           in,
		class:           class,
		arrivedAt:       now,
		objectiveAt:     now + class.LatencyObjective,
		priority:        class.PriorityWeight,
		awaitsAdmission: true,
	}
	s.lowerClientRetryPriority(now, q)
	if !s.tenants.admit(now, in.Tenant) {
		q.priority *= s.settings.OverQuotaFactor
	}
	s.openQueries = append(s.openQueries, q)
	s.newQueries = append(s.newQueries, q)
	s.queries[in.ID] = q
	s.queriesByGroup[in.QueryGroup] = q
}

// PartArrived takes a part of an open query; others are ignored.
func (s *Scheduler) PartArrived(now float64, in Part) {
	s.recordArrival(now)
	q := s.queriesByGroup[in.QueryGroup]
	if q == nil || s.settings.Placement.Group(in.Shard) < 0 || s.parts[in.ID] != nil {
		return
	}
	s.addPart(q, in)
	if !q.awaitsAdmission {
		q.awaitsAdmission = true
		s.newQueries = append(s.newQueries, q)
	}
}

// recordArrival counts a query or part for the retry and hedge budgets.
func (s *Scheduler) recordArrival(now float64) {
	s.arrivals.add(now, max(s.retryBudget.settings.Window, hedgeWindowMs))
}

// addPart makes a part of a query.
func (s *Scheduler) addPart(q *query, in Part) *part {
	p := &part{Part: in, query: q, cost: s.costs.costOf(&in)}
	if in.AtomicGroup > 0 {
		q.joinGroup(p)
	}
	q.parts = append(q.parts, p)
	s.parts[in.ID] = p
	return p
}

// lowerClientRetryPriority lowers the priority of a query that its client has asked before. The class's deadline spans all
// tries of a client: a repeat with less time left than first tries have is measured from its first try. This guards
// against retry storms; it may misjudge a repeat whose client is in a hurry.
func (s *Scheduler) lowerClientRetryPriority(now float64, q *query) {
	meanFirstMs := &s.firstTryMs[q.Class]
	remaining := q.Deadline - now
	if !q.ClientRetry {
		*meanFirstMs += (remaining - *meanFirstMs) * meanGain
		return
	}
	q.priority *= clientRetryPriorityFactor
	if remaining >= *meanFirstMs*shortClientRetryRatio {
		return
	}
	q.objectiveAt = min(q.objectiveAt, q.Deadline-q.class.Deadline+q.class.LatencyObjective)
	if q.objectiveAt < now+s.meanPartWorkMs() {
		q.priority *= q.class.LateFactor
	}
}

// admitNewQueries decides on the queries that arrived since the last round.
func (s *Scheduler) admitNewQueries(now float64) {
	for _, q := range s.newQueries {
		q.awaitsAdmission = false
		if !q.ended {
			s.admit(now, q)
		}
	}
	s.newQueries = s.newQueries[:0]
}

// admit rejects a query that would not be answered in time, or queues its parts.
func (s *Scheduler) admit(now float64, q *query) {
	if q.step == 0 {
		s.abandonCongestedParts(now, q)
	}
	load := s.measureLoad(now, q)
	q.expectedLastPartMs = fleetshare.ExpectedLastPartMs(s.latency.medianPartMs(), len(q.parts))
	rejected := notRejected
	if q.step == 0 {
		rejected = s.checkAdmission(now, q, load)
	}
	if rejected != notRejected && (s.fleetLimit.inFlight > load.limit || load.queuedWeight > 0) {
		s.lastOverloadAt = now
	}
	hasNoTimeLeft := now >= q.Deadline-s.answerMarginMs
	if rejected != notRejected || len(q.parts) == 0 || hasNoTimeLeft {
		s.finish(now, q)
		return
	}
	s.lastAdmittedAt = now
	s.enqueue(now, s.selectInitialParts(q))
}

// abandonCongestedParts gives up the parts whose shard is congested: the query does not wait for them.
func (s *Scheduler) abandonCongestedParts(now float64, q *query) {
	for _, p := range q.parts {
		if s.relativeQueueWait(now, p) > 1 {
			p.abandoned = true
		}
	}
}

// relativeQueueWait is for how long calls have waited at a part's replicas, relative to what its query's priority and
// objective allow; above 1 the shard is congested.
func (s *Scheduler) relativeQueueWait(now float64, p *part) float64 {
	q := p.query
	allowedShare := baseQueueWaitShare + queueWaitSharePerPriority*s.relativePriority(q)
	return s.queueWaitMs(now, p) / (q.class.LatencyObjective * allowedShare)
}

// relativePriority is a query's priority by that of the highest class.
func (s *Scheduler) relativePriority(q *query) float64 { return q.priority / s.maxPriority }

// measureLoad weighs what the replicas of a query's parts are doing.
func (s *Scheduler) measureLoad(now float64, q *query) admissionLoad {
	load := admissionLoad{priority: s.relativePriority(q)}
	availableBy := now + availabilityObjectiveShare*q.class.LatencyObjective
	for _, p := range q.parts {
		load.cost += p.cost
		load.queuedWeight += p.Weight * queuedWeightFactor * min(1, s.relativeQueueWait(now, p))
		if p.abandoned || !s.isAvailableBy(now, p, availableBy) {
			load.missingWeight += p.Weight
		}
	}
	load.limit = s.fleetLimit.maxCost * (baseFleetLimitShare + load.priority)
	return load
}

// checkAdmission sheds load, lowest priority first. Overload shows in calls that wait at the shards and, in a large
// fleet, in the cost in flight and in how much of what is sent is accepted. A query larger than the limit is
// admitted at a pace. Parts that would be missing are fatal unless the class may be answered without them.
func (s *Scheduler) checkAdmission(now float64, q *query, load admissionLoad) rejection {
	remaining := q.Deadline - s.answerMarginMs - now
	if s.deadlines.IsTooLate(remaining, q.expectedLastPartMs) {
		return rejectedTooLate
	}
	maxMissingWeight := 1 - q.class.MinCompleteness + weightTolerance
	if load.missingWeight > 0 && max(load.missingWeight, load.queuedWeight) > maxMissingWeight {
		return rejectedMissingParts
	}
	if s.fleetLimit.inFlight > load.limit {
		return rejectedOverLimit
	}
	// A query of n times the limit holds the next one back for n-1 times the median latency of a part.
	pacingMs := (load.cost/load.limit - 1) * s.latency.overloadMedian * s.latency.meanPartBaselineMs
	if now < s.lastAdmittedAt+pacingMs {
		return rejectedPacing
	}
	if s.throttle.ShouldReject(load.priority, s.random.Float64) {
		return rejectedThrottled
	}
	return notRejected
}

// selectInitialParts returns the parts that are asked at once. Where less than all makes an answer complete, these are
// the cheapest that suffice; the others become their reserve. Parts of an atomic group are asked together.
func (s *Scheduler) selectInitialParts(q *query) []*part {
	target := q.class.CompletenessTarget
	candidates := slices.Clone(q.parts)
	if q.step == 0 && target < 1 {
		slices.SortStableFunc(candidates, func(x, y *part) int {
			return cmp.Compare(x.cost*y.Weight, y.cost*x.Weight)
		})
	}
	asked := candidates[:0]
	weight := 0.0
	for _, p := range candidates {
		isGroupAsked := p.group != nil && p.group.asked
		p.reserve = q.step == 0 && weight >= target-weightTolerance && !isGroupAsked
		if p.abandoned {
			continue
		}
		weight += p.Weight
		if p.reserve {
			continue
		}
		asked = append(asked, p)
		if p.group != nil {
			p.group.asked = true
		}
	}
	return asked
}
