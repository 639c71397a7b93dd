package fetchplan

import (
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Options are what the plan of a page depends on. Times are ms of the caller's clock.
type Options struct {
	Limit             int     // rows of the page
	Floor             float64 // least weight of an answer: the class's, or the client's if that is stricter
	LatencyObjective  float64 // time until which an answer has its full worth
	Deadline          float64 // time until which there must be an answer
	PartialWorth      float64 // worth of a partial answer, for each share of weight that is present
	LateWorth         float64 // worth of a complete answer after the latency objective
	Margin            float64 // ms before objective and deadline at which the answer must be sent
	MaxRowsPerRequest int     // bounds by how many rows a request exceeds the one before; 0 for no bound
}

// state is the state of a part.
type state uint8

const (
	inFlight    state = iota // requested and not answered
	answered                 // no further rows are requested
	abandoned                // no longer waited for; its weight is missing
	unavailable              // cannot be read; its weight is missing
)

// part is the share of the page that one shard answers.
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

// Request is what to request of a shard.
type Request struct {
	Buckets        shardmap.Range
	Rows, Received int
}

// Plan is the plan of one page.
type Plan struct {
	options      Options
	parts        []*part
	latencies    []float64 // ms; of all answers, ascending
	rowsReceived int
	extraRounds  int
}

// New plans a page over shards of given weights. It returns the first requests.
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

// find is the part with exactly these buckets, or nil.
func (p *Plan) find(d shardmap.Range) *part {
	if i := slices.IndexFunc(p.parts, func(x *part) bool { return x.buckets == d }); i >= 0 {
		return p.parts[i]
	}
	return nil
}

// RecordAnswer records that a shard answered with rows, counted from the position after which the page starts. It
// reports whether the answer is wanted; one of a shard that is not waited for must not be merged.
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

// RecordFailure records that a shard cannot be read. Rows that it gave before do not count either: without those that
// follow them the page would skip rows.
func (p *Plan) RecordFailure(d shardmap.Range) {
	if x := p.find(d); x != nil && x.state != abandoned {
		x.state = unavailable
	}
}

// Reshard replaces a shard by those that hold its buckets after a split or merge, and returns the requests for these.
// The rows of the old shard no longer count. A shard that is not part of the plan or is abandoned is left alone, and
// nil returned.
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

// Included reports whether the rows of a shard are part of the answer.
func (p *Plan) Included(d shardmap.Range) bool {
	x := p.find(d)
	return x != nil && x.state == answered
}

// RowsReceived is how many rows came, each counted once.
func (p *Plan) RowsReceived() int { return p.rowsReceived }

// ExtraRounds is how often shards were asked for more rows.
func (p *Plan) ExtraRounds() int { return p.extraRounds }
