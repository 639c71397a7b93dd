// Package world runs an experiment. It emulates what surrounds the brokers: backends, the endpoint list, the
// catalogue with the authoritative shard map, faults and clients. In virtual time the brokers are the real core
// and scheduler, many in one process without sockets or sleeps, and a seed gives the same history on every
// machine. In a live run the brokers are processes, and the same emulation serves them over loopback sockets.
package world

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/check"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/ledger"
	"ternstage/internal/lab/model"
	"ternstage/internal/lab/result"
)

const (
	clockStartMs      = 1e6    // not 0, which stands for a start long ago
	tailMs            = 8000.0 // after the last arrival, until all requests must have ended
	minNetworkDelayMs = 0.2    // one way
	maxNetworkDelayMs = 1.0
	askWithinMs       = 10_000.0 // a new process that has not polled the list for so long counts as notified; a setting
	forgetAfterMs     = 30_000.0 // after the deadline of a request, when nothing of it can arrive any more
)

// broker is a broker in the emulated environment: virtualBroker or processBroker.
type broker interface {
	id() string
	number() int
	generation() int // counts the ends of its process
	isUp() bool      // its process runs and accepts requests
	start(cached *shardmap.Version)
	kill()
	submit(q *query, r *core.Request) error // fails if the broker does not accept the request
	notify(upTo int)                        // makes endpoint events visible, up to an index
	backendStopped(n *backend)              // the process of a backend has ended
	linksChanged()                          // its links to the backends were cut or restored
	addStats(r *result.Summary)
}

// event is a function that runs at a time; events of the same time run in the order of their scheduling.
type event struct {
	at  float64
	seq uint64
	run func()
}

// eventQueue is a heap of events. It implements heap.Interface.
type eventQueue []event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	(*h)[n] = event{}
	*h = (*h)[:n]
	return x
}

// World is one run.
type World struct {
	e     *exp.Experiment
	seed  uint64
	mode  string
	now   float64
	seq   uint64
	queue eventQueue
	dirty []*virtualBroker

	// Clients, network and faults draw from separate sources, so that all arms of an experiment see the same
	// clients.
	loadRand, networkRand, faultRand *rand.Rand

	check         *check.Checker
	ledger        *ledger.Ledger
	fleet         *fleet
	brokers       []broker
	queries       map[string]*query
	lastID        int
	latency       *hdrhistogram.Histogram
	weights       [2]float64 // priority weight that answers earned, and that requests offered
	staleRequests int
	endMs         float64

	live          *live // nil in virtual time
	catalogueAddr string
	stopped       bool

	// Fault makes a run break a rule, for tests of the checkers.
	Fault Fault
}

// minFairnessQueries is the number of ended queries from which a broker counts in the fairness index.
const minFairnessQueries = 5

// Fault makes a run break rules on purpose, to show that the checkers detect it.
type Fault struct {
	Unfenced         bool // backends run parts whose buckets they do not hold
	LoseAnswer       bool // some final answers are lost
	MarkComplete     bool // all answers are marked complete
	DropHit          bool // answers lack their last value
	ForeignValue     bool // answers contain a value of another query
	DuplicateValue   bool // answers contain their last value twice
	IgnoreDrain      bool // brokers are not notified that backends drain
	HideStarts       bool // brokers are not told when backends started
	DuplicateAttempt bool // some parts are sent twice at once
}

// New returns a run of an experiment.
func New(e *exp.Experiment, seed uint64) *World {
	s := &World{e: e, now: clockStartMs,
		loadRand: rand.New(rand.NewPCG(seed, 1)), networkRand: rand.New(rand.NewPCG(seed, 2)),
		faultRand: rand.New(rand.NewPCG(seed, 3)), check: check.New(), queries: map[string]*query{},
		latency: hdrhistogram.New(1, 60_000_000, 3)}
	s.check.AllowHedging = e.AllowHedging
	if !e.PushEndpoints {
		s.check.FirstPollMs = askWithinMs
	}
	s.ledger = ledger.New(e.Brokers)
	s.fleet = newFleet(s, seed)
	s.seed = seed
	s.endMs = clockStartMs + e.Seconds*1000
	return s
}

// schedule runs a function at a time, or now if that time has passed.
func (s *World) schedule(at float64, run func()) {
	s.seq++
	heap.Push(&s.queue, event{max(at, s.now), s.seq, run})
}

// networkDelay draws the one-way delay of a message within a zone.
func (s *World) networkDelay() float64 {
	return minNetworkDelayMs + (maxNetworkDelayMs-minNetworkDelayMs)*s.networkRand.Float64()
}

// zoneDelay draws the one-way delay of a message between two zones.
func (s *World) zoneDelay(a, b int) float64 {
	if a != b {
		return s.e.CrossZoneDelay.Draw(s.networkRand)
	}
	return s.networkDelay()
}

// Run runs the experiment in virtual time. It calls tick, unless nil, once for each simulated second.
func (s *World) Run(tick func(second int, r result.Summary)) result.Summary {
	startedAt := time.Now()
	s.mode = "sim"
	for i := range s.e.Brokers {
		s.brokers = append(s.brokers, newVirtualBroker(s, i))
	}
	s.fleet.scheduleEvents()
	for _, b := range s.brokers {
		b.start(nil)
	}
	s.schedule(s.now+1500, s.arrive) // by then the brokers have a shard map and an endpoint list
	next := s.now + 1000
	for len(s.queue) > 0 {
		if at := s.queue[0].at; at > s.endMs+tailMs {
			break
		} else if at > s.now {
			s.runRounds()
			if len(s.queue) == 0 || s.queue[0].at > at || s.queue[0].at < at {
				continue
			}
			for tick != nil && at >= next {
				tick(int((next-clockStartMs)/1000), s.Summary())
				next += 1000
			}
			s.now = at
		}
		heap.Pop(&s.queue).(event).run()
	}
	r := s.Summary()
	r.WallS = time.Since(startedAt).Seconds()
	return r
}

// runRounds runs a scheduling round of every broker that has had an event at this time.
func (s *World) runRounds() {
	for len(s.dirty) > 0 {
		brokers := s.dirty
		s.dirty = nil
		for _, b := range brokers {
			b.dirty = false
			if b.core != nil {
				b.core.RunRound()
			}
		}
	}
}

// Summary returns the results so far.
func (s *World) Summary() result.Summary {
	r := result.Summary{Mode: s.mode, Name: s.e.Name, Arm: s.e.Arm, Counts: s.check.Counts, Notes: s.check.Notes,
		Changes: s.fleet.changeCount, Epochs: int(s.fleet.shardMap.Current().Epoch), StaleRequests: s.staleRequests,
		P50Ms: float64(s.latency.ValueAtQuantile(50)) / 1000, P99Ms: float64(s.latency.ValueAtQuantile(99)) / 1000,
		SimulatedS: (s.now - clockStartMs) / 1000, Shards: s.fleet.shardMap.Current().Len()}
	r.PartsRejected, r.PartsRejectedShare = s.ledger.RejectedParts()
	r.WarmupUsed, r.WarmupUsedRejecting = s.ledger.Total.Share(), s.ledger.WhileRejecting.Share()
	r.Fairness = s.ledger.Fairness(minFairnessQueries)
	if s.weights[1] > 0 {
		r.EarnedShare = math.Round(s.weights[0]/s.weights[1]*1e6) / 1e6
	}
	for _, b := range s.brokers {
		b.addStats(&r)
	}
	return r
}

// Ledger returns the totals of all brokers so far.
func (s *World) Ledger() *ledger.Ledger { return s.ledger }

// query is a request of a client and its state. It implements core.Client.
type query struct {
	world    *World
	ask      *check.Request
	class    exp.Class
	work     []float64 // actual cost by part
	firstDue float64   // arrival of the first request; client retries keep it
	isFirst  bool
	retries  int
	epoch    uint64 // epoch of the shard map that its parts refer to
	broker   broker
	gen      int
	ended    bool
}

// arrive sends a new query and schedules the next arrival, which does not wait for answers.
func (s *World) arrive() {
	if s.now >= s.endMs {
		return
	}
	s.schedule(s.now+s.loadRand.ExpFloat64()*1000/s.e.Rate, s.arrive)
	pick, i := s.loadRand.Float64(), 0
	for ; i < len(s.e.Classes)-1 && pick >= s.e.Classes[i].Share; i++ {
		pick -= s.e.Classes[i].Share
	}
	c := s.e.Classes[i]
	n := int(c.Parts[0]) + s.loadRand.IntN(int(c.Parts[1]-c.Parts[0])+1)
	// The client's shard map may be stale.
	v := s.fleet.versionAt(s.now - s.e.ClientMapAge.Draw(s.loadRand))
	at, weightSum := v.ShardAt(s.loadRand.IntN(v.Buckets)), 0.0
	q := &query{world: s, class: c, firstDue: s.now, isFirst: true, ask: &check.Request{Class: i,
		NonIdempotent:   c.NonIdempotent(),
		MinCompleteness: c.MinCompleteness,
		Deadline:        s.now + c.Deadline*(0.6+0.4*s.loadRand.Float64())}}
	for range min(n, v.Len()) {
		weight := 0.5 + s.loadRand.Float64()
		q.ask.Parts = append(q.ask.Parts, check.Part{Shard: at.ID, Weight: weight, Buckets: at.Range})
		q.work = append(q.work, c.Work.Draw(s.loadRand))
		weightSum += weight
		at = v.ShardAt(at.End % v.Buckets)
	}
	for i := range q.ask.Parts {
		q.ask.Parts[i].Weight /= weightSum
	}
	s.weights[1] += c.PriorityWeight
	s.send(q, v.Epoch)
}

// send submits a query to a broker that is up, if there is one.
func (s *World) send(q *query, epoch uint64) {
	s.lastID++
	first, activeBrokers := s.lastID, len(s.brokers)-int(s.e.Traffic.IdleShare*float64(len(s.brokers)))
	if hot := s.e.Traffic.HotFactor; hot > 1 && s.loadRand.Float64()*float64(activeBrokers) < hot {
		first = 0
	}
	for i := range activeBrokers {
		if b := s.brokers[(first+i)%activeBrokers]; b.isUp() {
			q.broker, q.gen = b, b.generation()
			break
		}
	}
	if q.broker == nil {
		return
	}
	q.epoch = epoch
	q.ask.ID = fmt.Sprintf("q%08d", s.lastID)
	r := &core.Request{ID: q.ask.ID, Class: q.ask.Class, Deadline: q.ask.Deadline, ClientRetry: !q.isFirst,
		Epoch:   epoch,
		Payload: []byte("x"), Client: q}
	for i, p := range q.ask.Parts {
		r.Parts = append(r.Parts, core.Part{Shard: p.Shard, Weight: p.Weight, HasCostHint: true,
			CostHint: q.work[i] * (0.8 + 0.4*s.loadRand.Float64())})
	}
	id := q.ask.ID
	s.queries[id] = q
	s.check.RequestReceived(q.ask)
	if err := q.broker.submit(q, r); err != nil {
		q.retryStaleMap()
		return
	}
	s.schedule(q.ask.Deadline+100, func() { s.check.CloseRequest(id) })
	s.schedule(q.ask.Deadline+forgetAfterMs, func() {
		delete(s.queries, id)
		s.check.ForgetRuns(id)
	})
}

// retryStaleMap handles a request that the broker did not accept because of its shards. The client reads the
// current shard map and retries once.
func (q *query) retryStaleMap() {
	s, id := q.world, q.ask.ID
	s.check.Received--
	s.check.WaiveAnswer(id)
	s.check.CloseRequest(id)
	delete(s.queries, id)
	if s.staleRequests++; q.retries >= 1 {
		return
	}
	retry, ask := *q, q.ask.ClientRetry()
	retry.retries++
	retry.ask, retry.broker = ask, nil
	v := s.fleet.shardMap.Current()
	for i, p := range ask.Parts {
		now := v.ShardAt(p.Buckets.Start)
		ask.Parts[i] = check.Part{Shard: now.ID, Weight: p.Weight, Buckets: now.Range}
	}
	if areShardsDistinct(ask.Parts) {
		s.send(&retry, v.Epoch)
	}
}

// areShardsDistinct reports whether all parts name different shards.
func areShardsDistinct(parts []check.Part) bool {
	seen := map[int]bool{}
	for _, p := range parts {
		if seen[p.Shard] {
			return false
		}
		seen[p.Shard] = true
	}
	return true
}

// Deliver records the final answer. It implements core.Client.
func (q *query) Deliver(a core.Answer) {
	s, id := q.world, q.ask.ID
	if q.ended || q.gen != q.broker.generation() {
		return
	}
	if s.Fault.LoseAnswer && s.lastID%50 == 0 {
		return
	}
	q.ended = true
	switch a.Kind {
	case core.Rejected:
		s.check.RequestRejected(s.now, id)
		s.ledger.RequestRejected(q.broker.number())
		q.retryRejected(a.RetryAfter)
	case core.Failed:
		s.check.RequestFailed(s.now, id)
		s.ledger.RequestFailed(q.broker.number())
	default:
		s.ledger.RequestAnswered(q.broker.number())
		hits := make([]check.Value, 0, len(a.Values))
		for _, v := range a.Values {
			hits = append(hits, check.Value{Shard: v.Shard, Buckets: v.Buckets, Doc: string(v.Doc)})
		}
		if n := len(hits); n > 0 {
			switch {
			case s.Fault.DropHit:
				hits = hits[:n-1]
			case s.Fault.ForeignValue:
				hits[n-1].Doc = model.Value("q0", hits[n-1].Buckets)
			case s.Fault.DuplicateValue:
				hits = append(hits, hits[n-1])
			}
		}
		share := s.check.RequestAnswered(s.now, id, a.Complete || s.Fault.MarkComplete, hits)
		_ = s.latency.RecordValue(int64((s.now - q.firstDue) * 1000))
		weight := q.class.PriorityWeight
		if share < 1-1e-4 {
			weight *= q.class.PartialFactor * share
		}
		if s.now > q.firstDue+q.class.LatencyObjective {
			weight *= q.class.LateFactor
		}
		s.weights[0] += weight
	}
}

// retryRejected schedules a client retry of a rejected request. Its deadline counts from the first request.
func (q *query) retryRejected(afterMs float64) {
	s := q.world
	at := s.now + max(afterMs, 1)
	if q.retries >= s.e.ClientRetries || at >= q.firstDue+q.class.Deadline {
		return
	}
	retry, ask := *q, q.ask.ClientRetry()
	retry.ask, retry.isFirst, retry.ended, retry.broker = ask, false, false, nil
	retry.retries++
	ask.Deadline = q.firstDue + q.class.Deadline
	s.schedule(at, func() { s.send(&retry, retry.epoch) })
}

// workOf returns the work of a range of buckets of the query.
func (q *query) workOf(r shardmap.Range) float64 {
	for i, p := range q.ask.Parts {
		if p.Buckets.Contains(r) {
			return q.work[i] * float64(r.Size()) / float64(p.Buckets.Size())
		}
	}
	return 1
}
