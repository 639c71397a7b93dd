package fetchplan

import (
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
