package pageread

import (
	"slices"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/cursor"
	"ternstage/internal/results/merge"
)

// Result is a final page.
type Result struct {
	Rows      []merge.Row
	Sources   []shardmap.Range // buckets of the shard that each row came from
	FirstRank int              // rank of the first row; ranks start at 1
	Certain   []bool           // whether the rank of each row is certain
	Report    *completeness.Report
	Complete  bool           // whether the report is complete and nothing has changed since the previous page
	Next      *cursor.Cursor // without tenant, digest and expiry; nil if there is no next page
	Groups    []Group        // ordered by their values
	Changes   cursor.Changes // since the previous page
}

// buildResult returns the result of a final page. The ranks of a page continue those of the previous pages. They are
// certain only if those ranks were certain and nothing has changed since: a shard that was missing and is now present
// may hold rows that belong on earlier pages.
func (r *Reader) buildResult(order *merge.Order, page merge.Page) *Result {
	parts, spans := r.describeShards()
	report := completeness.New(parts, r.summaries, r.query.CompletenessTarget)
	positions := make([]merge.Position, len(page.Rows))
	for i, row := range page.Rows {
		positions[i] = order.PositionOf(row)
	}
	result := &Result{
		Rows:      page.Rows,
		Sources:   page.Sources,
		FirstRank: 1,
		Certain:   report.CertainRanks(order, positions),
		Report:    report,
		Complete:  report.Complete,
	}
	epoch := r.query.Epoch
	ranksCertain := true
	if r.previous != nil {
		epoch = r.previous.Epoch
		result.FirstRank = r.previous.NextRank
		result.Changes = r.previous.Changes(spans)
		changed := result.Changes.Any()
		result.Complete = result.Complete && !changed
		ranksCertain = r.previous.RanksCertain && !changed
		if !ranksCertain {
			clear(result.Certain)
		}
	}
	if page.HasMore && len(positions) > 0 {
		last := positions[len(positions)-1]
		result.Next = &cursor.Cursor{
			Epoch:        epoch,
			NextRank:     result.FirstRank + len(positions),
			After:        &last,
			Spans:        spans,
			RanksCertain: ranksCertain && !slices.Contains(result.Certain, false),
		}
	}
	return result
}

// describeShards describes the shards, ordered by bucket, for the report and for the next page.
func (r *Reader) describeShards() ([]completeness.Part, []cursor.Span) {
	sortByBuckets(r.shards)
	var parts []completeness.Part
	var spans []cursor.Span
	for _, shard := range r.shards {
		part := completeness.Part{
			Buckets:    shard.Buckets,
			Weight:     shard.Weight,
			Present:    shard.batch != nil,
			Version:    shard.Version,
			ShardEpoch: shard.ShardEpoch,
			Reason:     shard.reason,
			Detail:     shard.detail,
		}
		span := cursor.Span{Start: shard.Buckets.Start, End: shard.Buckets.End, ShardEpoch: shard.ShardEpoch}
		if shard.batch != nil {
			part.Version = shard.batch.Version
			span.Version = shard.batch.Version
		}
		parts = append(parts, part)
		spans = append(spans, span)
	}
	return parts, spans
}
