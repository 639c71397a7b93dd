// Package pageread carries one page of one query from its first asks to its answer: it puts the plan, the
// merge and the statement of completeness together. It has no I/O and no clock. Core asks nodes for what it
// wants and tells it what came; which replica, whether to try again and whether the query is refused stay
// with the decision module.
package pageread

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/cursor"
	"ternstage/internal/results/fetchplan"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

// Part is districts that one slice holds.
type Part struct {
	Buckets    shardmap.Range
	Weight     float64
	ShardEpoch uint64 // epoch of the slice's last change
	Version    uint64 // the newest data version that anybody has told of; 0 if nobody has
}

// Query is what is read.
type Query struct {
	Clause       *merge.Clause
	Epoch        uint64 // of the map by which this page begins
	CompleteFrom float64
	Plan         fetchplan.Options // its limit is the clause's
	Summaries    []*completeness.Summary
}

// Request is what a node is to be asked for: so many rows after a place, all that were asked for before included,
// so that one answer stands for itself, whatever data version it is of.
type Request struct {
	Buckets shardmap.Range
	Rows    int
	After   *merge.Position
}

// ErrStaleVersion tells that a node answered from an older data version than the page before read: another replica
// may have the newer one.
var ErrStaleVersion = errors.New("an older data version than the page before")

// Result is a page.
type Result struct {
	Rows      []merge.Row
	Sources   []shardmap.Range
	FirstRank int    // rank of the first row, from 1
	Certain   []bool // of each rank
	Report    *completeness.Report
	Complete  bool
	Next      *cursor.Cursor // nil where there is no next page
	Groups    []Group        // aggregates, in order of the groups' values
	// What has changed since the page before, by districts; page one would differ where one is not empty.
	Back, Gone, Other []cursor.Span
}

// Group is the figures of one group.
type Group struct {
	Values     []merge.Value
	Aggregates []Aggregate
}

// Aggregate is one aggregate over what is in, and between what that over all rows lies, where that is known.
type Aggregate struct {
	Name  string
	Value merge.Value
	Bound completeness.Bound
}

// MaxGroups bounds the groups of an answer.
const MaxGroups = 1000

type shard struct {
	Part
	batch  *merge.Batch
	groups *merge.Groups
	reason completeness.Reason
	detail string
}

// Reader is one page that is being read.
type Reader struct {
	query     Query
	before    *cursor.Cursor // of the page before; nil for the first
	plan      *fetchplan.Plan
	shards    []*shard
	summaries []*completeness.Summary
}

// New begins a page: the first, or what comes after a cursor.
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

func (r *Reader) requests(list []fetchplan.Request) []Request {
	out := make([]Request, 0, len(list))
	for _, a := range list {
		out = append(out, Request{a.Buckets, a.Rows, r.after()})
	}
	return out
}

func (r *Reader) after() *merge.Position {
	if r.before == nil {
		return nil
	}
	return r.before.After
}

func (r *Reader) find(d shardmap.Range) *shard {
	if i := slices.IndexFunc(r.shards, func(s *shard) bool { return s.Buckets == d }); i >= 0 {
		return r.shards[i]
	}
	return nil
}

// minVersion is the newest data version of any of these districts that the page before read.
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

// RecordAnswer takes a node's answer to an ask of so many rows. ErrOlder tells that another replica may do better,
// and that the slice is still out; a *merge.Fault that the slice's part has failed and its rows are nowhere.
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

func (r *Reader) reject(s *shard, err error) {
	s.batch, s.reason, s.detail = nil, completeness.Malformed, err.Error()
	r.plan.RecordFailure(s.Buckets)
}

// RecordFailure tells that a slice cannot be had, and why. A slice of which only an older version came stays missing
// for that.
func (r *Reader) RecordFailure(d shardmap.Range, why completeness.Reason) {
	if s := r.find(d); s != nil {
		if s.batch = nil; s.reason != completeness.StaleVersion {
			s.reason = why
		}
		r.plan.RecordFailure(d)
	}
}

// Reshard follows a split, a merge or a move: what a slice gave does not stand, and its districts are asked
// for anew.
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

// Step is what to do now.
type Step struct {
	Requests  []Request
	Abandoned []shardmap.Range // waited for no longer
	Result    *Result          // the page, once it is there
	Hopeless  bool             // there can be no answer
	WakeAt    float64          // else step again at this time at the latest
}

// Step decides what follows on what has come.
func (r *Reader) Step(now float64) Step {
	v := r.plan.Decide(now)
	for _, d := range v.Abandoned {
		if s := r.find(d); s != nil {
			s.batch, s.reason = nil, completeness.TimedOut
		}
	}
	if v.Hopeless {
		return Step{Hopeless: true, Abandoned: v.Abandoned}
	}
	if !v.Done {
		return Step{WakeAt: v.WakeAt}
	}
	order, batches, total := r.combinable()
	if in := r.presentWeight(); in < r.query.Plan.Floor-1e-4 || order == nil {
		return Step{Hopeless: true, Abandoned: v.Abandoned}
	}
	page := order.Merge(batches, r.query.Plan.Limit)
	if asks := r.plan.RequestMore(now, page.NeedMore); len(asks) > 0 {
		return Step{Requests: r.requests(asks), Abandoned: v.Abandoned}
	}
	out := r.result(order, page)
	if total != nil {
		var err error
		if out.Groups, err = r.aggregates(total, out.Report); err != nil {
			return Step{Hopeless: true, Abandoned: v.Abandoned} // no figure can be given: never a wrong one in silence
		}
	}
	return Step{Result: out, Abandoned: v.Abandoned}
}

// combinable finds the columns that most of the weight has, and spoils the slices that have others: of two
// schemas neither is the right one by coming first.
func (r *Reader) combinable() (*merge.Order, []*merge.Batch, *merge.Groups) {
	type vote struct {
		schema merge.Schema
		weight float64
	}
	var votes []*vote
	in := slices.Clone(r.shards)
	slices.SortFunc(in, func(a, b *shard) int { return cmp.Compare(a.Buckets.Start, b.Buckets.Start) })
	in = slices.DeleteFunc(in, func(s *shard) bool { return s.batch == nil || !r.plan.Included(s.Buckets) })
	for _, s := range in {
		i := slices.IndexFunc(votes, func(v *vote) bool { return v.schema.CheckCompatible(s.batch.Schema) == nil })
		if i < 0 {
			i = len(votes)
			votes = append(votes, &vote{schema: s.batch.Schema})
		}
		votes[i].weight += s.Weight
	}
	if len(votes) == 0 {
		return nil, nil, nil
	}
	best := votes[0]
	for _, v := range votes[1:] {
		if v.weight > best.weight {
			best = v
		}
	}
	var out []*merge.Batch
	var total *merge.Groups
	for _, s := range in {
		if err := best.schema.CheckCompatible(s.batch.Schema); err != nil {
			r.reject(s, err)
			continue
		}
		if s.groups != nil {
			if total == nil {
				total = merge.NewGroups(s.groups.Columns(), MaxGroups)
			}
			if err := total.Combine(s.groups); err != nil {
				r.reject(s, err) // a sum that overflows with it, more groups than the bound: without it there is a figure
				continue
			}
		}
		out = append(out, s.batch)
	}
	order, err := merge.NewOrder(best.schema, r.query.Clause.SortColumns())
	if err != nil {
		return nil, nil, nil
	}
	return order, out, total
}

// AggregateColumns are the aggregated columns of a clause, each once: what nodes are asked for and in which order. ""
// counts rows.
func AggregateColumns(c *merge.Clause) (out []string) {
	for _, f := range c.Aggregate {
		if !slices.Contains(out, f.Column) {
			out = append(out, f.Column)
		}
	}
	return out
}

// aggregates are what the client asked for of the groups. Bounds are given where a summary's can be: of all
// rows, with no filter and no group, and of one column.
func (r *Reader) aggregates(total *merge.Groups, st *completeness.Report) ([]Group, error) {
	c, of := r.query.Clause, AggregateColumns(r.query.Clause)
	columns := 0
	for _, name := range of {
		if name != "" {
			columns++
		}
	}
	bounded := len(st.Missing) == 0 || len(c.Filter) == 0 && len(c.Group) == 0 && columns <= 1
	list := total.Sorted()
	if len(list) == 0 && len(c.Group) == 0 { // of no rows at all there is one group of nothing
		g, err := total.GetOrCreate(nil)
		if err != nil {
			return nil, err
		}
		list = append(list, g)
	}
	out := make([]Group, 0, len(list))
	for _, g := range list {
		x := Group{Values: g.Values}
		for _, f := range c.Aggregate {
			p := g.Partials[slices.Index(of, f.Column)]
			v, b, err := compute(f, p, st)
			if err != nil {
				return nil, err
			}
			if !bounded {
				b = completeness.Bound{}
			}
			x.Aggregates = append(x.Aggregates, Aggregate{f.Name, v, b})
		}
		out = append(out, x)
	}
	return out, nil
}

// compute is one aggregate and its bound. Quantiles and distinct counts have none while something is missing.
func compute(f merge.AggregateClause, p *merge.PartialAggregate, st *completeness.Report) (
	v merge.Value, b completeness.Bound, err error) {
	sum := 0.0
	if v, err = p.Sum(); err != nil {
		return v, b, err
	}
	if sum = v.Float; v.Kind == merge.Int {
		sum = float64(v.Int)
	}
	number := func(x merge.Value) float64 {
		if x.Kind == merge.Int {
			return float64(x.Int)
		}
		return x.Float
	}
	switch f.Function {
	case "count":
		return merge.IntOf(int64(p.Count)), st.CountBound(p.Count), nil
	case "sum":
		b = st.SumBound(sum)
	case "min":
		v, b = p.Min, st.MinBound(number(p.Min), p.Count > 0)
	case "max":
		v, b = p.Max, st.MaxBound(number(p.Max), p.Count > 0)
	case "mean":
		v, err = p.Mean()
		b = st.MeanBound(sum, p.Count)
	case "quantile":
		v, err = p.Quantile(*f.Quantile)
	case "distinct":
		v = merge.IntOf(int64(p.Distinct()))
	}
	if v.Kind == merge.Text {
		b = completeness.Bound{}
	}
	return v, b, err
}

func (r *Reader) presentWeight() (in float64) {
	for _, s := range r.shards {
		if s.batch != nil {
			in += s.Weight
		}
	}
	return in
}

// result makes the page and what the next one needs to agree with it.
func (r *Reader) result(order *merge.Order, page merge.Page) *Result {
	var parts []completeness.Part
	var spans []cursor.Span
	slices.SortFunc(r.shards, func(a, b *shard) int { return cmp.Compare(a.Buckets.Start, b.Buckets.Start) })
	for _, s := range r.shards {
		p := completeness.Part{Buckets: s.Buckets, Weight: s.Weight, Present: s.batch != nil, Version: s.Version,
			ShardEpoch: s.ShardEpoch, Reason: s.reason, Detail: s.detail}
		span := cursor.Span{Start: s.Buckets.Start, End: s.Buckets.End, ShardEpoch: s.ShardEpoch}
		if p.Present {
			p.Version, span.Version = s.batch.Version, s.batch.Version
		}
		parts, spans = append(parts, p), append(spans, span)
	}
	out := &Result{Rows: page.Rows, Sources: page.Sources, FirstRank: 1,
		Report: completeness.New(parts, r.summaries, r.query.CompleteFrom)}
	places := make([]merge.Position, len(page.Rows))
	for i, x := range page.Rows {
		places[i] = order.PositionOf(x)
	}
	out.Certain, out.Complete = out.Report.CertainRanks(order, places), out.Report.Complete
	sure := true
	if r.before != nil {
		out.FirstRank = r.before.NextRank
		changes := r.before.Changes(spans)
		out.Back, out.Gone, out.Other = changes.Returned, changes.Lost, changes.Updated
		changed := len(out.Back)+len(out.Gone)+len(out.Other) > 0
		out.Complete = out.Complete && !changed
		// The ranks of this page count on from the ones before: they are no surer than those, and not at all once
		// the pages before would differ.
		if sure = r.before.RanksCertain && !changed; !sure {
			clear(out.Certain)
		}
	}
	if page.HasMore && len(places) > 0 {
		last := places[len(places)-1]
		out.Next = &cursor.Cursor{Epoch: r.query.Epoch, NextRank: out.FirstRank + len(places), After: &last, Spans: spans,
			RanksCertain: sure && !slices.Contains(out.Certain, false)}
		if r.before != nil {
			out.Next.Epoch = r.before.Epoch
		}
	}
	return out
}
