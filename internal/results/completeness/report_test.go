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

// testShard is a shard with its premiums in order, and what the broker knows of it.
type testShard struct {
	part    Part
	rows    []int64
	summary *Summary
}

// trueSummary is the summary that the shard's backend states.
func (s *testShard) trueSummary() *Summary {
	x := &Summary{Buckets: s.part.Buckets, Version: s.part.Version, ShardEpoch: s.part.ShardEpoch, Count: uint64(len(s.rows)),
		Min: math.NaN(), Max: math.NaN()}
	for _, v := range s.rows {
		x.Sum += float64(v)
	}
	if len(s.rows) > 0 {
		least, most := slices.Min(s.rows), slices.Max(s.rows)
		x.FirstRank, x.Min, x.Max = []merge.Value{merge.IntOf(least)}, float64(least), float64(most)
	}
	return x
}

// Whichever shards are missing and whatever is known of them, a certain rank is the true one and each bound holds the
// true figure. Outdated summaries count for nothing.
func TestReportClaimsNothingUntrue(t *testing.T) {
	certain, bounded := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		o := newOrder(t)
		var all []testShard
		for i := range rapid.IntRange(1, 8).Draw(t, "slices") {
			s := testShard{part: Part{Buckets: shardmap.Range{Start: i, End: i + 1}, Weight: 1, Version: 5, ShardEpoch: 3,
				Present: rapid.IntRange(0, 3).Draw(t, "missing") > 0}}
			for range rapid.IntRange(0, 5).Draw(t, "rows") {
				s.rows = append(s.rows, int64(rapid.IntRange(0, 9).Draw(t, "premium")))
			}
			slices.Sort(s.rows)
			switch x := s.trueSummary(); rapid.IntRange(0, 5).Draw(t, "summary") {
			case 0: // none
			case 1: // an older version, of rows that were other ones
				x.Version, x.FirstRank, x.Count = 4, []merge.Value{merge.IntOf(99)}, 0
				s.summary = x
			case 2: // from before a split
				x.ShardEpoch, x.FirstRank, x.Count = 2, []merge.Value{merge.IntOf(99)}, 0
				s.summary = x
			default:
				s.summary = x
			}
			all = append(all, s)
		}
		n := float64(len(all))
		var parts []Part
		var summaries []*Summary
		var places, truth []merge.Position
		sum, sumIn, count, countIn := 0.0, 0.0, 0, 0
		least, leastIn := math.Inf(1), math.Inf(1)
		for _, s := range all {
			s.part.Weight = 1 / n
			parts = append(parts, s.part)
			if s.summary != nil {
				summaries = append(summaries, s.summary)
			}
			for i, v := range s.rows {
				at := merge.Position{Rank: []merge.Value{merge.IntOf(v)}, Bucket: s.part.Buckets.Start, Key: fmt.Sprint(i)}
				truth = append(truth, at)
				sum, count, least = sum+float64(v), count+1, min(least, float64(v))
				if s.part.Present {
					places = append(places, at)
					sumIn, countIn, leastIn = sumIn+float64(v), countIn+1, min(leastIn, float64(v))
				}
			}
		}
		slices.SortFunc(places, o.Compare)
		slices.SortFunc(truth, o.Compare)
		st := New(parts, summaries, 1)
		require.Equal(t, len(st.Missing) == 0, st.Complete)
		for i, ok := range st.CertainRanks(o, places) {
			if ok {
				certain++
				require.Equal(t, truth[i], places[i], "rank %d is called certain", i+1)
			} else if len(st.Missing) == 0 {
				t.Fatalf("rank %d of a whole answer is not certain", i+1)
			}
		}
		in := func(b Bound, x float64) {
			if b.Known {
				bounded++
				require.LessOrEqual(t, b.Low, x)
				require.GreaterOrEqual(t, b.High, x)
			}
		}
		in(st.CountBound(uint64(countIn)), float64(count))
		in(st.SumBound(sumIn), sum)
		if b := st.MinBound(leastIn, countIn > 0); b.Known {
			require.Equal(t, least, b.Low)
		}
		if count > 0 {
			in(st.MeanBound(sumIn, uint64(countIn)), sum/float64(count))
		}
	})
	require.Positive(t, certain)
	require.Positive(t, bounded)
}

// An answer with exactly the floor's weight may be given and one with a bucket less may not; a stricter minimum of the
// client counts.
func TestMeetsFloor(t *testing.T) {
	for in, want := range map[int]bool{69: false, 70: true, 71: true} {
		var parts []Part
		for i := range 100 {
			parts = append(parts, Part{Buckets: shardmap.Range{Start: i, End: i + 1}, Weight: 0.01, Present: i < in})
		}
		require.Equal(t, want, New(parts, nil, 1).MeetsFloor(0.7, 0), in)
		require.False(t, New(parts, nil, 1).MeetsFloor(0.7, 0.72))
	}
	require.False(t, New(nil, nil, 1).MeetsFloor(0, 0), "nothing is in")
}

func BenchmarkState1000(b *testing.B) {
	o := newOrder(b)
	var parts []Part
	var sums []*Summary
	var places []merge.Position
	for i := range 1000 {
		r := shardmap.Range{Start: i, End: i + 1}
		parts = append(parts, Part{Buckets: r, Weight: 0.001, Present: i%10 > 0, Version: 1, ShardEpoch: 1})
		sums = append(sums, &Summary{Buckets: r, Version: 1, ShardEpoch: 1, Count: 1, FirstRank: []merge.Value{merge.IntOf(900)}})
	}
	for i := range 50 {
		places = append(places, merge.Position{Rank: []merge.Value{merge.IntOf(int64(i))}})
	}
	b.ReportAllocs()
	for range b.N {
		New(parts, sums, 1).CertainRanks(o, places)
	}
}
