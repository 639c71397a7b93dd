package core

import (
	"fmt"
	"math"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// Core is the state of one broker process.
type Core struct {
	scheduler *scheduler.Scheduler
	clock     Clock
	transport Transport
	endpoints EndpointList
	log       Log

	// From the settings; they do not change.
	classes         []scheduler.Class
	shardCount      int
	maxAttempts     int     // of a part; 0 for no limit
	maxOpen         int     // of openCount; 0 for no limit
	maxRetryAfterMs float64 // ms
	startWindowMs   float64 // ms after its decision within which an attempt begins

	lastID         uint64 // the last id that was given to a request or a part
	openRequests   map[uint64]*Request
	openRequestIDs map[string]bool // of requests
	parts          map[uint64]*partState
	openCount      int     // open requests and their parts
	finalAnswerBy  float64 // the latest deadline of requests submitted from now on
	counts         Counts

	inFlight             map[attemptKey]*Attempt // whose end has not been reported to the scheduler
	deadlines            deadlineHeap            // of attempts that have not ended
	endedAttempts        []endedAttempt          // to be reported to the scheduler in the next round
	disconnectedRequests []*Request              // to be reported to the scheduler in the next round
	timerAt              float64                 // when the scheduler's timer fires; +Inf for never

	// Under resharding.
	shardMap              *shardmap.Map // nil where placement is fixed
	partsByShard          map[shardmap.ShardID][]*partState
	pausedParts           []*partState // that wait for an epoch
	onNewerMap            func(epoch uint64)
	onMapChanged          func(*shardmap.Version)
	reshardingStats       ReshardingStats
	loggedDroppedVersions uint64 // as last logged
	notifiedEpoch         uint64 // of the map that the scheduler knows
}

// Options are what core needs beside the scheduler's settings.
type Options struct {
	MaxOpen int   // open requests and parts, together, beyond which Submit rejects; 0, the default, for no limit
	Clock   Clock // required
	Log     Log   // required

	// ShardMap is the map of shards under resharding. It must also be the Placement of the scheduler's settings. nil,
	// the default, where placement is fixed.
	ShardMap *shardmap.Map
}

// New makes a core and its scheduler, with the seed of its random choices. An error says which setting is out of its
// range.
func New(settings scheduler.Settings, seed uint64, options Options) (*Core, error) {
	c := &Core{
		clock: options.Clock,
		log:   options.Log,

		classes:         settings.Classes,
		shardCount:      settings.Shards,
		maxAttempts:     settings.MaxAttempts,
		maxOpen:         options.MaxOpen,
		maxRetryAfterMs: settings.MaxRetryAfter,
		startWindowMs:   startWindowMs(settings.DrainGrace),

		openRequests:   map[uint64]*Request{},
		openRequestIDs: map[string]bool{},
		parts:          map[uint64]*partState{},
		finalAnswerBy:  math.Inf(1),

		inFlight: map[attemptKey]*Attempt{},
		timerAt:  math.Inf(1),

		shardMap:     options.ShardMap,
		partsByShard: map[shardmap.ShardID][]*partState{},
		onNewerMap:   func(uint64) {},
	}
	var err error
	c.scheduler, err = scheduler.New(settings, seed, c)
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return c, nil
}

// Attach sets the transport and the endpoint list. It must be called before any other method.
func (c *Core) Attach(transport Transport, endpoints EndpointList) {
	c.transport = transport
	c.endpoints = endpoints
}

// SetFinalAnswerDeadline shortens the deadlines of requests submitted from now on to a time of the loop's clock, as the
// process ends then. The default is none.
func (c *Core) SetFinalAnswerDeadline(at float64) { c.finalAnswerBy = at }

// EndpointsChanged passes a change of the endpoint list to the scheduler.
func (c *Core) EndpointsChanged(kind scheduler.UpdateKind, entries []scheduler.Endpoint) {
	c.scheduler.EndpointsChanged(c.clock.Now(), kind, entries)
}

// OpenRequests is the number of requests that have not ended.
func (c *Core) OpenRequests() int { return len(c.openRequests) }

// Counts gives the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// RunRound runs the scheduling round that ends a wake-up: what happened is reported to the scheduler, it decides
// once, and the transport sends what it was given.
func (c *Core) RunRound() {
	now := c.clock.Now()
	c.expireAttempts(now)

	// The scheduler's actions may end further attempts, as Cancel does. Those are reported in the next round: an event
	// must not come while the scheduler is in the middle of another.
	ended := c.endedAttempts
	disconnected := c.disconnectedRequests
	c.endedAttempts = nil
	c.disconnectedRequests = nil
	for _, request := range disconnected {
		c.handleDisconnect(now, request)
	}
	for _, end := range ended {
		c.reportAttemptEnd(now, end)
	}

	c.fireTimer(now)
	c.scheduler.RunRound(now)
	c.transport.Flush()
	c.scheduleNextRound()
}

// fireTimer reports to the scheduler that its timer has fired, if it has.
func (c *Core) fireTimer(now float64) {
	if now >= c.timerAt {
		c.timerAt = math.Inf(1)
		c.scheduler.TimerFired(now)
	}
}

// scheduleNextRound asks for the next round: at once if there are ends to report, else for the scheduler's timer or the
// first deadline of an attempt, whichever is earlier.
func (c *Core) scheduleNextRound() {
	next := c.timerAt
	if len(c.deadlines) > 0 {
		next = min(next, c.deadlines[0].Deadline)
	}
	if len(c.endedAttempts) > 0 {
		next = 0
	}
	if !math.IsInf(next, 1) {
		c.clock.WakeAt(next)
	}
}
