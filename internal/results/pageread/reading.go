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
	Districts shardmap.Range
	Weight    float64
	Since     uint64 // epoch of the slice's last change
	Version   uint64 // the newest data version that anybody has told of; 0 if nobody has
}

// Query is what is read.
type Query struct {
	Clause    *merge.Clause
	Epoch     uint64 // of the map by which this page begins
	Need      float64
	Fetch     fetchplan.Options // its limit is the clause's
	Summaries []*completeness.Summary
}

// Ask is what a node is to be asked for: so many rows after a place, all that were asked for before included,
// so that one answer stands for itself, whatever data version it is of.
type Ask struct {
	Districts shardmap.Range
	Rows      int
	After     *merge.Position
}

// ErrOlder tells that a node answered from an older data version than the page before read: another replica
// may have the newer one.
var ErrOlder = errors.New("an older data version than the page before")

// Result is a page.
type Result struct {
	Rows      []merge.Row
	From      []shardmap.Range
	First     int    // rank of the first row, from 1
	Certain   []bool // of each rank
	Statement *completeness.Report
	Whole     bool
	Next      *cursor.Cursor // nil where there is no next page
	Groups    []Group        // aggregates, in order of the groups' values
	// What has changed since the page before, by districts; page one would differ where one is not empty.
	Back, Gone, Other []cursor.Span
}

// Group is the figures of one group.
type Group struct {
	Values  []merge.Value
	Figures []Figure
}

// Figure is one aggregate over what is in, and between what that over all rows lies, where that is known.
type Figure struct {
	Name  string
	Value merge.Value
	Bound completeness.Bound
}

// MostGroups bounds the groups of an answer.
const MostGroups = 1000

type slice struct {
	Part
	batch  *merge.Batch
	groups *merge.Groups
	why    completeness.Reason
	fault  string
}

// Reading is one page that is being read.
type Reading struct {
	q      Query
	before *cursor.Cursor // of the page before; nil for the first
	plan   *fetchplan.Plan
	slices []*slice
	notes  []*completeness.Summary
}

// New begins a page: the first, or what comes after a cursor.
func New(now float64, q Query, parts []Part, before *cursor.Cursor) (*Reading, []Ask) {
	r := &Reading{q: q, before: before, notes: slices.Clone(q.Summaries)}
	r.q.Fetch.Limit = 0
	if p := q.Clause.Page; p != nil {
		r.q.Fetch.Limit = p.Size
	}
	var districts []shardmap.Range
	var weights []float64
	for _, p := range parts {
		districts, weights = append(districts, p.Districts), append(weights, p.Weight)
		r.slices = append(r.slices, &slice{Part: p, why: completeness.Rejected})
	}
	plan, asks := fetchplan.New(now, r.q.Fetch, districts, weights)
	r.plan = plan
	return r, r.asks(asks)
}

func (r *Reading) asks(list []fetchplan.Request) []Ask {
	out := make([]Ask, 0, len(list))
	for _, a := range list {
		out = append(out, Ask{a.Buckets, a.Rows, r.after()})
	}
	return out
}

func (r *Reading) after() *merge.Position {
	if r.before == nil {
		return nil
	}
	return r.before.After
}

func (r *Reading) find(d shardmap.Range) *slice {
	if i := slices.IndexFunc(r.slices, func(s *slice) bool { return s.Districts == d }); i >= 0 {
		return r.slices[i]
	}
	return nil
}

// least is the newest data version of any of these districts that the page before read.
func (r *Reading) least(d shardmap.Range) (v uint64) {
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

// Take takes a node's answer to an ask of so many rows. ErrOlder tells that another replica may do better,
// and that the slice is still out; a *merge.Fault that the slice's part has failed and its rows are nowhere.
func (r *Reading) Take(now float64, a *rows.Answer, asked int) error {
	s := r.find(a.Batch.Buckets)
	if s == nil {
		return nil // its slice was split or merged meanwhile
	}
	if v := r.least(s.Districts); a.Batch.Version < v {
		s.why = completeness.StaleVersion
		return fmt.Errorf("%w: %d, not %d", ErrOlder, a.Batch.Version, v)
	}
	order, err := merge.NewOrder(a.Batch.Schema, r.q.Clause.SortColumns())
	if err == nil {
		err = order.Validate(&a.Batch, r.after(), asked)
	}
	if err == nil && len(r.q.Clause.Aggregate) > 0 && a.Groups == nil {
		err = &merge.ValidationError{Row: -1, Detail: "no aggregates", Err: merge.ErrSchemaMismatch}
	}
	if err != nil {
		r.spoil(s, err)
		return err
	}
	if !r.plan.RecordAnswer(now, s.Districts, len(a.Batch.Rows), a.Batch.HasMore) {
		return nil // it was dropped, or this is an answer twice
	}
	b := a.Batch
	s.batch, s.groups, s.Version = &b, a.Groups, max(s.Version, b.Version)
	if a.Summary != nil {
		r.notes = append(r.notes, a.Summary)
	}
	return nil
}

func (r *Reading) spoil(s *slice, err error) {
	s.batch, s.why, s.fault = nil, completeness.Malformed, err.Error()
	r.plan.RecordFailure(s.Districts)
}

// Lost tells that a slice cannot be had, and why. A slice of which only an older version came stays missing
// for that.
func (r *Reading) Lost(d shardmap.Range, why completeness.Reason) {
	if s := r.find(d); s != nil {
		if s.batch = nil; s.why != completeness.StaleVersion {
			s.why = why
		}
		r.plan.RecordFailure(d)
	}
}

// Replace follows a split, a merge or a move: what a slice gave does not stand, and its districts are asked
// for anew.
func (r *Reading) Replace(now float64, d shardmap.Range, by []Part) []Ask {
	s := r.find(d)
	if s == nil {
		return nil
	}
	ranges := make([]shardmap.Range, 0, len(by))
	for _, p := range by {
		ranges = append(ranges, p.Districts)
	}
	asks := r.plan.Reshard(now, d, ranges)
	if asks == nil {
		return nil
	}
	r.slices = slices.DeleteFunc(r.slices, func(x *slice) bool { return x == s })
	for _, p := range by {
		p.Weight = s.Weight * float64(p.Districts.Size()) / float64(d.Size())
		r.slices = append(r.slices, &slice{Part: p, why: completeness.Rejected})
	}
	return r.asks(asks)
}

// Step is what to do now.
type Step struct {
	Asks     []Ask
	Drop     []shardmap.Range // waited for no longer
	Result   *Result          // the page, once it is there
	Hopeless bool             // there can be no answer
	At       float64          // else step again at this time at the latest
}

// Step decides what follows on what has come.
func (r *Reading) Step(now float64) Step {
	v := r.plan.Decide(now)
	for _, d := range v.Abandoned {
		if s := r.find(d); s != nil {
			s.batch, s.why = nil, completeness.TimedOut
		}
	}
	if v.Hopeless {
		return Step{Hopeless: true, Drop: v.Abandoned}
	}
	if !v.Done {
		return Step{At: v.WakeAt}
	}
	order, batches, total := r.reconcile()
	if in := r.share(); in < r.q.Fetch.Floor-1e-4 || order == nil {
		return Step{Hopeless: true, Drop: v.Abandoned}
	}
	page := order.Merge(batches, r.q.Fetch.Limit)
	if asks := r.plan.RequestMore(now, page.NeedMore); len(asks) > 0 {
		return Step{Asks: r.asks(asks), Drop: v.Abandoned}
	}
	out := r.result(order, page)
	if total != nil {
		var err error
		if out.Groups, err = r.figures(total, out.Statement); err != nil {
			return Step{Hopeless: true, Drop: v.Abandoned} // no figure can be given: never a wrong one in silence
		}
	}
	return Step{Result: out, Drop: v.Abandoned}
}

// reconcile finds the columns that most of the weight has, and spoils the slices that have others: of two
// schemas neither is the right one by coming first.
func (r *Reading) reconcile() (*merge.Order, []*merge.Batch, *merge.Groups) {
	type vote struct {
		schema merge.Schema
		weight float64
	}
	var votes []*vote
	in := slices.Clone(r.slices)
	slices.SortFunc(in, func(a, b *slice) int { return cmp.Compare(a.Districts.Start, b.Districts.Start) })
	in = slices.DeleteFunc(in, func(s *slice) bool { return s.batch == nil || !r.plan.Included(s.Districts) })
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
			r.spoil(s, err)
			continue
		}
		if s.groups != nil {
			if total == nil {
				total = merge.NewGroups(s.groups.Columns(), MostGroups)
			}
			if err := total.Combine(s.groups); err != nil {
				r.spoil(s, err) // a sum that overflows with it, more groups than the bound: without it there is a figure
				continue
			}
		}
		out = append(out, s.batch)
	}
	order, err := merge.NewOrder(best.schema, r.q.Clause.SortColumns())
	if err != nil {
		return nil, nil, nil
	}
	return order, out, total
}

// Of are the aggregated columns of a clause, each once: what nodes are asked for and in which order. ""
// counts rows.
func Of(c *merge.Clause) (out []string) {
	for _, f := range c.Aggregate {
		if !slices.Contains(out, f.Column) {
			out = append(out, f.Column)
		}
	}
	return out
}

// figures are what the client asked for of the groups. Bounds are given where a summary's can be: of all
// rows, with no filter and no group, and of one column.
func (r *Reading) figures(total *merge.Groups, st *completeness.Report) ([]Group, error) {
	c, of := r.q.Clause, Of(r.q.Clause)
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
			v, b, err := figure(f, p, st)
			if err != nil {
				return nil, err
			}
			if !bounded {
				b = completeness.Bound{}
			}
			x.Figures = append(x.Figures, Figure{f.Name, v, b})
		}
		out = append(out, x)
	}
	return out, nil
}

// figure is one aggregate and its bound. Quantiles and distinct counts have none while something is missing.
func figure(f merge.AggregateClause, p *merge.PartialAggregate, st *completeness.Report) (
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

func (r *Reading) share() (in float64) {
	for _, s := range r.slices {
		if s.batch != nil {
			in += s.Weight
		}
	}
	return in
}

// result makes the page and what the next one needs to agree with it.
func (r *Reading) result(order *merge.Order, page merge.Page) *Result {
	var parts []completeness.Part
	var spans []cursor.Span
	slices.SortFunc(r.slices, func(a, b *slice) int { return cmp.Compare(a.Districts.Start, b.Districts.Start) })
	for _, s := range r.slices {
		p := completeness.Part{Buckets: s.Districts, Weight: s.Weight, Present: s.batch != nil, Version: s.Version,
			ShardEpoch: s.Since, Reason: s.why, Detail: s.fault}
		span := cursor.Span{Start: s.Districts.Start, End: s.Districts.End, ShardEpoch: s.Since}
		if p.Present {
			p.Version, span.Version = s.batch.Version, s.batch.Version
		}
		parts, spans = append(parts, p), append(spans, span)
	}
	out := &Result{Rows: page.Rows, From: page.Sources, First: 1,
		Statement: completeness.New(parts, r.notes, r.q.Need)}
	places := make([]merge.Position, len(page.Rows))
	for i, x := range page.Rows {
		places[i] = order.PositionOf(x)
	}
	out.Certain, out.Whole = out.Statement.CertainRanks(order, places), out.Statement.Complete
	sure := true
	if r.before != nil {
		out.First = r.before.NextRank
		changes := r.before.Changes(spans)
		out.Back, out.Gone, out.Other = changes.Returned, changes.Lost, changes.Updated
		changed := len(out.Back)+len(out.Gone)+len(out.Other) > 0
		out.Whole = out.Whole && !changed
		// The ranks of this page count on from the ones before: they are no surer than those, and not at all once
		// the pages before would differ.
		if sure = r.before.RanksCertain && !changed; !sure {
			clear(out.Certain)
		}
	}
	if page.HasMore && len(places) > 0 {
		last := places[len(places)-1]
		out.Next = &cursor.Cursor{Epoch: r.q.Epoch, NextRank: out.First + len(places), After: &last, Spans: spans,
			RanksCertain: sure && !slices.Contains(out.Certain, false)}
		if r.before != nil {
			out.Next.Epoch = r.before.Epoch
		}
	}
	return out
}
