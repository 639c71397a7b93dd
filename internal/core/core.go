package core

import (
	"fmt"
	"math"
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

// Core is one broker's state.
type Core struct {
	scheduler     *scheduler.Scheduler
	classes       []scheduler.Class
	shards        int
	maxAttempts   int
	maxOpen       int
	maxRetryAfter float64
	startWindow   float64 // ms after its decision within which an attempt begins
	clock         Clock
	backend       Backend
	endpoints     EndpointList
	log           Log

	nextID        uint64
	requests      map[uint64]*Request
	requestIDs    map[string]bool // of the requests held
	parts         map[uint64]*partState
	inFlight      map[attemptKey]*Attempt // by part and number: those not yet told to the module as ended
	deadlines     deadlineHeap            // of those that have not ended
	ended         []endedAttempt          // reported, and not yet told to the module
	disconnected  []*Request              // whose clients left
	openCount     int                     // queries and parts held
	finalAnswerBy float64                 // by then all is answered
	wakeAt        float64
	counts        Counts

	shardMap     *slicemap.Map // nil where slices do not move
	partsByShard map[slicemap.ShardID][]*partState
	paused       []*partState // those that pause for an epoch
	onNewerMap   func(epoch uint64)
	resharding   ReshardingStats

	onMapChanged    func(*slicemap.Version)
	droppedVersions uint64 // map versions, as of the last line that told of them
	notifiedEpoch   uint64 // of the map that the module knows
}

// Options are what core needs beside the module's settings.
type Options struct {
	MaxOpen  int // queries and parts held at most; 0 for no limit
	Clock    Clock
	Log      Log
	ShardMap *slicemap.Map // nil where slices do not move; else also the layout of the module's settings
}

// New makes the core and its module.
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

// Attach names the back end and the list.
func (c *Core) Attach(back Backend, list EndpointList) { c.backend, c.endpoints = back, list }

// SetFinalAnswerDeadline bounds the time of what is taken from now on: the program ends then.
func (c *Core) SetFinalAnswerDeadline(at float64) { c.finalAnswerBy = at }

// EndpointsChanged passes the list on.
func (c *Core) EndpointsChanged(kind scheduler.UpdateKind, entries []scheduler.Endpoint) {
	c.scheduler.EndpointsChanged(c.clock.Now(), kind, entries)
}

// OpenRequests is how many requests are held.
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
