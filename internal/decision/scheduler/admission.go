package scheduler

import (
	"cmp"
	"slices"

	"ternstage/internal/decision/fleetshare"
)

const (
	// clientRetryPriorityFactor is the fraction of its priority that a client retry keeps. Part of the client's time
	// has passed, and the cause of the earlier rejection may persist.
	clientRetryPriorityFactor = 0.25
	// shortClientRetryRatio is a fraction of the mean time that first requests have until their deadline. A client
	// retry with less time than that is short of time: its client's earlier requests have used up part of the class's
	// deadline.
	shortClientRetryRatio = 0.97

	// A shard counts as congested when its calls have waited longer than a share of the latency objective. That share
	// is baseQueueWaitShare at priority 0 and grows by queueWaitSharePerPriority up to the highest priority.
	baseQueueWaitShare        = 0.06
	queueWaitSharePerPriority = 0.20
	// queuedWeightFactor scales the weight of parts of congested shards when it is compared with the weight that an
	// answer may lack.
	queuedWeightFactor = 1.5
	// availabilityObjectiveShare is the share of the latency objective within which a replica must become available
	// for a part; otherwise admission counts the part as missing.
	availabilityObjectiveShare = 0.5
	// baseFleetLimitShare is the share of the fleet's cost limit that queries of priority 0 may use. The relative
	// priority of a query is added to this share, so a relative priority of 1 adds the whole limit.
	baseFleetLimitShare = 0.5

	// weightTolerance allows for rounding errors in sums of weights. It is half the error that the platform accepts.
	weightTolerance = 5e-5
)

// rejection is the reason why admission rejects a query.
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

// admissionLoad is the load that admission compares with its limits for one query.
type admissionLoad struct {
	relativePriority float64 // the query's priority divided by the highest priority weight of all classes
	limit            float64 // cost in flight up to which queries of this priority are admitted
	cost             float64 // total cost of the query's parts
	queuedWeight     float64 // weight of the parts, scaled by the queue wait at their shards
	missingWeight    float64 // weight of the parts that no replica can take in time
}

// QueryArrived registers a query. The caller reports its parts before the next round, which admits or rejects the
// query. QueryArrived ignores a query whose id is in use, and fails a query of an unknown class.
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

// PartArrived adds a part to an open query. It ignores parts of unknown queries and shards, and duplicates.
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

// recordArrival counts a query or part toward the retry and hedge budgets.
func (s *Scheduler) recordArrival(now float64) {
	s.arrivals.add(now, max(s.retryBudget.settings.Window, hedgeWindowMs))
}

// addPart creates a part, assigns its cost and atomic group, and adds it to its query.
func (s *Scheduler) addPart(q *query, in Part) *part {
	p := &part{Part: in, query: q, cost: s.costs.costOf(&in)}
	if in.AtomicGroup > 0 {
		q.joinGroup(p)
	}
	q.parts = append(q.parts, p)
	s.parts[in.ID] = p
	return p
}

// lowerClientRetryPriority lowers the priority of client retries, which protects against retry storms. The class's
// deadline covers a client's first request and all of its client retries. If a client retry has less time left than
// first requests usually have, its latency objective is counted from the first request. Its priority falls further if
// this objective can no longer be met. A client retry may be misclassified if its client sets a shorter deadline.
// First requests only update the mean time left.
func (s *Scheduler) lowerClientRetryPriority(now float64, q *query) {
	meanTimeLeftMs := &s.meanFirstRequestTimeLeftMs[q.Class]
	remainingMs := q.Deadline - now
	if !q.ClientRetry {
		*meanTimeLeftMs += (remainingMs - *meanTimeLeftMs) * meanGain
		return
	}
	q.priority *= clientRetryPriorityFactor
	if remainingMs >= *meanTimeLeftMs*shortClientRetryRatio {
		return
	}
	q.objectiveAt = min(q.objectiveAt, q.Deadline-q.class.Deadline+q.class.LatencyObjective)
	if q.objectiveAt < now+s.meanPartWorkMs() {
		q.priority *= q.class.LateFactor
	}
}

// admitNewQueries admits or rejects the queries that arrived since the last round.
func (s *Scheduler) admitNewQueries(now float64) {
	for _, q := range s.newQueries {
		q.awaitsAdmission = false
		if !q.ended {
			s.admit(now, q)
		}
	}
	s.newQueries = s.newQueries[:0]
}

// admit rejects a query that would not be answered in time; otherwise it queues the query's parts.
func (s *Scheduler) admit(now float64, q *query) {
	if q.step == 0 {
		s.abandonCongestedParts(now, q)
	}
	load := s.measureLoad(now, q)
	q.expectedLastPartMs = fleetshare.ExpectedLastPartMs(s.latency.medianPartMs(), len(q.parts))
	reason := notRejected
	if q.step == 0 {
		reason = s.checkAdmission(now, q, load)
	}
	if reason != notRejected && (s.fleetLimit.costInFlight > load.limit || load.queuedWeight > 0) {
		s.lastOverloadAt = now
	}
	hasNoTimeLeft := now >= q.Deadline-s.answerMarginMs
	if reason != notRejected || len(q.parts) == 0 || hasNoTimeLeft {
		s.endStep(now, q)
		return
	}
	s.lastAdmittedAt = now
	s.enqueue(now, s.selectInitialParts(q))
}

// abandonCongestedParts abandons the parts of congested shards, so that the query does not wait for them.
func (s *Scheduler) abandonCongestedParts(now float64, q *query) {
	for _, p := range q.parts {
		if s.relativeQueueWait(now, p) > 1 {
			p.abandoned = true
		}
	}
}

// relativeQueueWait returns how long calls have waited at a part's replicas, divided by the wait that the priority
// and objective of its query allow. Above 1 the shard is congested.
func (s *Scheduler) relativeQueueWait(now float64, p *part) float64 {
	q := p.query
	allowedShare := baseQueueWaitShare + queueWaitSharePerPriority*s.relativePriority(q)
	return s.queueWaitMs(now, p) / (q.class.LatencyObjective * allowedShare)
}

// relativePriority returns a query's priority divided by the highest priority weight of all classes.
func (s *Scheduler) relativePriority(q *query) float64 { return q.priority / s.maxPriority }

// measureLoad returns the cost of a query's parts, the weight of those that are queued or missing, and the limit for
// the query's priority.
func (s *Scheduler) measureLoad(now float64, q *query) admissionLoad {
	load := admissionLoad{relativePriority: s.relativePriority(q)}
	availableBy := now + availabilityObjectiveShare*q.class.LatencyObjective
	for _, p := range q.parts {
		load.cost += p.cost
		load.queuedWeight += p.Weight * queuedWeightFactor * min(1, s.relativeQueueWait(now, p))
		if p.abandoned || !s.isAvailableBy(now, p, availableBy) {
			load.missingWeight += p.Weight
		}
	}
	load.limit = s.fleetLimit.maxCost * (baseFleetLimitShare + load.relativePriority)
	return load
}

// checkAdmission returns the reason why a query is rejected, or notRejected. It rejects queries of low priority
// first. Signs of overload are calls that wait at the shards and, in a large fleet, the cost in flight and the
// fraction of attempts that backends accept. A query whose cost exceeds the limit is admitted only after a pacing
// delay. A query with parts missing is rejected unless its class accepts an answer without them.
func (s *Scheduler) checkAdmission(now float64, q *query, load admissionLoad) rejection {
	remainingMs := q.Deadline - s.answerMarginMs - now
	if s.deadlines.IsTooLate(remainingMs, q.expectedLastPartMs) {
		return rejectedTooLate
	}
	maxMissingWeight := 1 - q.class.MinCompleteness + weightTolerance
	if load.missingWeight > 0 && max(load.missingWeight, load.queuedWeight) > maxMissingWeight {
		return rejectedMissingParts
	}
	if s.fleetLimit.costInFlight > load.limit {
		return rejectedOverLimit
	}
	// A query that costs n times the limit is rejected until n-1 times the median latency of a part has passed since
	// the last admission.
	pacingMs := (load.cost/load.limit - 1) * s.latency.overloadMedian * s.latency.meanPartBaselineMs
	if now < s.lastAdmittedAt+pacingMs {
		return rejectedPacing
	}
	if s.throttle.ShouldReject(load.relativePriority, s.random.Float64) {
		return rejectedThrottled
	}
	return notRejected
}

// selectInitialParts returns the parts to queue at once. If the class needs less than the whole weight for a complete
// answer, these are the parts with the lowest cost per weight that suffice, and the others become reserve parts. The
// parts of an atomic group are queued together.
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
