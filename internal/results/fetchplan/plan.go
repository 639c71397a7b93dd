// Package fetchplan plans the reading of one page from many slices: how many rows to ask of each, whom to ask for
// more, whom to wait for no longer, and when to answer with what is in. It has no I/O and no clock; times are
// ms that the caller passes. Which replica is asked and whether an attempt is made again stays with the
// decision module.
package fetchplan

import (
	"math"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Options are what a plan goes by.
type Options struct {
	Limit             int     // rows of the page
	Floor             float64 // least share of weight for an answer: the class's, or the client's if that is stricter
	LatencyObjective  float64 // until when an answer is worth all
	Deadline          float64 // until when there must be one
	PartialWorth      float64 // worth of an answer that is not whole, for each share of weight that is in
	LateWorth         float64 // worth of one after the aim
	Margin            float64 // ms before the aim and the deadline by which the answer must be out
	MaxRowsPerRequest int     // of one ask: bounds what a slice may send at a time
}

const (
	evenShareFactor = 1.5 // x an even share of the page: what each slice is asked for first
	deviationFactor = 1.0 // x the root of that besides, as the shares of a page scatter like counts
	growthFactor    = 2   // x what was asked before: so many more rows of who has them next
	lateFactor      = 3.0 // x the median time of those that are in: a slice that takes longer is late
	minLateMs       = 5.0 // ms under which none is late, whatever the median
)

// state is where a part stands.
type state uint8

// The states of a part.
const (
	inFlight    state = iota // asked, and not answered
	answered                 // all that is needed of it so far is here
	abandoned                // waited for no longer; its weight is missing
	unavailable              // it cannot be had
)

type part struct {
	buckets     shardmap.Range
	weight      float64
	state       state
	requested   int // asked for in all, from the place of the page
	received    int // of them here
	hasMore     bool
	requestedAt float64 // when it was last asked
	read        bool    // it was in once: what it gave stands, though more of it is out
}

// Request is what a slice is to be asked for: so many rows in all from the page's place, of which so many are
// here.
type Request struct {
	Buckets        shardmap.Range
	Rows, Received int
}

// Plan is the reading of one page.
type Plan struct {
	options      Options
	parts        []*part
	latencies    []float64 // of the answers so far, in order
	rowsReceived int       // rows that came
	extraRounds  int
}

// New plans a page over these parts and gives the first asks.
func New(now float64, o Options, districts []shardmap.Range, weights []float64) (*Plan, []Request) {
	p := &Plan{options: o}
	first := p.firstRows(len(districts))
	asks := make([]Request, 0, len(districts))
	for i, d := range districts {
		p.parts = append(p.parts, &part{buckets: d, weight: weights[i], requested: first, requestedAt: now})
		asks = append(asks, Request{d, first, 0})
	}
	return p, asks
}

// firstRows is how many rows each of n slices is asked for first: an even share of the page and some more, as
// most pages then need a second round of a few slices only, and far less than a page of each is moved.
func (p *Plan) firstRows(n int) int {
	if n == 0 || p.options.Limit <= 0 {
		return min(p.options.Limit, 1)
	}
	even := float64(p.options.Limit) / float64(n)
	return p.boundRows(int(math.Ceil(evenShareFactor*even + deviationFactor*math.Sqrt(even))))
}

func (p *Plan) boundRows(rows int) int {
	rows = min(rows, p.options.Limit)
	if p.options.MaxRowsPerRequest > 0 {
		rows = min(rows, p.options.MaxRowsPerRequest)
	}
	return max(rows, 1)
}

func (p *Plan) find(d shardmap.Range) *part {
	if i := slices.IndexFunc(p.parts, func(x *part) bool { return x.buckets == d }); i >= 0 {
		return p.parts[i]
	}
	return nil
}

// RecordAnswer takes the rows of a slice, which has so many in all from the page's place by now, and perhaps more. It
// tells whether they are wanted: what comes from a slice that was dropped is not, or it would count and not
// be waited for.
func (p *Plan) RecordAnswer(now float64, d shardmap.Range, rows int, more bool) bool {
	x := p.find(d)
	if x == nil || x.state != inFlight {
		return false
	}
	p.rowsReceived += rows - x.received
	x.state, x.received, x.hasMore, x.read = answered, rows, more, true
	i, _ := slices.BinarySearch(p.latencies, now-x.requestedAt)
	p.latencies = slices.Insert(p.latencies, i, now-x.requestedAt)
	return true
}

// RecordFailure tells that a slice cannot be had. If it was read before, what it gave must not stand either: the rows
// that follow are not there, and a page that went past them would skip them.
func (p *Plan) RecordFailure(d shardmap.Range) {
	if x := p.find(d); x != nil && x.state != abandoned {
		x.state = unavailable
	}
}

// Reshard puts parts in the place of one whose slice was split or merged meanwhile: none of its rows stand,
// and all of its districts are asked for anew.
func (p *Plan) Reshard(now float64, d shardmap.Range, by []shardmap.Range) []Request {
	i := slices.IndexFunc(p.parts, func(x *part) bool { return x.buckets == d })
	if i < 0 || p.parts[i].state == abandoned {
		return nil
	}
	old := p.parts[i]
	p.parts = slices.Delete(p.parts, i, i+1)
	asks := make([]Request, 0, len(by))
	for _, r := range by {
		x := &part{buckets: r, weight: old.weight * float64(r.Size()) / float64(old.buckets.Size()),
			requested:   old.requested,
			requestedAt: now}
		p.parts = append(p.parts, x)
		asks = append(asks, Request{r, x.requested, 0})
	}
	return asks
}

// RequestMore asks those that the merge named for more rows: twice as many as before. Only they can still reach the
// page.
func (p *Plan) RequestMore(now float64, need []shardmap.Range) (asks []Request) {
	for _, d := range need {
		x := p.find(d)
		if x == nil || x.state != answered || !x.hasMore {
			continue
		}
		// So many more at least that one of them can come after those that were here.
		next := x.received + p.boundRows((growthFactor-1)*max(x.requested, 1))
		x.requested, x.state, x.requestedAt = min(next, x.received+p.options.Limit), inFlight, now
		asks = append(asks, Request{d, x.requested, x.received})
	}
	if len(asks) > 0 {
		p.extraRounds++
	}
	return asks
}

// weights are the weight that is in, and that is in or may still come.
func (p *Plan) weights() (in, could float64) {
	for _, x := range p.parts {
		switch x.state {
		case answered:
			in, could = in+x.weight, could+x.weight
		case inFlight:
			could += x.weight
		}
	}
	return in, could
}

// weightTolerance is what sums of weights may fall short by, as the platform's rules allow.
const weightTolerance = 1e-4

// Decision is what to do now.
type Decision struct {
	Done      bool             // merge what is in: nothing is waited for any more
	Hopeless  bool             // the floor cannot be reached: end it
	Abandoned []shardmap.Range // these are waited for no longer
	WakeAt    float64          // else ask again at this time at the latest
}

// Decide tells whether to wait. A late slice is dropped as soon as what is left reaches the floor and an
// answer in part is worth more than what waiting brings; never below the floor, and none before it is late
// but for want of time.
func (p *Plan) Decide(now float64) Decision {
	in, could := p.weights()
	if could < p.options.Floor-weightTolerance {
		return Decision{Done: true, Hopeless: true}
	}
	var out []*part
	for _, x := range p.parts {
		if x.state == inFlight {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return Decision{Done: true, Hopeless: in < p.options.Floor-weightTolerance || in == 0}
	}
	enough := in >= p.options.Floor-weightTolerance && in > 0
	last := p.options.Deadline - p.options.Margin
	if enough && p.options.PartialWorth*in >= p.options.LateWorth {
		// After the aim a whole answer is worth less than this one now.
		last = min(last, p.options.LatencyObjective-p.options.Margin)
	}
	if now >= last {
		if !enough {
			return Decision{Done: true, Hopeless: true}
		}
		return Decision{Done: true, Abandoned: p.drop(out)}
	}
	v := Decision{WakeAt: last}
	if !enough {
		return v // below the floor nothing is dropped, however late it is
	}
	// Who is late is dropped only once all that is out is: as long as one is waited for, the others cost
	// nothing.
	late := p.lateAfter()
	for _, x := range out {
		v.WakeAt = min(v.WakeAt, max(x.requestedAt+late, now+1))
		if now < x.requestedAt+late {
			return v
		}
	}
	// Waiting to the aim for slices that are late might make the answer whole; that they come is not to be
	// counted on once they are as late again.
	if now < out[0].requestedAt+2*late && p.options.PartialWorth < 1 {
		v.WakeAt = min(last, out[0].requestedAt+2*late)
		return v
	}
	return Decision{Done: true, Abandoned: p.drop(out)}
}

// lateAfter is after how many ms a slice is late: by the median of those that have answered.
func (p *Plan) lateAfter() float64 {
	if len(p.latencies) == 0 {
		return math.Inf(1)
	}
	return max(lateFactor*p.latencies[len(p.latencies)/2], minLateMs)
}

func (p *Plan) drop(out []*part) (d []shardmap.Range) {
	for _, x := range out {
		x.state = abandoned
		d = append(d, x.buckets)
	}
	return d
}

// Included tells whether what a slice gave is part of the answer.
func (p *Plan) Included(d shardmap.Range) bool {
	x := p.find(d)
	return x != nil && x.state == answered
}

// RowsReceived is how many rows came, Rounds how often slices were asked for more.
func (p *Plan) RowsReceived() int { return p.rowsReceived }

// ExtraRounds is how often slices were asked for more.
func (p *Plan) ExtraRounds() int { return p.extraRounds }
