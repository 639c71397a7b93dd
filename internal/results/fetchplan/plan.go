package fetchplan

import (
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Options configures the plan of a page. Points in time are ms of the caller's clock.
type Options struct {
	Limit              int     // maximum number of rows on the page
	MinCompleteness    float64 // least weight of an answer, of the class or of the client, whichever is stricter
	LatencyObjectiveMs float64 // time until which an answer counts with its full priority weight
	DeadlineMs         float64 // time by which the query must be answered
	PartialFactor      float64 // fraction of the priority weight that a partial answer counts, times its weight
	LateFactor         float64 // fraction of the priority weight that an answer after the objective counts
	MarginMs           float64 // how long before the objective or deadline the answer must be sent
	MaxRowsPerRequest  int     // maximum number of rows beyond those of the previous request; 0 for no limit
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
	requested     int     // number of rows, from the start position of the page
	received      int     // number of rows in the last answer
	hasMore       bool    // the shard has rows after those received
	requestedAtMs float64 // time of the last request
}

// Request tells how many rows to request of a shard.
type Request struct {
	Buckets  shardmap.Range
	Rows     int // number of rows, from the start position of the page
	Received int // number of these rows that were received earlier
}

// Plan is the plan of one page and its progress.
type Plan struct {
	options      Options
	parts        []*part
	latenciesMs  []float64 // of all answers, ascending
	rowsReceived int
	extraRounds  int
}

// New plans a page over shards with the given weights. It returns the plan and the first requests.
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

// partIndex returns the index of the part with exactly these buckets, or -1.
func (p *Plan) partIndex(buckets shardmap.Range) int {
	return slices.IndexFunc(p.parts, func(part *part) bool { return part.buckets == buckets })
}

// findPart returns the part with exactly these buckets, or nil.
func (p *Plan) findPart(buckets shardmap.Range) *part {
	i := p.partIndex(buckets)
	if i < 0 {
		return nil
	}
	return p.parts[i]
}

// RecordAnswer records that a shard answered with the given number of rows, counted from the start position of the
// page. It reports whether the answer is wanted. The answer of a shard that is not in flight must not be merged.
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

// RecordFailure records that a shard cannot be read. Rows that it returned earlier do not count either: the rows
// after them are unknown, so the page could skip rows.
func (p *Plan) RecordFailure(buckets shardmap.Range) {
	if part := p.findPart(buckets); part != nil && part.state != abandoned {
		part.state = unavailable
	}
}

// Reshard replaces a shard by those that hold its buckets after a split or merge, and returns the requests for the
// new shards. The rows of the old shard no longer count. If the shard is not in the plan or has been abandoned,
// Reshard changes nothing and returns nil.
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

// IsIncluded reports whether the rows of a shard are to be merged into the page.
func (p *Plan) IsIncluded(buckets shardmap.Range) bool {
	part := p.findPart(buckets)
	return part != nil && part.state == answered
}

// RowsReceived returns the number of received rows. Rows that were received repeatedly count once.
func (p *Plan) RowsReceived() int { return p.rowsReceived }

// ExtraRounds returns how many times shards were asked for more rows.
func (p *Plan) ExtraRounds() int { return p.extraRounds }
