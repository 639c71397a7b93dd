package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// queueThresholdRatio is R of Rein (Reda et al., "Rein: Taming Tail Latency in Key-Value Stores via Multiget
	// Scheduling", EuroSys 2017): the threshold of queue i is R to the power of i, in cost.
	queueThresholdRatio = 1.5
	// promotionObjectiveShare is the share of its class's objective after which a queued call jumps to the fastest
	// queue.
	promotionObjectiveShare = 0.5
	// denseShards bounds the ids of shards that keep their place in the round robin while nothing is queued.
	denseShards = 4096
	// callBufferSize is the number of calls of a query that are grouped without allocation.
	callBufferSize = 16
)

// queueRates are the rates of deficit round robin, in cost per round, from the fastest queue on.
var queueRates = [...]float64{5, 4, 3, 2}

const queueCount = len(queueRates)

// queuedCall is a group of parts of one query with the same replicas that waits to be sent in one call.
type queuedCall struct {
	parts    []*part
	cost     float64
	queuedAt float64
}

// shardQueues are the queues of one shard. Rein assigns a call to a queue by the cost of its query's bottleneck;
// deficit round robin drains them in proportion to their rates.
type shardQueues struct {
	shard        int
	fifo         [queueCount][]*queuedCall
	deficit      [queueCount]float64
	currentQueue int
	// oldestQueuedAt is since when its oldest call has been waiting, as of the beginning of the round.
	oldestQueuedAt float64
	isActive       bool // it is among the active ones
}

// queueTable holds the queues of all shards at which something is or was queued. The work of a round goes by the
// number of active shards, not by that of all.
type queueTable struct {
	dense    []*shardQueues       // by shard, below denseShards
	sparse   map[int]*shardQueues // the others, while something is queued there
	active   []*shardQueues       // those with something queued
	isSorted bool                 // active is in order of shards
}

func newQueueTable() queueTable { return queueTable{sparse: map[int]*shardQueues{}} }

// of returns the queues of a shard, or nil if nothing was queued there.
func (t *queueTable) queuesOf(shard int) *shardQueues {
	if shard < len(t.dense) {
		return t.dense[shard]
	}
	return t.sparse[shard]
}

// activate returns the queues of a shard to which a call is about to be added.
func (t *queueTable) activate(shard int, now float64) *shardQueues {
	queues := t.queuesOf(shard)
	if queues == nil {
		queues = &shardQueues{shard: shard}
		t.store(queues)
	}
	if !queues.isActive {
		queues.isActive = true
		queues.oldestQueuedAt = now
		t.active = append(t.active, queues)
		t.isSorted = false
	}
	return queues
}

func (t *queueTable) store(queues *shardQueues) {
	if queues.shard >= denseShards {
		t.sparse[queues.shard] = queues
		return
	}
	if missing := queues.shard + 1 - len(t.dense); missing > 0 {
		t.dense = append(t.dense, make([]*shardQueues, missing)...)
	}
	t.dense[queues.shard] = queues
}

// sortActive puts the active shards in order, so that a round does the same whatever came first.
func (t *queueTable) sortActive() {
	if t.isSorted {
		return
	}
	slices.SortFunc(t.active, func(x, y *shardQueues) int { return cmp.Compare(x.shard, y.shard) })
	t.isSorted = true
}

// dropIdle takes the shards at which nothing is queued off the active ones.
func (t *queueTable) dropIdle() {
	t.active = slices.DeleteFunc(t.active, func(queues *shardQueues) bool {
		if !queues.isEmpty() {
			return false
		}
		queues.isActive = false
		if queues.shard >= denseShards {
			delete(t.sparse, queues.shard)
		}
		return true
	})
}

func (q *shardQueues) isEmpty() bool {
	for i := range q.fifo {
		if len(q.fifo[i]) > 0 {
			return false
		}
	}
	return true
}

// refresh drops calls of which no part is wanted any more, promotes those that have waited too long to the fastest
// queue, and notes since when the oldest one has waited.
func (q *shardQueues) refresh(now float64) {
	q.oldestQueuedAt = now
	for queue := range q.fifo {
		q.fifo[queue] = q.refreshQueue(now, queue)
	}
}

// refreshQueue returns the calls that stay in a queue.
func (q *shardQueues) refreshQueue(now float64, queue int) []*queuedCall {
	calls := q.fifo[queue]
	staying := calls[:0]
	for _, call := range calls {
		if !call.isWanted() {
			continue
		}
		q.oldestQueuedAt = min(q.oldestQueuedAt, call.queuedAt)
		if queue > 0 && call.hasWaitedTooLong(now) {
			q.fifo[0] = append(q.fifo[0], call)
			continue
		}
		staying = append(staying, call)
	}
	clear(calls[len(staying):])
	return staying
}

func (c *queuedCall) isWanted() bool {
	return slices.ContainsFunc(c.parts, func(p *part) bool { return p.queued })
}

func (c *queuedCall) hasWaitedTooLong(now float64) bool {
	q := c.parts[0].query
	return now-q.arrivedAt > promotionObjectiveShare*q.class.LatencyObjective
}

// next is the queue that deficit round robin drains next, or -1 if all are empty.
func (q *shardQueues) nextQueue() int {
	waiting := 0
	for i, calls := range q.fifo {
		waiting += len(calls)
		if len(calls) == 0 {
			q.deficit[i] = 0
		}
	}
	for waiting > 0 {
		current := q.currentQueue
		if calls := q.fifo[current]; len(calls) > 0 && q.deficit[current] >= calls[0].cost {
			return current
		}
		q.currentQueue = (current + 1) % queueCount
		if len(q.fifo[q.currentQueue]) > 0 {
			q.deficit[q.currentQueue] += queueRates[q.currentQueue]
		}
	}
	return -1
}

// pop removes the first call of a queue and charges its cost.
func (q *shardQueues) pop(queue int) {
	calls := q.fifo[queue]
	q.deficit[queue] -= calls[0].cost
	calls[0] = nil // an idle shard must not keep its last queries in memory
	q.fifo[queue] = calls[1:]
}

// bottleneckQueue is the queue of a query's most expensive call: the first whose threshold is above the cost.
func bottleneckQueue(cost float64) int {
	queue := 0
	for threshold := queueThresholdRatio; cost >= threshold && queue < queueCount-1; threshold *= queueThresholdRatio {
		queue++
	}
	return queue
}

// slackQueue is the queue of a call that costs a ratio of the bottleneck: the one whose rate relative to the
// bottleneck's is nearest to the ratio, so that both finish together. It is never faster than the bottleneck's.
func slackQueue(bottleneck int, ratio float64) int {
	best := bottleneck
	smallestGap := 1.0
	for queue := bottleneck; queue < queueCount; queue++ {
		gap := math.Abs(ratio - queueRates[queue]/queueRates[bottleneck])
		if gap < smallestGap {
			best = queue
			smallestGap = gap
		}
	}
	return best
}

// enqueue groups parts with the same replicas into calls and queues the calls at their shards.
func (s *Scheduler) enqueue(now float64, parts []*part) {
	var buffer [callBufferSize]*queuedCall
	calls := s.groupIntoCalls(buffer[:0], now, parts)
	bottleneck := mostExpensive(calls)
	for _, call := range calls {
		queue := bottleneckQueue(bottleneck.cost)
		if call != bottleneck {
			queue = slackQueue(queue, call.cost/bottleneck.cost)
		}
		queues := s.queues.activate(call.parts[0].Shard, now)
		queues.fifo[queue] = append(queues.fifo[queue], call)
	}
}

// groupIntoCalls groups parts into calls, which it appends to calls. In a large fleet parts share a call only where
// calls are expensive: a batch lands on a queue that this broker's own counts do not show.
func (s *Scheduler) groupIntoCalls(calls []*queuedCall, now float64, parts []*part) []*queuedCall {
	maxParts := s.settings.MaxPartsPerCall
	if s.isLargeFleet() && !s.callsAreExpensive() {
		maxParts = 1
	}
	for _, p := range parts {
		call := s.findCall(calls, p, maxParts)
		if call == nil {
			call = &queuedCall{queuedAt: now}
			calls = append(calls, call)
		}
		call.parts = append(call.parts, p)
		call.cost = min(call.cost+p.cost, maxPartCost)
		p.queued = true
	}
	return calls
}

// mostExpensive is the call with the highest cost, the first of equals; nil if there is none.
func mostExpensive(calls []*queuedCall) *queuedCall {
	var most *queuedCall
	for _, call := range calls {
		if most == nil || call.cost > most.cost {
			most = call
		}
	}
	return most
}

// findCall is the first call that a part can join, or nil.
func (s *Scheduler) findCall(calls []*queuedCall, p *part, maxParts int) *queuedCall {
	placement := s.settings.Placement
	for _, call := range calls {
		if len(call.parts) < maxParts && placement.Group(call.parts[0].Shard) == placement.Group(p.Shard) {
			return call
		}
	}
	return nil
}

// releaseQueues sends what the replicas of the active shards take.
func (s *Scheduler) releaseQueues(now float64) {
	s.queues.sortActive()
	for _, queues := range s.queues.active {
		s.release(now, queues)
	}
	s.queues.dropIdle()
}

// release drains the queues of a shard while some replica of it takes more work.
func (s *Scheduler) release(now float64, queues *shardQueues) {
	for queue := queues.nextQueue(); queue >= 0; queue = queues.nextQueue() {
		call := queues.fifo[queue][0]
		selected := s.selectReplica(now, call.parts[0], call.cost, false)
		if selected.replica == nil || !selected.tierHasCapacity {
			return
		}
		for _, p := range call.parts {
			if p.queued && !s.dispatch(now, p, selected.replica) {
				return // the rules do not let it go yet
			}
		}
		queues.pop(queue)
	}
}
