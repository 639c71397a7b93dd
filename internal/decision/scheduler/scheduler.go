package scheduler

import (
	"errors"
	"math"
	"slices"

	"ternstage/internal/decision/fleetshare"
	"ternstage/internal/decision/splitmix"
)

// ErrNoActions is returned by New if its Actions are nil.
var ErrNoActions = errors.New("actions: missing")

// Scheduler takes the routing decisions of one broker.
type Scheduler struct {
	settings Settings
	actions  Actions
	random   splitmix.Source // numbers are drawn in a fixed order, so that a run can be replayed
	round    int             // number of the current round, from 1

	// Open work.
	queries        map[uint64]*query // by id
	queriesByGroup map[int]*query
	openQueries    []*query // in order of arrival
	newQueries     []*query // those that the next round admits or rejects
	parts          map[uint64]*part
	attempts       map[attemptKey]*attempt // in flight
	queues         queueTable

	// Replicas and their placement.
	replicas              replicaTable
	replicasByGroup       [][]*replica    // by placement group; nil until looked up
	oldestQueuedAtByGroup map[int]float64 // by placement group: when its oldest waiting call was queued
	poll                  endpointPoll

	// Estimates, limits and budgets.
	costs       costModel
	latency     latencyEstimator
	zones       zoneLatencies
	idle        idleConnections
	fleetLimit  fleetLimit
	slowStart   slowStart
	throttle    fleetshare.ClientThrottle
	deadlines   fleetshare.DeadlineAdmission
	tenants     tenantQuotas
	retryBudget retryBudget
	hedges      eventWindow // hedged requests and reassignments
	arrivals    eventWindow // queries and parts that arrived

	lastOverloadAt             float64   // time of the last rejection by a replica, or by admission because of load
	lastAdmittedAt             float64   // time of the last admission
	meanFirstRequestTimeLeftMs []float64 // by class: mean time between arrival and deadline of first requests
	maxPriority                float64   // highest priority weight of all classes
	answerMarginMs             float64   // how long before a query's deadline its final answer is sent
	timerAt                    float64   // when the timer is due; +Inf if none is set
}

// New creates the scheduler of one broker. The seed determines its random numbers. The error names the first setting
// that is out of range.
func New(settings Settings, seed uint64, actions Actions) (*Scheduler, error) {
	if actions == nil {
		return nil, ErrNoActions
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.MaxPartsPerCall = max(1, settings.MaxPartsPerCall)
	settings.BrokerCount = max(1, settings.BrokerCount)
	maxPriority, minObjectiveMs := classBounds(settings.Classes)
	return &Scheduler{
		settings:                   settings,
		actions:                    actions,
		random:                     splitmix.New(seed),
		queries:                    map[uint64]*query{},
		queriesByGroup:             map[int]*query{},
		parts:                      map[uint64]*part{},
		attempts:                   map[attemptKey]*attempt{},
		queues:                     newQueueTable(),
		replicas:                   newReplicaTable(),
		oldestQueuedAtByGroup:      map[int]float64{},
		poll:                       endpointPoll{dueAt: math.Inf(1)},
		latency:                    newLatencyEstimator(minObjectiveMs),
		zones:                      newZoneLatencies(),
		fleetLimit:                 newFleetLimit(),
		slowStart:                  newSlowStart(settings.SlowStart, settings.BrokerCount),
		throttle:                   fleetshare.NewClientThrottle(settings.BrokerCount),
		deadlines:                  fleetshare.NewDeadlineAdmission(settings.BrokerCount),
		tenants:                    newTenantQuotas(settings.TenantRates, settings.BrokerCount),
		retryBudget:                retryBudget{settings: settings.RetryBudget},
		lastOverloadAt:             math.Inf(-1),
		meanFirstRequestTimeLeftMs: make([]float64, len(settings.Classes)),
		maxPriority:                maxPriority,
		answerMarginMs:             finalAnswerMarginMs + settings.TimerResolution,
		timerAt:                    math.Inf(1),
	}, nil
}

// classBounds returns the highest priority weight of all classes and their shortest latency objective, in ms.
func classBounds(classes []Class) (maxPriority, minObjectiveMs float64) {
	minObjectiveMs = math.Inf(1)
	for _, class := range classes {
		maxPriority = max(maxPriority, class.PriorityWeight)
		minObjectiveMs = min(minObjectiveMs, class.LatencyObjective)
	}
	return maxPriority, minObjectiveMs
}

// RunRound takes all decisions that follow from the events since the last round. It polls the endpoint list, admits
// or rejects new queries, ends open ones or retries and hedges their parts, and sends the queued calls for which
// replicas have capacity.
func (s *Scheduler) RunRound(now float64) {
	s.round++
	s.slowStart.quota.Advance(now, s.countWarmReplicas)
	s.pollEndpointsIfDue(now)
	for _, queues := range s.queues.active {
		queues.refresh(now)
	}
	s.updateOldestQueued(now)
	s.admitNewQueries(now)
	s.processOpenQueries(now)
	s.releaseQueues(now)
	s.scheduleTimer(now)
}

// TimerFired reports that the timer has fired. The round that follows does the work.
func (s *Scheduler) TimerFired(now float64) {
	if now >= s.timerAt {
		s.timerAt = math.Inf(1)
	}
}

// scheduleTimer sets the timer for the next round unless an earlier one is set.
func (s *Scheduler) scheduleTimer(now float64) {
	next := s.poll.dueAt
	if len(s.openQueries) > 0 {
		next = min(next, now+openQueryIntervalMs)
	}
	if next < s.timerAt {
		s.timerAt = next
		s.actions.SetTimer(max(next-now, s.settings.TimerResolution))
	}
}

// removeEnded removes the queries that have ended from a slice, in place.
func removeEnded(queries []*query) []*query {
	return slices.DeleteFunc(queries, func(q *query) bool { return q.ended })
}
