package completeness

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// testShard is a shard with its premiums, in order, and the summary that the broker has of it.
type testShard struct {
	part     Part
	premiums []int64
	summary  *Summary // may be nil or outdated
}

// trueSummary returns a correct summary of the rows of the shard, as its backend sends it.
func (s *testShard) trueSummary() *Summary {
	summary := &Summary{Buckets: s.part.Buckets, Version: s.part.Version, ShardEpoch: s.part.ShardEpoch,
		Count: uint64(len(s.premiums)), Min: math.NaN(), Max: math.NaN()}
	for _, premium := range s.premiums {
		summary.Sum += float64(premium)
	}
	if len(s.premiums) > 0 {
		minimum := slices.Min(s.premiums)
		summary.FirstRank = []merge.Value{merge.IntOf(minimum)}
		summary.Min = float64(minimum)
		summary.Max = float64(slices.Max(s.premiums))
	}
	return summary
}

// drawShard draws whether the shard is present, its premiums, and whether its summary is true, outdated or absent.
// Outdated summaries contain false values.
func drawShard(t *rapid.T, bucket int) testShard {
	shard := testShard{part: Part{Buckets: shardmap.Range{Start: bucket, End: bucket + 1}, Weight: 1, Version: 5,
		ShardEpoch: 3, Present: rapid.IntRange(0, 3).Draw(t, "present") > 0}}
	for range rapid.IntRange(0, 5).Draw(t, "rows") {
		shard.premiums = append(shard.premiums, int64(rapid.IntRange(0, 9).Draw(t, "premium")))
	}
	slices.Sort(shard.premiums)
	summary := shard.trueSummary()
	switch rapid.IntRange(0, 5).Draw(t, "summary") {
	case 0: // none
	case 1:
		summary.Version = 4 // older than the data
		summary.FirstRank = []merge.Value{merge.IntOf(99)}
		summary.Count = 0
		shard.summary = summary
	case 2:
		summary.ShardEpoch = 2 // before the last change of the shard
		summary.FirstRank = []merge.Value{merge.IntOf(99)}
		summary.Count = 0
		shard.summary = summary
	default:
		shard.summary = summary
	}
	return shard
}

// testTotals holds the positions of the rows of some shards and the aggregates over them.
type testTotals struct {
	positions []merge.Position // in order
	sum       float64
	count     int
	minimum   float64
}

func totalsOf(order *merge.Order, shards []testShard) testTotals {
	totals := testTotals{minimum: math.Inf(1)}
	for _, shard := range shards {
		for i, premium := range shard.premiums {
			totals.positions = append(totals.positions, merge.Position{Rank: []merge.Value{merge.IntOf(premium)},
				Bucket: shard.part.Buckets.Start, Key: fmt.Sprint(i)})
			totals.sum += float64(premium)
			totals.count++
			totals.minimum = min(totals.minimum, float64(premium))
		}
	}
	slices.SortFunc(totals.positions, order.Compare)
	return totals
}

// A rank reported as certain must be the true one, and each bound must include the true aggregate, whichever shards
// are missing and whatever is known of them. Using an outdated summary would break this.
func TestReportedRanksAndBoundsAreTrue(t *testing.T) {
	certain := 0
	bounded := 0
	rapid.Check(t, func(t *rapid.T) {
		order := newOrder(t)
		var shards, presentShards []testShard
		for i := range rapid.IntRange(1, 8).Draw(t, "shards") {
			shards = append(shards, drawShard(t, i))
		}
		var parts []Part
		var summaries []*Summary
		for _, shard := range shards {
			shard.part.Weight = 1 / float64(len(shards))
			parts = append(parts, shard.part)
			if shard.summary != nil {
				summaries = append(summaries, shard.summary)
			}
			if shard.part.Present {
				presentShards = append(presentShards, shard)
			}
		}
		all := totalsOf(order, shards)
		present := totalsOf(order, presentShards)
		report := New(parts, summaries, 1)
		require.Equal(t, len(report.Missing) == 0, report.Complete)
		for i, isCertain := range report.CertainRanks(order, present.positions) {
			if isCertain {
				certain++
				require.Equal(t, all.positions[i], present.positions[i], "rank %d is reported as certain", i+1)
			} else if len(report.Missing) == 0 {
				t.Fatalf("rank %d of a complete answer is not certain", i+1)
			}
		}
		requireWithin := func(bound Bound, want float64) {
			t.Helper()
			if bound.Known {
				bounded++
				require.LessOrEqual(t, bound.Low, want)
				require.GreaterOrEqual(t, bound.High, want)
			}
		}
		requireWithin(report.CountBound(uint64(present.count)), float64(all.count))
		requireWithin(report.SumBound(present.sum), all.sum)
		if bound := report.MinBound(present.minimum, present.count > 0); bound.Known {
			require.Equal(t, all.minimum, bound.Low)
		}
		if all.count > 0 {
			requireWithin(report.MeanBound(present.sum, uint64(present.count)), all.sum/float64(all.count))
		}
	})
	require.Positive(t, certain)
	require.Positive(t, bounded)
}

// An answer with exactly the minimum completeness of the class may be given. One with a bucket less may not, nor one
// below a stricter minimum of the client.
func TestMeetsMinCompleteness(t *testing.T) {
	for present, want := range map[int]bool{69: false, 70: true, 71: true} {
		var parts []Part
		for i := range 100 {
			parts = append(parts, Part{Buckets: shardmap.Range{Start: i, End: i + 1}, Weight: 0.01, Present: i < present})
		}
		require.Equal(t, want, New(parts, nil, 1).MeetsMinCompleteness(0.7, 0), present)
		require.False(t, New(parts, nil, 1).MeetsMinCompleteness(0.7, 0.72))
	}
	require.False(t, New(nil, nil, 1).MeetsMinCompleteness(0, 0), "nothing is present")
}

func BenchmarkCertainRanks1000(b *testing.B) {
	order := newOrder(b)
	var parts []Part
	var summaries []*Summary
	var positions []merge.Position
	for i := range 1000 {
		buckets := shardmap.Range{Start: i, End: i + 1}
		parts = append(parts, Part{Buckets: buckets, Weight: 0.001, Present: i%10 > 0, Version: 1, ShardEpoch: 1})
		summaries = append(summaries, &Summary{Buckets: buckets, Version: 1, ShardEpoch: 1, Count: 1,
			FirstRank: []merge.Value{merge.IntOf(900)}})
	}
	for i := range 50 {
		positions = append(positions, merge.Position{Rank: []merge.Value{merge.IntOf(int64(i))}})
	}
	b.ReportAllocs()
	for range b.N {
		New(parts, summaries, 1).CertainRanks(order, positions)
	}
}
