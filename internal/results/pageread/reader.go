package pageread

import (
	"fmt"
	"slices"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/cursor"
	"ternstage/internal/results/fetchplan"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

// Reader reads one page.
type Reader struct {
	query     Query
	previous  *cursor.Cursor // of the previous page; nil on the first page
	plan      *fetchplan.Plan
	shards    []*shard
	summaries []*completeness.Summary // those of the query, and those received with answers
}

// shard is the part of the query that one shard answers, and the last answer to it.
type shard struct {
	Part
	batch  *merge.Batch        // nil while the shard is missing
	groups *merge.Groups       // aggregates of the answer that batch comes from
	reason completeness.Reason // why the shard is missing, while batch is nil
	detail string              // the fault in a malformed answer
}

// New starts to read a page: the first one, or the one after a cursor. It returns the reader and the first requests.
func New(nowMs float64, query Query, parts []Part, previous *cursor.Cursor) (*Reader, []Request) {
	reader := &Reader{query: query, previous: previous, summaries: slices.Clone(query.Summaries)}
	reader.query.Plan.Limit = 0
	if page := query.Clause.Page; page != nil {
		reader.query.Plan.Limit = page.Size
	}
	var buckets []shardmap.Range
	var weights []float64
	for _, part := range parts {
		buckets = append(buckets, part.Buckets)
		weights = append(weights, part.Weight)
		reader.shards = append(reader.shards, newShard(part))
	}
	plan, requests := fetchplan.New(nowMs, reader.query.Plan, buckets, weights)
	reader.plan = plan
	return reader, reader.toRequests(requests)
}

// newShard returns a shard without an answer. Unless another reason is recorded, Rejected is the reason why it is
// missing.
func newShard(part Part) *shard { return &shard{Part: part, reason: completeness.Rejected} }

// toRequests adds the start position of the page to requests of the plan.
func (r *Reader) toRequests(planned []fetchplan.Request) []Request {
	requests := make([]Request, 0, len(planned))
	for _, request := range planned {
		requests = append(requests, Request{Buckets: request.Buckets, Rows: request.Rows, After: r.startPosition()})
	}
	return requests
}

// startPosition returns the position after which the page starts, or nil on the first page.
func (r *Reader) startPosition() *merge.Position {
	if r.previous == nil {
		return nil
	}
	return r.previous.After
}

// findShard returns the shard with exactly these buckets, or nil.
func (r *Reader) findShard(buckets shardmap.Range) *shard {
	i := slices.IndexFunc(r.shards, func(s *shard) bool { return s.Buckets == buckets })
	if i < 0 {
		return nil
	}
	return r.shards[i]
}

// minVersion returns the newest data version at which the previous page read any of the given buckets, or 0 if it
// read none of them.
func (r *Reader) minVersion(buckets shardmap.Range) uint64 {
	if r.previous == nil {
		return 0
	}
	newest := uint64(0)
	for _, span := range r.previous.Spans {
		if (shardmap.Range{Start: span.Start, End: span.End}).Overlaps(buckets) {
			newest = max(newest, span.Version)
		}
	}
	return newest
}

// RecordAnswer records the answer of a backend to a request for the given number of rows. It ignores an answer that
// is no longer wanted. After an error that wraps ErrStaleVersion, the shard stays in flight, so that another replica
// can be asked. After any other error, which is a *merge.ValidationError, the shard is missing and none of its rows
// are merged.
func (r *Reader) RecordAnswer(nowMs float64, answer *rows.Answer, requested int) error {
	shard := r.findShard(answer.Batch.Buckets)
	if shard == nil {
		return nil // the shard was split or merged meanwhile
	}
	if minVersion := r.minVersion(shard.Buckets); answer.Batch.Version < minVersion {
		shard.reason = completeness.StaleVersion
		return fmt.Errorf("%w: version %d, not at least %d", ErrStaleVersion, answer.Batch.Version, minVersion)
	}
	if err := r.validate(answer, requested); err != nil {
		r.reject(shard, err)
		return err
	}
	if !r.plan.RecordAnswer(nowMs, shard.Buckets, len(answer.Batch.Rows), answer.Batch.HasMore) {
		return nil
	}
	batch := answer.Batch
	shard.batch = &batch
	shard.groups = answer.Groups
	shard.Version = max(shard.Version, batch.Version)
	if answer.Summary != nil {
		r.summaries = append(r.summaries, answer.Summary)
	}
	return nil
}

// validate checks an answer on its own. collectInputs compares its schema with those of other answers.
func (r *Reader) validate(answer *rows.Answer, requested int) error {
	order, err := merge.NewOrder(answer.Batch.Schema, r.query.Clause.SortColumns())
	if err != nil {
		return err
	}
	if err := order.Validate(&answer.Batch, r.startPosition(), requested); err != nil {
		return err
	}
	if len(r.query.Clause.Aggregate) > 0 && answer.Groups == nil {
		return &merge.ValidationError{Row: merge.NoRow, Detail: "no aggregates", Err: merge.ErrSchemaMismatch}
	}
	return nil
}

// reject marks a shard as missing because its answer is malformed.
func (r *Reader) reject(shard *shard, err error) {
	shard.batch = nil
	shard.reason = completeness.Malformed
	shard.detail = err.Error()
	r.plan.RecordFailure(shard.Buckets)
}

// RecordFailure records that a shard cannot be read, and why. If the shard answered with a stale version before,
// StaleVersion remains the reason.
func (r *Reader) RecordFailure(buckets shardmap.Range, reason completeness.Reason) {
	shard := r.findShard(buckets)
	if shard == nil {
		return
	}
	shard.batch = nil
	if shard.reason != completeness.StaleVersion {
		shard.reason = reason
	}
	r.plan.RecordFailure(buckets)
}

// Reshard replaces a shard by those that hold its buckets after a split, merge or move, and returns the requests for
// the new shards. The answer of the old shard no longer counts.
func (r *Reader) Reshard(nowMs float64, buckets shardmap.Range, successors []Part) []Request {
	old := r.findShard(buckets)
	if old == nil {
		return nil
	}
	ranges := make([]shardmap.Range, 0, len(successors))
	for _, part := range successors {
		ranges = append(ranges, part.Buckets)
	}
	requests := r.plan.Reshard(nowMs, buckets, ranges)
	if requests == nil {
		return nil
	}
	r.shards = slices.DeleteFunc(r.shards, func(s *shard) bool { return s == old })
	for _, part := range successors {
		part.Weight = old.Weight * float64(part.Buckets.Size()) / float64(buckets.Size())
		r.shards = append(r.shards, newShard(part))
	}
	return r.toRequests(requests)
}
