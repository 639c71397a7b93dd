package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// queueThresholdRatio is the constant R of Rein (Reda et al., "Rein: Taming Tail Latency in Key-Value Stores via
	// Multiget Scheduling", EuroSys 2017). The threshold of queue i, counted from 1, is R to the power of i, in cost.
	queueThresholdRatio = 1.5
	// promotionObjectiveShare is the share of the class's latency objective, counted from the arrival of the query,
	// after which a queued call is promoted to the fastest queue.
	promotionObjectiveShare = 0.5
	// denseShards is the number of shard ids, from 0, whose queues are kept while they are empty. These shards also
	// keep their position in the round robin.
	denseShards = 4096
	// callBufferSize is the number of calls per query that are built without allocating a slice.
	callBufferSize = 16
)

// queueRates are the rates of the queues, from the fastest to the slowest: their quanta in deficit round robin, in
// cost per visit.
var queueRates = [...]float64{5, 4, 3, 2}

const queueCount = len(queueRates)

// queuedCall is a group of parts of one query with the same replicas that waits to be sent in one call.
type queuedCall struct {
	parts    []*part
	cost     float64
	queuedAt float64
}

// shardQueues holds the queues of one shard. Rein assigns a call to a queue by the cost of its query's bottleneck.
// Deficit round robin drains the queues in proportion to their rates.
type shardQueues struct {
	shard        int
	fifo         [queueCount][]*queuedCall
	deficit      [queueCount]float64
	currentQueue int
	// oldestQueuedAt is the time when the oldest queued call was queued, as of the beginning of the round.
	oldestQueuedAt float64
	isActive       bool // whether queueTable.active contains it
}

// queueTable holds the queues of the active shards, which are those with queued calls, and empty queues of dense
// shards. The work of a round is proportional to the number of active shards, not of all shards.
type queueTable struct {
	dense    []*shardQueues       // by shard id, below denseShards
	sparse   map[int]*shardQueues // the other shards, while they have queued calls
	active   []*shardQueues       // shards with queued calls
	isSorted bool                 // whether active is sorted by shard id
}

func newQueueTable() queueTable { return queueTable{sparse: map[int]*shardQueues{}} }

// queuesOf returns the queues of a shard, or nil if it has none.
func (t *queueTable) queuesOf(shard int) *shardQueues {
	if shard < len(t.dense) {
		return t.dense[shard]
	}
	return t.sparse[shard]
}

// activate returns the queues of a shard and adds them to the active ones. The caller then queues a call there.
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

// sortActive sorts the active shards by id, so that a round does not depend on the order in which they became active.
func (t *queueTable) sortActive() {
	if t.isSorted {
		return
	}
	slices.SortFunc(t.active, func(x, y *shardQueues) int { return cmp.Compare(x.shard, y.shard) })
	t.isSorted = true
}

// dropIdle removes the shards without queued calls from the active ones.
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

// refresh drops the calls of which no part is queued any more, promotes the calls that have waited too long to the
// fastest queue, and updates oldestQueuedAt.
func (q *shardQueues) refresh(now float64) {
	q.oldestQueuedAt = now
	for queue := range q.fifo {
		q.fifo[queue] = q.refreshQueue(now, queue)
	}
}

// refreshQueue does the work of refresh for one queue and returns the calls that stay in that queue.
func (q *shardQueues) refreshQueue(now float64, queue int) []*queuedCall {
	calls := q.fifo[queue]
	staying := calls[:0]
	for _, call := range calls {
		if !call.hasQueuedPart() {
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

func (c *queuedCall) hasQueuedPart() bool {
	return slices.ContainsFunc(c.parts, func(p *part) bool { return p.queued })
}

func (c *queuedCall) hasWaitedTooLong(now float64) bool {
	q := c.parts[0].query
	return now-q.arrivedAt > promotionObjectiveShare*q.class.LatencyObjective
}

// nextQueue returns the queue whose first call deficit round robin releases next, or -1 if all queues are empty.
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

// pop removes the first call of a queue and subtracts its cost from the queue's deficit.
func (q *shardQueues) pop(queue int) {
	calls := q.fifo[queue]
	q.deficit[queue] -= calls[0].cost
	calls[0] = nil // otherwise an idle shard would keep its last queries in memory
	q.fifo[queue] = calls[1:]
}

// bottleneckQueue returns the queue for a query's bottleneck, which is its most expensive call: the first queue whose
// threshold exceeds the cost, or the last queue if none does.
func bottleneckQueue(cost float64) int {
	queue := 0
	for threshold := queueThresholdRatio; cost >= threshold && queue < queueCount-1; threshold *= queueThresholdRatio {
		queue++
	}
	return queue
}

// slackQueue returns the queue for a call other than the bottleneck. fastest is the bottleneck's queue, and ratio is
// the call's cost divided by the bottleneck's. slackQueue chooses the queue whose rate, divided by that of the
// bottleneck's queue, is nearest to the ratio, so that both calls finish together. The queue is never faster than the
// bottleneck's.
func slackQueue(fastest int, ratio float64) int {
	best := fastest
	smallestGap := 1.0
	for queue := fastest; queue < queueCount; queue++ {
		gap := math.Abs(ratio - queueRates[queue]/queueRates[fastest])
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

// groupIntoCalls groups parts into calls, which it appends to calls. In a large fleet parts share a call only if
// calls are expensive, because a broker cannot see from its own attempts how long the queue is that a large call
// would join.
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

// mostExpensive returns the call with the highest cost, the first of several equal ones, or nil if there are no
// calls.
func mostExpensive(calls []*queuedCall) *queuedCall {
	var most *queuedCall
	for _, call := range calls {
		if most == nil || call.cost > most.cost {
			most = call
		}
	}
	return most
}

// findCall returns the first call that a part can join, or nil.
func (s *Scheduler) findCall(calls []*queuedCall, p *part, maxParts int) *queuedCall {
	placement := s.settings.Placement
	for _, call := range calls {
		if len(call.parts) < maxParts && placement.Group(call.parts[0].Shard) == placement.Group(p.Shard) {
			return call
		}
	}
	return nil
}

// releaseQueues sends the queued calls of the active shards for which replicas have capacity.
func (s *Scheduler) releaseQueues(now float64) {
	s.queues.sortActive()
	for _, queues := range s.queues.active {
		s.release(now, queues)
	}
	s.queues.dropIdle()
}

// release sends queued calls of a shard as long as a replica of the best tier has capacity.
func (s *Scheduler) release(now float64, queues *shardQueues) {
	for queue := queues.nextQueue(); queue >= 0; queue = queues.nextQueue() {
		call := queues.fifo[queue][0]
		selected := s.selectReplica(now, call.parts[0], call.cost, false)
		if selected.replica == nil || !selected.tierHasCapacity {
			return
		}
		for _, p := range call.parts {
			if p.queued && !s.dispatch(now, p, selected.replica) {
				return // the rules on sending do not allow it yet
			}
		}
		queues.pop(queue)
	}
}
