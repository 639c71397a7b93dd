// Package world plays an experiment: nodes, the list of them, the catalogue with the true map, troubles and
// clients, round brokers. In virtual time the brokers are the real core and decision module, with no socket
// and no sleep, many in one process, and one seed gives one history on any machine. Live, they are processes,
// and the same world stands behind sockets on loopback.
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
	origin    = 1e6    // ms: the clock at the start; 0 means long ago to some
	tail      = 8000.0 // ms after the last arrival until all must be over
	netLeast  = 0.2    // ms one way
	netMost   = 1.0
	askWithin = 10_000.0 // ms, of the settings: not having asked for so long counts as being told
	forget    = 30_000.0 // ms after which nothing of a query can come any more
)

// broker is a broker as the world sees it.
type broker interface {
	id() string
	number() int
	process() int // counts its starts
	up() bool     // it runs and serves
	start(cached *shardmap.Version)
	kill()
	take(q *query, r *core.Request) error // an error tells that it was not taken
	told(upTo int)                        // it may know the news of the list up to there
	reset(n *node)                        // a node's process has ended
	cut(off bool)                         // its links to all nodes, and they are back
	sum(r *result.Summary)
}

// event is something that happens at a time; of one time, in the order in which it was set.
type event struct {
	at  float64
	seq uint64
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
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
	queue events
	dirty []*virtual

	// Each part of the world draws from a source of its own, so that arms of one day see the same clients.
	load, net, world *rand.Rand

	check   *check.Checker
	sums    *ledger.Ledger
	fleet   *fleet
	brokers []broker
	queries map[string]*query
	byID    int
	latency *hdrhistogram.Histogram
	worth   [2]float64 // had, asked
	stale   int
	end     float64

	live      *live // nil in virtual time
	catalogue string
	stopped   bool

	// Fault is for tests of the checkers: it may spoil what happens.
	Fault Fault
}

// fairFrom is how many queries of a broker must have ended for it to count in the index of fairness.
const fairFrom = 5

// Fault spoils a run on purpose, so that a checker can be seen to catch it.
type Fault struct {
	Unfenced    bool // nodes execute what they do not hold
	LoseAnswer  bool // now and then an answer reaches nobody
	MarkWhole   bool // answers are marked whole
	DropHit     bool // an answer lacks its last value
	OtherValue  bool // an answer has a value of another query
	TwiceValue  bool // an answer has a value twice
	IgnoreDrain bool // the module is not told of drains
	HideStart   bool // brokers are not told of starts
	Twin        bool // a part goes out twice at once
}

// New makes a run of an experiment.
func New(e *exp.Experiment, seed uint64) *World {
	s := &World{e: e, now: origin, load: rand.New(rand.NewPCG(seed, 1)), net: rand.New(rand.NewPCG(seed, 2)),
		world: rand.New(rand.NewPCG(seed, 3)), check: check.New(), queries: map[string]*query{},
		latency: hdrhistogram.New(1, 60_000_000, 3)}
	s.check.Copies = e.Copies
	if !e.Pushed {
		s.check.Unasked = askWithin
	}
	s.sums = ledger.New(e.Brokers)
	s.fleet = newFleet(s, seed)
	s.seed = seed
	s.end = origin + e.Seconds*1000
	return s
}

// at sets what happens at a time.
func (s *World) at(t float64, do func()) {
	s.seq++
	heap.Push(&s.queue, event{max(t, s.now), s.seq, do})
}

// hop is the time a message takes one way.
func (s *World) hop() float64 { return netLeast + (netMost-netLeast)*s.net.Float64() }

// way is the time a message takes from one zone to another.
func (s *World) way(a, b int) float64 {
	if a != b {
		return s.e.Cross.Draw(s.net)
	}
	return s.hop()
}

// Run plays it in virtual time to the end. tick, if any, is called once for each simulated second.
func (s *World) Run(tick func(second int, r result.Summary)) result.Summary {
	began := time.Now()
	s.mode = "sim"
	for i := range s.e.Brokers {
		s.brokers = append(s.brokers, newVirtual(s, i))
	}
	s.fleet.start()
	for _, b := range s.brokers {
		b.start(nil)
	}
	s.at(s.now+1500, s.arrive) // brokers have a map and a list by then
	next := s.now + 1000
	for len(s.queue) > 0 {
		if at := s.queue[0].at; at > s.end+tail {
			break
		} else if at > s.now {
			s.turns()
			if len(s.queue) == 0 || s.queue[0].at > at || s.queue[0].at < at {
				continue
			}
			for tick != nil && at >= next {
				tick(int((next-origin)/1000), s.Summary())
				next += 1000
			}
			s.now = at
		}
		heap.Pop(&s.queue).(event).do()
	}
	r := s.Summary()
	r.WallS = time.Since(began).Seconds()
	return r
}

// turns ends the moment: every broker to which something happened decides once.
func (s *World) turns() {
	for len(s.dirty) > 0 {
		list := s.dirty
		s.dirty = nil
		for _, b := range list {
			b.dirty = false
			if b.core != nil {
				b.core.RunRound()
			}
		}
	}
}

// Summary is what is known so far.
func (s *World) Summary() result.Summary {
	r := result.Summary{Mode: s.mode, Name: s.e.Name, Arm: s.e.Arm, Counts: s.check.Counts, Notes: s.check.Notes,
		Changes: s.fleet.changes, Epochs: int(s.fleet.truth.Current().Epoch), Stale: s.stale,
		P50: float64(s.latency.ValueAtQuantile(50)) / 1000, P99: float64(s.latency.ValueAtQuantile(99)) / 1000,
		SimulatedS: (s.now - origin) / 1000, Slices: s.fleet.truth.Current().Len()}
	r.Busy, r.BusyShare = s.sums.BusyParts()
	r.ColdUsed, r.ColdShort, r.Fairness = s.sums.All.Share(), s.sums.Short.Share(), s.sums.Fairness(fairFrom)
	if s.worth[1] > 0 {
		r.Worth = math.Round(s.worth[0]/s.worth[1]*1e6) / 1e6
	}
	for _, b := range s.brokers {
		b.sum(&r)
	}
	return r
}

// Ledger is what all brokers together have done so far.
func (s *World) Ledger() *ledger.Ledger { return s.sums }

// query is what a client asked and what became of it. It implements core.Client.
type query struct {
	sim   *World
	ask   *check.Ask
	class exp.Class
	work  []float64 // by part
	due   float64   // when it was first to be sent
	first bool
	tries int
	epoch uint64 // of the map by which its parts are named
	b     broker
	gen   int
	over  bool
}

// arrive lets the next query come; arrivals do not wait for answers.
func (s *World) arrive() {
	if s.now >= s.end {
		return
	}
	s.at(s.now+s.load.ExpFloat64()*1000/s.e.Rate, s.arrive)
	x, i := s.load.Float64(), 0
	for ; i < len(s.e.Classes)-1 && x >= s.e.Classes[i].Share; i++ {
		x -= s.e.Classes[i].Share
	}
	c := s.e.Classes[i]
	n := int(c.Parts[0]) + s.load.IntN(int(c.Parts[1]-c.Parts[0])+1)
	// The client's own idea of the slices is old.
	v := s.fleet.seen(s.now - s.e.Client.Draw(s.load))
	at, sum := v.ShardAt(s.load.IntN(v.Buckets)), 0.0
	q := &query{sim: s, class: c, due: s.now, first: true, ask: &check.Ask{Class: i, Once: c.Once(),
		Floor:    c.Floor,
		Deadline: s.now + c.Deadline*(0.6+0.4*s.load.Float64())}}
	for range min(n, v.Len()) {
		w := 0.5 + s.load.Float64()
		q.ask.Parts = append(q.ask.Parts, check.Part{Shard: at.ID, Weight: w, Districts: at.Range})
		q.work = append(q.work, c.Work.Draw(s.load))
		sum += w
		at = v.ShardAt(at.End % v.Buckets)
	}
	for i := range q.ask.Parts {
		q.ask.Parts[i].Weight /= sum
	}
	s.worth[1] += c.Worth
	s.send(q, v.Epoch)
}

// send gives a query to a broker that is up, if there is one.
func (s *World) send(q *query, epoch uint64) {
	s.byID++
	first, asked := s.byID, len(s.brokers)-int(s.e.Traffic.Idle*float64(len(s.brokers)))
	if hot := s.e.Traffic.Hot; hot > 1 && s.load.Float64()*float64(asked) < hot {
		first = 0
	}
	for i := range asked {
		if b := s.brokers[(first+i)%asked]; b.up() {
			q.b, q.gen = b, b.process()
			break
		}
	}
	if q.b == nil {
		return
	}
	q.epoch = epoch
	q.ask.ID = fmt.Sprintf("q%08d", s.byID)
	r := &core.Request{ID: q.ask.ID, Class: q.ask.Class, Deadline: q.ask.Deadline, ClientRetry: !q.first,
		Epoch:   epoch,
		Payload: []byte("x"), Client: q}
	for i, p := range q.ask.Parts {
		r.Parts = append(r.Parts, core.Part{Shard: p.Shard, Weight: p.Weight, HasCostHint: true,
			CostHint: q.work[i] * (0.8 + 0.4*s.load.Float64())})
	}
	id := q.ask.ID
	s.queries[id] = q
	s.check.Asked(q.ask)
	if err := q.b.take(q, r); err != nil {
		q.rejected()
		return
	}
	s.at(q.ask.Deadline+100, func() { s.check.Over(id) })
	s.at(q.ask.Deadline+forget, func() {
		delete(s.queries, id)
		s.check.Forget(id)
	})
}

// rejected tells that a query was not taken: its client reads the map anew and asks again, once.
func (q *query) rejected() {
	s, id := q.sim, q.ask.ID
	s.check.Taken--
	s.check.Void(id)
	s.check.Over(id)
	delete(s.queries, id)
	if s.stale++; q.tries >= 1 {
		return
	}
	next, ask := *q, q.ask.Anew()
	next.tries++
	next.ask, next.b = ask, nil
	v := s.fleet.truth.Current()
	for i, p := range ask.Parts {
		now := v.ShardAt(p.Districts.Start)
		ask.Parts[i] = check.Part{Shard: now.ID, Weight: p.Weight, Districts: now.Range}
	}
	if distinct(ask.Parts) {
		s.send(&next, v.Epoch)
	}
}

func distinct(parts []check.Part) bool {
	seen := map[int]bool{}
	for _, p := range parts {
		if seen[p.Shard] {
			return false
		}
		seen[p.Shard] = true
	}
	return true
}

// Deliver implements core.Client.
func (q *query) Deliver(a core.Answer) {
	s, id := q.sim, q.ask.ID
	if q.over || q.gen != q.b.process() {
		return
	}
	if s.Fault.LoseAnswer && s.byID%50 == 0 {
		return
	}
	q.over = true
	switch a.Kind {
	case core.Rejected:
		s.check.Refusal(s.now, id)
		s.sums.Refused(q.b.number())
		q.again(a.RetryAfter)
	case core.Failed:
		s.check.Failure(s.now, id)
		s.sums.Failed(q.b.number())
	default:
		s.sums.Answered(q.b.number())
		hits := make([]check.Hit, 0, len(a.Values))
		for _, v := range a.Values {
			hits = append(hits, check.Hit{Shard: v.Shard, Districts: v.Buckets, Doc: string(v.Doc)})
		}
		if n := len(hits); n > 0 {
			switch {
			case s.Fault.DropHit:
				hits = hits[:n-1]
			case s.Fault.OtherValue:
				hits[n-1].Doc = model.Value("q0", hits[n-1].Districts)
			case s.Fault.TwiceValue:
				hits = append(hits, hits[n-1])
			}
		}
		share := s.check.Answer(s.now, id, a.Complete || s.Fault.MarkWhole, hits)
		_ = s.latency.RecordValue(int64((s.now - q.due) * 1000))
		worth := q.class.Worth
		if share < 1-1e-4 {
			worth *= q.class.Partial * share
		}
		if s.now > q.due+q.class.Aim {
			worth *= q.class.Late
		}
		s.worth[0] += worth
	}
}

// again asks once more after a refusal, as a client does: its time counts from the first try.
func (q *query) again(after float64) {
	s := q.sim
	at := s.now + max(after, 1)
	if q.tries >= s.e.Retries || at >= q.due+q.class.Deadline {
		return
	}
	next, ask := *q, q.ask.Anew()
	next.ask, next.first, next.over, next.b = ask, false, false, nil
	next.tries++
	ask.Deadline = q.due + q.class.Deadline
	s.at(at, func() { s.send(&next, next.epoch) })
}

// workOf is the work of districts of a query.
func (q *query) workOf(r shardmap.Range) float64 {
	for i, p := range q.ask.Parts {
		if p.Districts.Contains(r) {
			return q.work[i] * float64(r.Size()) / float64(p.Districts.Size())
		}
	}
	return 1
}
