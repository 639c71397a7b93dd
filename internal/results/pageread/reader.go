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

// shard is a part and what its shard has answered.
type shard struct {
	Part
	batch  *merge.Batch        // nil while it is missing
	groups *merge.Groups       // of the batch's answer
	reason completeness.Reason // while batch is nil: why
	detail string              // of a malformed answer
}

// Reader reads one page.
type Reader struct {
	query     Query
	before    *cursor.Cursor // of the page before; nil on the first
	plan      *fetchplan.Plan
	shards    []*shard
	summaries []*completeness.Summary // of the query, and those that came with answers
}

// New begins to read a page: the first, or that after a cursor. It returns the first requests.
func New(now float64, q Query, parts []Part, before *cursor.Cursor) (*Reader, []Request) {
	r := &Reader{query: q, before: before, summaries: slices.Clone(q.Summaries)}
	r.query.Plan.Limit = 0
	if p := q.Clause.Page; p != nil {
		r.query.Plan.Limit = p.Size
	}
	var districts []shardmap.Range
	var weights []float64
	for _, p := range parts {
		districts, weights = append(districts, p.Buckets), append(weights, p.Weight)
		r.shards = append(r.shards, &shard{Part: p, reason: completeness.Rejected})
	}
	plan, asks := fetchplan.New(now, r.query.Plan, districts, weights)
	r.plan = plan
	return r, r.requests(asks)
}

// requests adds the position after which the page starts to requests of the plan.
func (r *Reader) requests(list []fetchplan.Request) []Request {
	out := make([]Request, 0, len(list))
	for _, a := range list {
		out = append(out, Request{a.Buckets, a.Rows, r.after()})
	}
	return out
}

// after is the position after which the page starts; nil on the first page.
func (r *Reader) after() *merge.Position {
	if r.before == nil {
		return nil
	}
	return r.before.After
}

// find is the shard with exactly these buckets, or nil.
func (r *Reader) find(d shardmap.Range) *shard {
	if i := slices.IndexFunc(r.shards, func(s *shard) bool { return s.Buckets == d }); i >= 0 {
		return r.shards[i]
	}
	return nil
}

// minVersion is the newest data version at which the page before read any of some buckets; 0 if it read none of them.
func (r *Reader) minVersion(d shardmap.Range) (v uint64) {
	if r.before == nil {
		return 0
	}
	for _, s := range r.before.Spans {
		if (shardmap.Range{Start: s.Start, End: s.End}).Overlaps(d) {
			v = max(v, s.Version)
		}
	}
	return v
}

// RecordAnswer records a backend's answer to a request for requested rows. An answer that is no longer wanted is
// ignored. An error that wraps ErrStaleVersion leaves the shard in flight, so that another replica can be asked. After
// any other error, a *merge.ValidationError, the shard is missing, and none of its rows are merged.
func (r *Reader) RecordAnswer(now float64, a *rows.Answer, asked int) error {
	s := r.find(a.Batch.Buckets)
	if s == nil {
		return nil // its slice was split or merged meanwhile
	}
	if v := r.minVersion(s.Buckets); a.Batch.Version < v {
		s.reason = completeness.StaleVersion
		return fmt.Errorf("%w: %d, not %d", ErrStaleVersion, a.Batch.Version, v)
	}
	order, err := merge.NewOrder(a.Batch.Schema, r.query.Clause.SortColumns())
	if err == nil {
		err = order.Validate(&a.Batch, r.after(), asked)
	}
	if err == nil && len(r.query.Clause.Aggregate) > 0 && a.Groups == nil {
		err = &merge.ValidationError{Row: -1, Detail: "no aggregates", Err: merge.ErrSchemaMismatch}
	}
	if err != nil {
		r.reject(s, err)
		return err
	}
	if !r.plan.RecordAnswer(now, s.Buckets, len(a.Batch.Rows), a.Batch.HasMore) {
		return nil // it was dropped, or this is an answer twice
	}
	b := a.Batch
	s.batch, s.groups, s.Version = &b, a.Groups, max(s.Version, b.Version)
	if a.Summary != nil {
		r.summaries = append(r.summaries, a.Summary)
	}
	return nil
}

// reject makes a shard missing because of its answer.
func (r *Reader) reject(s *shard, err error) {
	s.batch, s.reason, s.detail = nil, completeness.Malformed, err.Error()
	r.plan.RecordFailure(s.Buckets)
}

// RecordFailure records that a shard cannot be read, and why. If only a stale version of it came, that stays the
// reason.
func (r *Reader) RecordFailure(d shardmap.Range, why completeness.Reason) {
	if s := r.find(d); s != nil {
		if s.batch = nil; s.reason != completeness.StaleVersion {
			s.reason = why
		}
		r.plan.RecordFailure(d)
	}
}

// Reshard replaces a shard by those that hold its buckets after a split, merge or move, and returns the requests for
// these. What the old shard gave no longer counts.
func (r *Reader) Reshard(now float64, d shardmap.Range, by []Part) []Request {
	s := r.find(d)
	if s == nil {
		return nil
	}
	ranges := make([]shardmap.Range, 0, len(by))
	for _, p := range by {
		ranges = append(ranges, p.Buckets)
	}
	asks := r.plan.Reshard(now, d, ranges)
	if asks == nil {
		return nil
	}
	r.shards = slices.DeleteFunc(r.shards, func(x *shard) bool { return x == s })
	for _, p := range by {
		p.Weight = s.Weight * float64(p.Buckets.Size()) / float64(d.Size())
		r.shards = append(r.shards, &shard{Part: p, reason: completeness.Rejected})
	}
	return r.requests(asks)
}
