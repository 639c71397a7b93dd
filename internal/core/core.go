package core

import (
	"fmt"
	"math"
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

// Core is the state of one broker process.
type Core struct {
	scheduler *scheduler.Scheduler
	clock     Clock
	backend   Backend
	endpoints EndpointList
	log       Log

	// From the settings; they do not change.
	classes       []scheduler.Class
	shards        int
	maxAttempts   int     // of a part; 0 for no limit
	maxOpen       int     // of openCount; 0 for no limit
	maxRetryAfter float64 // ms
	startWindow   float64 // ms after its decision within which an attempt begins

	nextID        uint64 // the last id that was given to a request or a part
	requests      map[uint64]*Request
	requestIDs    map[string]bool // of requests
	parts         map[uint64]*partState
	openCount     int     // open requests and their parts
	finalAnswerBy float64 // the latest deadline of requests submitted from now on
	counts        Counts

	inFlight     map[attemptKey]*Attempt // whose end the scheduler has not been told
	deadlines    deadlineHeap            // of attempts that have not ended
	ended        []endedAttempt          // to be reported to the scheduler in the next round
	disconnected []*Request              // to be reported to the scheduler in the next round
	wakeAt       float64                 // when the scheduler's timer fires; +Inf for never

	// Under resharding.
	shardMap        *slicemap.Map // nil where placement is fixed
	partsByShard    map[slicemap.ShardID][]*partState
	paused          []*partState // that wait for an epoch
	onNewerMap      func(epoch uint64)
	onMapChanged    func(*slicemap.Version)
	resharding      ReshardingStats
	droppedVersions uint64 // as last logged
	notifiedEpoch   uint64 // of the map that the scheduler knows
}

// Options are what core needs beside the scheduler's settings.
type Options struct {
	MaxOpen int   // open requests and parts, together, beyond which Submit rejects; 0, the default, for no limit
	Clock   Clock // required
	Log     Log   // required

	// ShardMap is the map of shards under resharding. It must also be the Placement of the scheduler's settings. nil,
	// the default, where placement is fixed.
	ShardMap *slicemap.Map
}

// New makes a core and its scheduler, with the seed of its random choices. An error tells which setting is out of its
// range.
func New(s scheduler.Settings, seed uint64, o Options) (*Core, error) {
	c := &Core{classes: s.Classes, shards: s.Shards, maxAttempts: s.MaxAttempts, maxOpen: o.MaxOpen,
		maxRetryAfter: s.MaxRetryAfter, startWindow: maxStartWindowMs, clock: o.Clock, log: o.Log, requests: map[uint64]*Request{},
		parts: map[uint64]*partState{}, requestIDs: map[string]bool{},
		inFlight: map[attemptKey]*Attempt{}, finalAnswerBy: math.Inf(1), wakeAt: math.Inf(1),
		shardMap: o.ShardMap, partsByShard: map[slicemap.ShardID][]*partState{}, onNewerMap: func(uint64) {}}
	if s.DrainGrace > 0 {
		c.startWindow = min(c.startWindow, s.DrainGrace*startWindowRatio)
	}
	m, err := scheduler.New(s, seed, c)
	if err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	c.scheduler = m
	return c, nil
}

// Attach sets the back end and the endpoint list. It must be called before any other method.
func (c *Core) Attach(back Backend, list EndpointList) { c.backend, c.endpoints = back, list }

// SetFinalAnswerDeadline shortens the deadlines of requests submitted from now on to a time of the loop's clock, as the
// process ends then. The default is none.
func (c *Core) SetFinalAnswerDeadline(at float64) { c.finalAnswerBy = at }

// EndpointsChanged passes a change of the endpoint list to the scheduler.
func (c *Core) EndpointsChanged(kind scheduler.UpdateKind, entries []scheduler.Endpoint) {
	c.scheduler.EndpointsChanged(c.clock.Now(), kind, entries)
}

// OpenRequests is the number of requests that have not ended.
func (c *Core) OpenRequests() int { return len(c.requests) }

// Counts gives the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// RunRound ends a wake-up: all that happened is told to the module, then it decides once, then it goes out.
func (c *Core) RunRound() {
	now := c.clock.Now()
	c.expire(now)
	// What the module does may end further attempts (a cancel); those wait for the next turn, as its own
	// events come after its actions.
	ending, gone := c.ended, c.disconnected
	c.ended, c.disconnected = nil, nil
	for _, r := range gone {
		c.endDisconnected(now, r)
	}
	for _, e := range ending {
		a := e.attempt
		delete(c.inFlight, attemptKey{a.part.id, a.number})
		_, held := c.requests[a.part.request.queryID]
		c.scheduler.AttemptEnded(now, scheduler.AttemptResult{Part: a.part.id, Attempt: a.number, Replica: a.Backend,
			Outcome: e.outcome, Latency: now - a.sentAt, ConnectionOnly: a.ConnectionOnly,
			PartDone: e.outcome == scheduler.Succeeded || !held, RetryDelay: c.retryDelay(a, e.outcome)})
		if c.shardMap != nil && e.outcome != scheduler.Succeeded {
			c.reroute(now, a.part)
		}
		if r := a.part.request; r.disconnected && c.requests[r.queryID] == r && !slices.ContainsFunc(r.parts, (*partState).inFlight) {
			c.concludeDisconnected(r)
		}
	}
	if now >= c.wakeAt {
		c.wakeAt = math.Inf(1)
		c.scheduler.TimerFired(now)
	}
	c.scheduler.RunRound(now)
	c.backend.Flush()
	next := c.wakeAt
	if len(c.deadlines) > 0 {
		next = min(next, c.deadlines[0].Deadline)
	}
	if len(c.ended) > 0 {
		next = 0
	}
	if !math.IsInf(next, 1) {
		c.clock.WakeAt(next)
	}
}
