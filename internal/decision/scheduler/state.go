package scheduler

import (
	"math"
	"slices"
	"sort"

	"ternstage/internal/decision/fleetshare"
)

// What balance.go holds between events, and its tools. Nothing here decides.

// Scheduler is one co-ordinator's decisions. It shares nothing with others.
type Scheduler struct {
	s                    Settings
	act                  Actions
	rng                  uint64
	replicas             map[uint32]*replica
	order                []*replica // by id
	byCell               map[int][]*replica
	holders              [][]*replica    // by the layout's group; made when first asked for, nil before
	near                 []*shard        // by id, below nearShards: those that something was queued at
	far                  map[int]*shard  // the others, while something is
	active               []*shard        // those at which something is queued
	sorted               bool            // active is in order
	waits                map[int]float64 // by the layout's group: since when the oldest call is held there
	queries, fresh       []*query        // in order of arrival
	byID                 map[uint64]*query
	byGroup              map[int]*query
	parts                map[uint64]*part
	out                  map[[2]uint64]*attempt
	unit, hints          float64   // mean hint, and how many there were
	usual, calm          float64   // calm: the least usual latency of late
	first                []float64 // the first latencies, sorted
	fleet                float64   // the fleet's level: median over all results, 1 at least
	lastEnd, gap         float64   // time of the last result and mean time between them
	idleLost             stamp     // share of sends on idle connections that were lost lately
	sum                  fleetshare.ClientThrottle
	cold                 fleetshare.SlowStartQuota
	needs                fleetshare.DeadlineAdmission
	load, room, cutAt    float64       // cost out in all; what of it the fleet carries at its usual level; cut
	admitted, median     float64       // when the last query was let in; the level that tells overload
	ways                 map[int]stamp // by zone: the level of what comes from there, above 1
	bestWay              float64       // the least of them
	cores                float64       // ms of work in a ms that a warm replica was seen to do
	turn                 int
	wakeAt, jamAt        float64
	watchAt, watchWait   float64 // when to ask for the list again, and the delay after a failure
	taken, extra, copies window
	tenants              []stamp   // buckets
	tryTime              []float64 // what first tries of each class give us, in ms
	hold, callTime       float64   // level from which replicas are held against; usual time of a mean call
	born                 float64   // when its first list came
	handed               bool      // another process takes over: nothing more goes to cold replicas
	partTime             float64   // usual time of a part in its call
	leastAim, maxWorth   float64
	spare                float64 // ms
}

type attempt struct {
	part    *part
	no      int
	r       *replica
	call    *callOut
	sent    float64
	load    float64 // our cost out at the replica with it
	weight  float64 // its part of that; 0 once it has been passed
	ended   bool
	end     float64 // when that was told
	passed  bool    // a part sent later has come back: it is stuck by itself, not with its replica
	idle    float64 // ms for which the connection it went out on had not been used; 0 if new or in use
	late    bool    // it has been late
	copied  bool    // a second copy or a reserve part stands in for it already
	outcome Outcome
}

// callOut is a call that is out; a replica's load is counted in calls.
type callOut struct {
	left, size int
	cost       float64
}

type part struct {
	Part
	q                         *query
	cost                      float64
	live                      int // attempts out
	queued, in, reserve, over bool
	attempts                  []*attempt
	unit                      *unit   // nil if it counts by itself
	pause                     float64 // not tried again before
}

type query struct {
	Query
	class        *Class
	arrived, aim float64 // aim: until when an answer is worth all
	value        float64 // worth for work
	share        float64 // weight of the parts that are in
	parts        []*part
	last         float64 // what its last part was to take when it came
	step         int
	firstWhole   bool // the first step's answer was whole
	fresh, ended bool
}

type call struct {
	parts       []*part
	cost, since float64
}

type shard struct {
	fifo    [queues][]*call
	deficit [queues]float64
	id      int
	turn    int
	oldest  float64 // since when its oldest call is held, as of tidy
	active  bool    // it is in the list of those
}

type replica struct {
	Endpoint
	informed    float64 // when the list first called it draining or gone
	warmFrom    float64 // start of its cold ramp
	level, fail stamp   // latency as a multiple of usual, above 1; share of failures: both fade
	once        stamp   // the same for parts that must not run twice: only their own success clears it
	lost        bool    // refused or lost a connection and has not served since
	calls       int     // our calls out
	load        float64 // cost of our parts out
	room, cutAt float64 // cost out that it carries at its usual latency; when that was last cut
	shutUntil   float64 // it turned a part away as full
	used        float64 // when our connection to it last carried something; 0 if there is none
	badAt       float64 // when a part last came back, or was given up, so late that it made it a suspect
	trialAt     float64 // from then on one part may go there though it is one
	slow        bool    // it has been slow, and has not answered as its zone does since
	trials      int     // how many were slow in a row, above 0 while it is
	idleHung    bool    // a part on an idle connection has hung there, and nothing has come back since
	out         []*attempt
	turn        int
	turnCall    *callOut
	cold        []stamp // work sent in the window of the cold allowance, in ms
}

// stamp is a figure and the time at which it held.
type stamp struct{ at, v float64 }

// decay is what is left of it now, if it halves every half ms.
func decay(s stamp, now, half float64) float64 {
	if s.v == 0 {
		return 0 // most are, and the power is dear
	}
	return s.v * math.Exp2((s.at-now)/half)
}

// tells is how much a result says of whether the fleet takes what it is sent, 0 or 1: nothing if no answer
// came, as hung replicas and cut ways look like that too, if the part was never meant for the replica, or if
// it was turned away for its connection, as that says nothing of the replica's queue.
func (res AttemptResult) tells() float64 {
	if o := res.Outcome; o == TimedOut || o == Cancelled || o == NotSent || o == NotHolder || o == Rejected && res.ConnectionOnly {
		return 0
	}
	return 1
}

// countWarm is how many replicas are listed as ready and not known to be cold.
func (b *Scheduler) countWarm(now float64) (n int) {
	for _, r := range b.order {
		if r.State == Ready && b.warm(now, r) {
			n++
		}
	}
	return n
}

func (a *attempt) mayHaveRun() bool { return !a.ended || a.outcome < Rejected }

func (p *part) tried(r *replica) bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.r == r })
}

// dropParts takes the parts of a query out of the queues and cancels what is out.
func (b *Scheduler) dropParts(q *query) {
	for _, p := range q.parts {
		p.queued = false
		delete(b.parts, p.ID)
		b.cancel(p)
	}
	q.parts, q.share = nil, 0
}

// cancel stops waiting for what is out of a part.
func (b *Scheduler) cancel(p *part) {
	for _, a := range p.attempts {
		if !a.ended && b.s.CanCancel {
			b.act.Cancel(p.ID, a.no)
		}
	}
}

func (p *part) mayHaveRun() bool { return slices.ContainsFunc(p.attempts, (*attempt).mayHaveRun) }

// window holds the times of what a budget counts, in order.
type window []float64

// add notes a time and forgets what is older than span, and the rounding of a tick.
func (w *window) add(now, span float64) {
	*w = append((*w)[sort.SearchFloat64s(*w, now-span-1):], now)
}

func (w window) since(from float64) float64 { return float64(len(w) - sort.SearchFloat64s(w, from)) }

// random is a number in [0, 1) from the seed (splitmix64).
func (b *Scheduler) random() float64 {
	b.rng += 0x9e3779b97f4a7c15
	z := b.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
