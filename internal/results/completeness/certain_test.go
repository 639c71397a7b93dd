package completeness

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// The first rank must be certain only if the missing shard cannot hold a row with a lower premium. A summary of older
// data, of other buckets or from before a split must not make it certain.
func TestFirstRankIsCertainOnlyWithApplicableSummary(t *testing.T) {
	order := newOrder(t)
	positions := []merge.Position{{Rank: []merge.Value{merge.IntOf(10)}, Bucket: 2, Key: "k"}}
	for name, test := range map[string]struct {
		summary *Summary // applies to the missing part, first premium 11; changed by change
		change  func(summary *Summary, missing *Part)
		want    bool
	}{
		"no summary":              {nil, nil, false},
		"higher first premium":    {newSummary(), func(*Summary, *Part) {}, true},
		"equal in a later bucket": {newSummary(), func(s *Summary, _ *Part) { s.FirstRank[0] = merge.IntOf(10) }, true},
		"lower first premium":     {newSummary(), func(s *Summary, _ *Part) { s.FirstRank[0] = merge.IntOf(9) }, false},
		"older data version":      {newSummary(), func(s *Summary, _ *Part) { s.Version = 7 }, false},
		"before a split":          {newSummary(), func(s *Summary, _ *Part) { s.ShardEpoch = 1 }, false},
		"other buckets":           {newSummary(), func(s *Summary, _ *Part) { s.Buckets.End = 8 }, false},
		"no rows": {newSummary(), func(s *Summary, _ *Part) {
			s.Count = 0
			s.FirstRank = nil
		}, true},
		"unknown data version": {newSummary(), func(_ *Summary, missing *Part) { missing.Version = 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			parts := []Part{
				{Buckets: shardmap.Range{Start: 0, End: 5}, Weight: 0.7, Present: true, Version: 1, ShardEpoch: 1},
				{Buckets: shardmap.Range{Start: 5, End: 9}, Weight: 0.3, Version: 8, ShardEpoch: 2, Reason: TimedOut},
			}
			var summaries []*Summary
			if test.summary != nil {
				test.change(test.summary, &parts[1])
				summaries = append(summaries, test.summary)
			}
			report := New(parts, summaries, 1)
			require.Equal(t, test.want, report.CertainRanks(order, positions)[0])
			require.False(t, report.Complete)
			require.InDelta(t, 0.7, report.Weight, 1e-9)
		})
	}
}

// newSummary returns a summary that applies to the missing part of the test.
func newSummary() *Summary {
	return &Summary{Buckets: shardmap.Range{Start: 5, End: 9}, Version: 8, ShardEpoch: 2, Count: 3,
		FirstRank: []merge.Value{merge.IntOf(11)}}
}
