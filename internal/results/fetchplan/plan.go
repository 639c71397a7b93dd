package fetchplan

import (
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Options are what the plan of a page depends on. Times are ms of the caller's clock.
type Options struct {
	Limit              int     // rows of the page
	MinCompleteness    float64 // least weight of an answer: the class's, or the client's if that is stricter
	LatencyObjectiveMs float64 // time until which an answer has its full worth
	DeadlineMs         float64 // time until which there must be an answer
	PartialFactor      float64 // worth of a partial answer, for each share of weight that is present
	LateFactor         float64 // worth of a complete answer after the latency objective
	MarginMs           float64 // ms before objective and deadline at which the answer must be sent
	MaxRowsPerRequest  int     // bounds by how many rows a request exceeds the one before; 0 for no bound
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
	buckets       shardmap.Range
	weight        float64
	state         state
	requested     int     // rows, from the position after which the page starts
	received      int     // rows of the last answer
	hasMore       bool    // the shard has rows after those received
	requestedAtMs float64 // ms; of the last request
}

// Request is what to request of a shard.
type Request struct {
	Buckets  shardmap.Range
	Rows     int // from the position after which the page starts
	Received int // how many of these have been received before
}

// Plan is the plan of one page.
type Plan struct {
	options      Options
	parts        []*part
	latenciesMs  []float64 // ms; of all answers, ascending
	rowsReceived int
	extraRounds  int
}

// New plans a page over shards of given weights. It returns the first requests.
func New(nowMs float64, options Options, shards []shardmap.Range, weights []float64) (*Plan, []Request) {
	plan := &Plan{options: options}
	rows := plan.firstRequestRows(len(shards))
	requests := make([]Request, 0, len(shards))
	for i, buckets := range shards {
		plan.parts = append(plan.parts, &part{buckets: buckets, weight: weights[i], requested: rows, requestedAtMs: nowMs})
		requests = append(requests, Request{Buckets: buckets, Rows: rows})
	}
	return plan, requests
}

// partIndex is the index of the part with exactly these buckets, or -1.
func (p *Plan) partIndex(buckets shardmap.Range) int {
	return slices.IndexFunc(p.parts, func(part *part) bool { return part.buckets == buckets })
}

// findPart is the part with exactly these buckets, or nil.
func (p *Plan) findPart(buckets shardmap.Range) *part {
	i := p.partIndex(buckets)
	if i < 0 {
		return nil
	}
	return p.parts[i]
}

// RecordAnswer records that a shard answered with rows, counted from the position after which the page starts. It
// reports whether the answer is wanted; one of a shard that is not waited for must not be merged.
func (p *Plan) RecordAnswer(nowMs float64, buckets shardmap.Range, rows int, hasMore bool) bool {
	part := p.findPart(buckets)
	if part == nil || part.state != inFlight {
		return false
	}
	p.rowsReceived += rows - part.received
	part.state = answered
	part.received = rows
	part.hasMore = hasMore
	latencyMs := nowMs - part.requestedAtMs
	i, _ := slices.BinarySearch(p.latenciesMs, latencyMs)
	p.latenciesMs = slices.Insert(p.latenciesMs, i, latencyMs)
	return true
}

// RecordFailure records that a shard cannot be read. Rows that it gave before do not count either: without those that
// follow them the page would skip rows.
func (p *Plan) RecordFailure(buckets shardmap.Range) {
	if part := p.findPart(buckets); part != nil && part.state != abandoned {
		part.state = unavailable
	}
}

// Reshard replaces a shard by those that hold its buckets after a split or merge, and returns the requests for these.
// The rows of the old shard no longer count. A shard that is not part of the plan or is abandoned is left alone, and
// nil returned.
func (p *Plan) Reshard(nowMs float64, buckets shardmap.Range, successors []shardmap.Range) []Request {
	i := p.partIndex(buckets)
	if i < 0 || p.parts[i].state == abandoned {
		return nil
	}
	old := p.parts[i]
	p.parts = slices.Delete(p.parts, i, i+1)
	requests := make([]Request, 0, len(successors))
	for _, successor := range successors {
		p.parts = append(p.parts, &part{
			buckets:       successor,
			weight:        old.weight * float64(successor.Size()) / float64(old.buckets.Size()),
			requested:     old.requested,
			requestedAtMs: nowMs,
		})
		requests = append(requests, Request{Buckets: successor, Rows: old.requested})
	}
	return requests
}

// IsIncluded reports whether the rows of a shard are part of the answer.
func (p *Plan) IsIncluded(buckets shardmap.Range) bool {
	part := p.findPart(buckets)
	return part != nil && part.state == answered
}

// RowsReceived is how many rows came, each counted once.
func (p *Plan) RowsReceived() int { return p.rowsReceived }

// ExtraRounds is how often shards were asked for more rows.
func (p *Plan) ExtraRounds() int { return p.extraRounds }
