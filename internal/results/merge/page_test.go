package merge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
)

// Pages of any size return every row once and in order, in a bounded number of rounds, however the buckets are split
// into shards, also if that changes from one page to the next.
func TestPagesAgreeHoweverBucketsAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOrder(t, SortColumn{"premium", rapid.Bool().Draw(t, "down")}, SortColumn{"risk", false})
		var all []Row
		for i := range rapid.IntRange(0, 60).Draw(t, "rows") {
			// Few premiums: ties run over slices and page borders.
			all = append(all, testRow(rapid.IntRange(0, 19).Draw(t, "district"), fmt.Sprint("k", i),
				int64(rapid.IntRange(1, 4).Draw(t, "premium")), float64(rapid.IntRange(0, 1).Draw(t, "risk"))))
		}
		slices.SortFunc(all, func(a, b Row) int { return o.compareRows(&a, &b) })
		cut := func() (out []shardmap.Range) {
			for at := 0; at < 20; {
				n := rapid.IntRange(1, 20-at).Draw(t, "cut")
				out = append(out, shardmap.Range{Start: at, End: at + n})
				at += n
			}
			return out
		}
		var got []Row
		var after *Position
		for pages := 0; ; pages++ {
			require.Less(t, pages, 70)
			limit, first := rapid.IntRange(1, 12).Draw(t, "limit"), rapid.IntRange(0, 5).Draw(t, "first")
			var batches []*Batch
			for _, r := range cut() {
				batches = append(batches, readBatch(o, all, r, after, first))
			}
			var p Page
			for round := 0; ; round++ {
				require.Less(t, round, 70)
				for _, b := range batches {
					require.NoError(t, o.Validate(b, after, limit+first))
				}
				rand.New(rand.NewPCG(uint64(round), 1)).Shuffle(len(batches), func(i, j int) {
					batches[i], batches[j] = batches[j], batches[i]
				})
				if p = o.Merge(batches, limit); len(p.NeedMore) == 0 {
					break
				}
				for _, r := range p.NeedMore {
					i := slices.IndexFunc(batches, func(b *Batch) bool { return b.Buckets == r })
					require.True(t, batches[i].HasMore, "only who has more is asked")
					batches[i] = readBatch(o, all, r, after, len(batches[i].Rows)+max(first, 1))
				}
			}
			got = append(got, p.Rows...)
			if !p.HasMore {
				break
			}
			require.Len(t, p.Rows, limit, "a page that is not the last is full")
			at := o.PositionOf(p.Rows[len(p.Rows)-1])
			after = &at
		}
		require.Equal(t, all, got)
	})
}

func TestMergeOfEmptyBatchesAndPages(t *testing.T) {
	o := newOrder(t, SortColumn{"premium", false})
	p := o.Merge(nil, 5)
	require.True(t, len(p.Rows) == 0 && !p.HasMore && len(p.NeedMore) == 0)
	empty := &Batch{Buckets: shardmap.Range{Start: 0, End: 5}, Schema: testSchema}
	p = o.Merge([]*Batch{empty, empty}, 5)
	require.True(t, len(p.Rows) == 0 && !p.HasMore && len(p.NeedMore) == 0, "all slices are empty")
	one := &Batch{Buckets: shardmap.Range{Start: 5, End: 9}, Schema: testSchema, Rows: []Row{testRow(5, "a", 1, 0)}}
	p = o.Merge([]*Batch{empty, one}, 0)
	require.True(t, len(p.Rows) == 0 && p.HasMore, "limit 0 tells that there is something")
	p = o.Merge([]*Batch{empty, one}, 99)
	require.True(t, len(p.Rows) == 1 && !p.HasMore)
	require.Equal(t, one.Buckets, p.Sources[0])
}

func BenchmarkMerge200(b *testing.B) {
	o := newOrder(b, SortColumn{"premium", false})
	var batches []*Batch
	for i := range 200 {
		x := &Batch{Buckets: shardmap.Range{Start: i, End: i + 1}, Schema: testSchema}
		for j := range 100 {
			x.Rows = append(x.Rows, testRow(i, fmt.Sprint(j), int64(j*200+i*7%200), 1))
		}
		batches = append(batches, x)
	}
	b.ReportAllocs()
	b.ResetTimer()
	rows := 0
	for range b.N {
		rows += len(o.Merge(batches, 20_000).Rows)
	}
	b.ReportMetric(float64(rows)/b.Elapsed().Seconds(), "rows/s")
}
