package pageread

import (
	"cmp"
	"slices"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/cursor"
	"ternstage/internal/results/merge"
)

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

// result makes the result of a final page. A page's ranks continue those of the pages before, so they are certain only
// if these were and nothing has changed since: a shard that has returned may hold rows that belong before them.
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
