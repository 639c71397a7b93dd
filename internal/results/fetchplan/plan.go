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
	Limit    int     // rows of the page
	Floor    float64 // least share of weight for an answer: the class's, or the client's if that is stricter
	Aim      float64 // until when an answer is worth all
	Deadline float64 // until when there must be one
	Partial  float64 // worth of an answer that is not whole, for each share of weight that is in
	Late     float64 // worth of one after the aim
	Spare    float64 // ms before the aim and the deadline by which the answer must be out
	MostRows int     // of one ask: bounds what a slice may send at a time
}

const (
	evenFirst = 1.5 // x an even share of the page: what each slice is asked for first
	spread    = 1.0 // x the root of that besides, as the shares of a page scatter like counts
	grow      = 2   // x what was asked before: so many more rows of who has them next
	lateAfter = 3.0 // x the median time of those that are in: a slice that takes longer is late
	lateLeast = 5.0 // ms under which none is late, whatever the median
)

// State is where a part stands.
type State uint8

// The states of a part.
const (
	Out     State = iota // asked, and not answered
	In                   // all that is needed of it so far is here
	Dropped              // waited for no longer; its weight is missing
	Missing              // it cannot be had
)

type part struct {
	districts shardmap.Range
	weight    float64
	state     State
	rows      int // asked for in all, from the place of the page
	got       int // of them here
	more      bool
	asked     float64 // when it was last asked
	read      bool    // it was in once: what it gave stands, though more of it is out
}

// Ask is what a slice is to be asked for: so many rows in all from the page's place, of which so many are
// here.
type Ask struct {
	Districts  shardmap.Range
	Rows, Have int
}

// Plan is the reading of one page.
type Plan struct {
	o      Options
	parts  []*part
	took   []float64 // of the answers so far, in order
	moved  int       // rows that came
	rounds int
}

// New plans a page over these parts and gives the first asks.
func New(now float64, o Options, districts []shardmap.Range, weights []float64) (*Plan, []Ask) {
	p := &Plan{o: o}
	first := p.first(len(districts))
	asks := make([]Ask, 0, len(districts))
	for i, d := range districts {
		p.parts = append(p.parts, &part{districts: d, weight: weights[i], rows: first, asked: now})
		asks = append(asks, Ask{d, first, 0})
	}
	return p, asks
}

// first is how many rows each of n slices is asked for first: an even share of the page and some more, as
// most pages then need a second round of a few slices only, and far less than a page of each is moved.
func (p *Plan) first(n int) int {
	if n == 0 || p.o.Limit <= 0 {
		return min(p.o.Limit, 1)
	}
	even := float64(p.o.Limit) / float64(n)
	return p.bound(int(math.Ceil(evenFirst*even + spread*math.Sqrt(even))))
}

func (p *Plan) bound(rows int) int {
	rows = min(rows, p.o.Limit)
	if p.o.MostRows > 0 {
		rows = min(rows, p.o.MostRows)
	}
	return max(rows, 1)
}

func (p *Plan) find(d shardmap.Range) *part {
	if i := slices.IndexFunc(p.parts, func(x *part) bool { return x.districts == d }); i >= 0 {
		return p.parts[i]
	}
	return nil
}

// Got takes the rows of a slice, which has so many in all from the page's place by now, and perhaps more. It
// tells whether they are wanted: what comes from a slice that was dropped is not, or it would count and not
// be waited for.
func (p *Plan) Got(now float64, d shardmap.Range, rows int, more bool) bool {
	x := p.find(d)
	if x == nil || x.state != Out {
		return false
	}
	p.moved += rows - x.got
	x.state, x.got, x.more, x.read = In, rows, more, true
	i, _ := slices.BinarySearch(p.took, now-x.asked)
	p.took = slices.Insert(p.took, i, now-x.asked)
	return true
}

// Lost tells that a slice cannot be had. If it was read before, what it gave must not stand either: the rows
// that follow are not there, and a page that went past them would skip them.
func (p *Plan) Lost(d shardmap.Range) {
	if x := p.find(d); x != nil && x.state != Dropped {
		x.state = Missing
	}
}

// Replace puts parts in the place of one whose slice was split or merged meanwhile: none of its rows stand,
// and all of its districts are asked for anew.
func (p *Plan) Replace(now float64, d shardmap.Range, by []shardmap.Range) []Ask {
	i := slices.IndexFunc(p.parts, func(x *part) bool { return x.districts == d })
	if i < 0 || p.parts[i].state == Dropped {
		return nil
	}
	old := p.parts[i]
	p.parts = slices.Delete(p.parts, i, i+1)
	asks := make([]Ask, 0, len(by))
	for _, r := range by {
		x := &part{districts: r, weight: old.weight * float64(r.Size()) / float64(old.districts.Size()),
			rows:  old.rows,
			asked: now}
		p.parts = append(p.parts, x)
		asks = append(asks, Ask{r, x.rows, 0})
	}
	return asks
}

// More asks those that the merge named for more rows: twice as many as before. Only they can still reach the
// page.
func (p *Plan) More(now float64, need []shardmap.Range) (asks []Ask) {
	for _, d := range need {
		x := p.find(d)
		if x == nil || x.state != In || !x.more {
			continue
		}
		// So many more at least that one of them can come after those that were here.
		next := x.got + p.bound((grow-1)*max(x.rows, 1))
		x.rows, x.state, x.asked = min(next, x.got+p.o.Limit), Out, now
		asks = append(asks, Ask{d, x.rows, x.got})
	}
	if len(asks) > 0 {
		p.rounds++
	}
	return asks
}

// shares are the weight that is in, and that is in or may still come.
func (p *Plan) shares() (in, could float64) {
	for _, x := range p.parts {
		switch x.state {
		case In:
			in, could = in+x.weight, could+x.weight
		case Out:
			could += x.weight
		}
	}
	return in, could
}

// slack is what sums of weights may fall short by, as the platform's rules allow.
const slack = 1e-4

// Verdict is what to do now.
type Verdict struct {
	Done     bool             // merge what is in: nothing is waited for any more
	Hopeless bool             // the floor cannot be reached: end it
	Drop     []shardmap.Range // these are waited for no longer
	At       float64          // else ask again at this time at the latest
}

// Decide tells whether to wait. A late slice is dropped as soon as what is left reaches the floor and an
// answer in part is worth more than what waiting brings; never below the floor, and none before it is late
// but for want of time.
func (p *Plan) Decide(now float64) Verdict {
	in, could := p.shares()
	if could < p.o.Floor-slack {
		return Verdict{Done: true, Hopeless: true}
	}
	var out []*part
	for _, x := range p.parts {
		if x.state == Out {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		return Verdict{Done: true, Hopeless: in < p.o.Floor-slack || in == 0}
	}
	enough := in >= p.o.Floor-slack && in > 0
	last := p.o.Deadline - p.o.Spare
	if enough && p.o.Partial*in >= p.o.Late {
		// After the aim a whole answer is worth less than this one now.
		last = min(last, p.o.Aim-p.o.Spare)
	}
	if now >= last {
		if !enough {
			return Verdict{Done: true, Hopeless: true}
		}
		return Verdict{Done: true, Drop: p.drop(out)}
	}
	v := Verdict{At: last}
	if !enough {
		return v // below the floor nothing is dropped, however late it is
	}
	// Who is late is dropped only once all that is out is: as long as one is waited for, the others cost
	// nothing.
	late := p.late()
	for _, x := range out {
		v.At = min(v.At, max(x.asked+late, now+1))
		if now < x.asked+late {
			return v
		}
	}
	// Waiting to the aim for slices that are late might make the answer whole; that they come is not to be
	// counted on once they are as late again.
	if now < out[0].asked+2*late && p.o.Partial < 1 {
		v.At = min(last, out[0].asked+2*late)
		return v
	}
	return Verdict{Done: true, Drop: p.drop(out)}
}

// late is after how many ms a slice is late: by the median of those that have answered.
func (p *Plan) late() float64 {
	if len(p.took) == 0 {
		return math.Inf(1)
	}
	return max(lateAfter*p.took[len(p.took)/2], lateLeast)
}

func (p *Plan) drop(out []*part) (d []shardmap.Range) {
	for _, x := range out {
		x.state = Dropped
		d = append(d, x.districts)
	}
	return d
}

// Stands tells whether what a slice gave is part of the answer.
func (p *Plan) Stands(d shardmap.Range) bool {
	x := p.find(d)
	return x != nil && x.state == In
}

// Moved is how many rows came, Rounds how often slices were asked for more.
func (p *Plan) Moved() int { return p.moved }

// Rounds is how often slices were asked for more.
func (p *Plan) Rounds() int { return p.rounds }
