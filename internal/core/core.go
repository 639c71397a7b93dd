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
	maxAttempts     int     // per part; 0 for no limit
	maxOpen         int     // limit of openCount; 0 for no limit
	maxRetryAfterMs float64 // longest delay that a rejected client is given
	startWindowMs   float64 // time from the decision on an attempt until it must begin

	lastID         uint64                // last id assigned to a request or a part
	openRequests   map[uint64]*Request   // by queryID
	openRequestIDs map[string]bool       // the clients' ids of openRequests
	parts          map[uint64]*partState // by id; without the parts withdrawn after a disconnect
	openCount      int                   // number of open requests plus number of their parts
	finalAnswerBy  float64               // limit of the deadlines of requests, applied when they are submitted; ms
	counts         Counts

	inFlight             map[attemptKey]*Attempt // attempts whose end the scheduler does not know yet
	deadlines            deadlineHeap            // attempts that have not ended
	endedAttempts        []endedAttempt          // to be reported to the scheduler in the next round
	disconnectedRequests []*Request              // to be reported to the scheduler in the next round
	timerAt              float64                 // when the scheduler's timer fires, in ms of the clock; +Inf for never

	// Under resharding.
	shardMap              *shardmap.Map // nil where placement is fixed
	partsByShard          map[shardmap.ShardID][]*partState
	pausedParts           []*partState            // parts that wait for a newer map before a retry
	onNewerMap            func(epoch uint64)      // called when a client or a backend knows a newer map
	onMapChanged          func(*shardmap.Version) // called after a new version has been taken into use; nil for none
	reshardingStats       ReshardingStats
	loggedDroppedVersions uint64 // total of dropped map versions when it was last logged
	notifiedEpoch         uint64 // epoch of the last map that the scheduler was notified of
}

// Options configure a Core, in addition to the scheduler's settings.
type Options struct {
	MaxOpen int   // limit of open requests plus their parts, beyond which Submit rejects; 0, the default, for none
	Clock   Clock // required
	Log     Log   // required

	// ShardMap is the shard map under resharding. It must also be the Placement of the scheduler's settings. It is
	// nil, the default, where placement is fixed.
	ShardMap *shardmap.Map
}

// New makes a Core and its scheduler. The seed determines the scheduler's random choices. The error names the setting
// that is out of range.
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

// SetFinalAnswerDeadline limits the deadlines of requests submitted from now on to the given time, at which the
// process ends, in ms of the loop's clock. By default there is no limit.
func (c *Core) SetFinalAnswerDeadline(at float64) { c.finalAnswerBy = at }

// EndpointsChanged passes an update of the endpoint list from discovery to the scheduler.
func (c *Core) EndpointsChanged(kind scheduler.UpdateKind, entries []scheduler.Endpoint) {
	c.scheduler.EndpointsChanged(c.clock.Now(), kind, entries)
}

// EndpointsOverridden passes backends that operators have suspended or resumed to the scheduler.
func (c *Core) EndpointsOverridden(entries []scheduler.Endpoint) {
	c.scheduler.EndpointsOverridden(c.clock.Now(), entries)
}

// OpenRequests returns the number of requests that have not ended.
func (c *Core) OpenRequests() int { return len(c.openRequests) }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// RunRound runs the scheduling round that ends a wake-up: core reports the events to the scheduler, the scheduler
// decides once, and the transport sends the attempts that it was given.
func (c *Core) RunRound() {
	now := c.clock.Now()
	c.expireAttempts(now)

	// The scheduler's actions may end further attempts, as Cancel does. Those ends are reported in the next round,
	// because the scheduler must not receive an event while it handles another.
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

// fireTimer reports TimerFired to the scheduler if its timer is due.
func (c *Core) fireTimer(now float64) {
	if now >= c.timerAt {
		c.timerAt = math.Inf(1)
		c.scheduler.TimerFired(now)
	}
}

// scheduleNextRound requests the next round: at once if ends of attempts are to be reported, otherwise at the
// scheduler's timer or the first deadline of an attempt, whichever is earlier.
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
