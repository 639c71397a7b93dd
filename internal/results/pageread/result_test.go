package pageread

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/cursor"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

// The shard with the lowest premium is missing from page one, which so has no certain rank, and returns before page two.
// Page two continues page one, repeats no row, and says that page one would now differ.
func TestShardReturnsBetweenPages(t *testing.T) {
	s := newTable(t, testPremiums()...)
	s.silent[cheapestShard] = true
	one := s.readPage(6, nil)
	require.False(t, one.Complete)
	require.Equal(t, []bool{false, false, false, false, false, false}, one.Certain, "it might hold the cheapest")
	require.InDelta(t, 0.8, one.Report.Weight, 1e-9)
	require.Equal(t, completeness.TimedOut, one.Report.Missing[0].Reason)

	s.silent[cheapestShard] = false
	two := s.readPage(6, one.Next)
	require.Equal(t, 7, two.FirstRank)
	require.Equal(t, []cursor.Span{{Start: 4, End: 6, Version: 1}}, two.Back)
	require.False(t, two.Complete)
	require.NotContains(t, two.Certain, true)
	seen := append(keysOf(one.Rows), keysOf(two.Rows)...)
	require.Len(t, slices.Compact(slices.Sorted(slices.Values(seen))), 12, "no row twice")
	require.NotContains(t, seen, "004", "what would have come before page two is on no page, and that is said")
	last := s.order.PositionOf(one.Rows[5])
	var rest []merge.Row
	for _, r := range s.rows {
		if s.order.Compare(s.order.PositionOf(r), last) > 0 {
			rest = append(rest, r)
		}
	}
	require.Equal(t, keysOf(rest[:6]), keysOf(two.Rows), "none is skipped by rank")

	// A summary of its least rules the cheapest out, or does not.
	s = newTable(t, testPremiums()...)
	s.silent[cheapestShard], s.versions[cheapestShard], s.shardEpochs[cheapestShard] = true, 3, 2
	note := &completeness.Summary{Buckets: cheapestShard, Version: 3, ShardEpoch: 2, Count: 6, FirstRank: []merge.Value{merge.IntOf(104)}}
	s.summaries = []*completeness.Summary{note}
	one = s.readPage(6, nil)
	require.Equal(t, []bool{true, true, true}, one.Certain[:3], "dearer than the first three")
	require.False(t, one.Certain[5])
	note.Version = 2
	require.False(t, s.readPage(6, nil).Certain[0], "an older summary is worth nothing")
}

func TestShardIsLostBetweenPages(t *testing.T) {
	s := newTable(t, testPremiums()...)
	one := s.readPage(6, nil)
	require.True(t, one.Complete)
	require.NotContains(t, one.Certain, false)
	s.silent[cheapestShard] = true
	two := s.readPage(6, one.Next)
	require.Equal(t, []cursor.Span{{Start: 4, End: 6}}, two.Gone)
	require.False(t, two.Complete)
	require.NotContains(t, two.Certain, true)
	require.True(t, s.order.Compare(s.order.PositionOf(one.Rows[5]), s.order.PositionOf(two.Rows[0])) < 0, "it stays in order")
}

// On page two a replica answers at an older data version than page one read, then at a newer one.
func TestDataVersionOfPageTwo(t *testing.T) {
	s := newTable(t, testPremiums()...)
	s.versions[cheapestShard] = 5
	one := s.readPage(6, nil)
	s.changeAnswer = func(a *rows.Answer) {
		if a.Batch.Buckets == cheapestShard {
			a.Batch.Version = 4
		}
	}
	two := s.readPage(6, one.Next)
	require.ErrorIs(t, s.answerErrors[0], ErrStaleVersion)
	require.Equal(t, completeness.StaleVersion, two.Report.Missing[0].Reason, "no replica was better: the slice is missing")
	s.changeAnswer, s.versions[cheapestShard] = nil, 6
	two = s.readPage(6, one.Next)
	require.Equal(t, []cursor.Span{{Start: 4, End: 6, Version: 6}}, two.Other, "a newer one is read, and said")
}

// Over any table, with shards split anew and silent at random between pages, no row is repeated, all pages are in order,
// a certain rank is the true one, and only a complete page is reported as complete.
func TestPagesAgree(t *testing.T) {
	certain := 0
	rapid.Check(t, func(t *rapid.T) {
		var p []int64
		for range rapid.IntRange(0, 40).Draw(t, "rows") {
			p = append(p, int64(rapid.IntRange(0, 9).Draw(t, "premium")))
		}
		s := newTable(t, p...)
		var before *cursor.Cursor
		var got []merge.Row
		for pages := 0; pages < 60; pages++ {
			s.shards, s.silent = nil, map[shardmap.Range]bool{}
			for at := 0; at < 10; {
				d := shardmap.Range{Start: at, End: at + rapid.IntRange(1, 10-at).Draw(t, "cut")}
				s.shards, at = append(s.shards, d), d.End
				s.silent[d] = d.Start > 0 && rapid.IntRange(0, 9).Draw(t, "silent") == 0
			}
			r := s.readPage(rapid.IntRange(1, 9).Draw(t, "size"), before)
			require.Equal(t, len(got)+1, r.FirstRank)
			missing := 0
			for _, d := range s.shards {
				if s.silent[d] {
					missing++
				}
			}
			require.Equal(t, missing > 0, len(r.Report.Missing) > 0)
			require.False(t, r.Complete && missing > 0)
			for i, x := range r.Rows {
				if len(got) > 0 {
					require.Negative(t, s.order.Compare(s.order.PositionOf(got[len(got)-1]), s.order.PositionOf(x)))
				}
				if got = append(got, x); r.Certain[i] {
					certain++
					require.Equal(t, s.rows[r.FirstRank+i-1].Key, x.Key)
				}
			}
			if before = r.Next; before == nil {
				return
			}
		}
	})
	require.Positive(t, certain)
}
