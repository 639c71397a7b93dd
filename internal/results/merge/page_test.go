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

// drawRows draws rows with few different premiums, so that ties span shards and pages.
func drawRows(t *rapid.T, order *Order) []Row {
	var rows []Row
	for i := range rapid.IntRange(0, 60).Draw(t, "rows") {
		bucket := rapid.IntRange(0, 19).Draw(t, "bucket")
		premium := int64(rapid.IntRange(1, 4).Draw(t, "premium"))
		risk := float64(rapid.IntRange(0, 1).Draw(t, "risk"))
		rows = append(rows, testRow(bucket, fmt.Sprint("k", i), premium, risk))
	}
	slices.SortFunc(rows, func(a, b Row) int { return order.compareRows(&a, &b) })
	return rows
}

// drawShards splits 20 buckets into shards.
func drawShards(t *rapid.T) []shardmap.Range {
	var shards []shardmap.Range
	for start := 0; start < 20; {
		size := rapid.IntRange(1, 20-start).Draw(t, "size")
		shards = append(shards, shardmap.Range{Start: start, End: start + size})
		start += size
	}
	return shards
}

// drawPage reads the next page of the sorted rows. It splits the buckets into new shards, and draws the page limit
// and how many rows the first round requests of each shard.
func drawPage(t *rapid.T, order *Order, sorted []Row, after *Position) (page Page, limit int) {
	limit = rapid.IntRange(1, 12).Draw(t, "limit")
	firstRows := rapid.IntRange(0, 5).Draw(t, "first")
	var batches []*Batch
	for _, buckets := range drawShards(t) {
		batches = append(batches, readBatch(order, sorted, buckets, after, firstRows))
	}
	for round := 0; ; round++ {
		require.Less(t, round, 70)
		for _, batch := range batches {
			require.NoError(t, order.Validate(batch, after, limit+firstRows))
		}
		rand.New(rand.NewPCG(uint64(round), 1)).Shuffle(len(batches), func(i, j int) {
			batches[i], batches[j] = batches[j], batches[i]
		})
		page = order.Merge(batches, limit)
		if len(page.NeedMore) == 0 {
			return page, limit
		}
		for _, buckets := range page.NeedMore {
			i := slices.IndexFunc(batches, func(batch *Batch) bool { return batch.Buckets == buckets })
			require.True(t, batches[i].HasMore, "only shards that have more rows are listed")
			batches[i] = readBatch(order, sorted, buckets, after, len(batches[i].Rows)+max(firstRows, 1))
		}
	}
}

// Pages of any size must return every row once, in order and in a bounded number of rounds, even if the buckets are
// split into other shards between pages.
func TestPagesAgreeHoweverBucketsAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := newOrder(t, SortColumn{"premium", rapid.Bool().Draw(t, "descending")}, SortColumn{"risk", false})
		sorted := drawRows(t, order)
		var read []Row
		var after *Position
		for pages := 0; ; pages++ {
			require.Less(t, pages, 70)
			page, limit := drawPage(t, order, sorted, after)
			read = append(read, page.Rows...)
			if !page.HasMore {
				break
			}
			require.Len(t, page.Rows, limit, "a page that is not the last is full")
			last := order.PositionOf(page.Rows[len(page.Rows)-1])
			after = &last
		}
		require.Equal(t, sorted, read)
	})
}

func TestMergeOfEmptyBatchesAndPages(t *testing.T) {
	order := newOrder(t, SortColumn{"premium", false})
	page := order.Merge(nil, 5)
	require.True(t, len(page.Rows) == 0 && !page.HasMore && len(page.NeedMore) == 0)
	empty := &Batch{Buckets: shardmap.Range{Start: 0, End: 5}, Schema: testSchema}
	page = order.Merge([]*Batch{empty, empty}, 5)
	require.True(t, len(page.Rows) == 0 && !page.HasMore && len(page.NeedMore) == 0, "all shards are empty")
	single := &Batch{Buckets: shardmap.Range{Start: 5, End: 9}, Schema: testSchema, Rows: []Row{testRow(5, "a", 1, 0)}}
	page = order.Merge([]*Batch{empty, single}, 0)
	require.True(t, len(page.Rows) == 0 && page.HasMore, "limit 0 reports that there are rows")
	page = order.Merge([]*Batch{empty, single}, 99)
	require.True(t, len(page.Rows) == 1 && !page.HasMore)
	require.Equal(t, single.Buckets, page.Sources[0])
}

func BenchmarkMerge200(b *testing.B) {
	order := newOrder(b, SortColumn{"premium", false})
	var batches []*Batch
	for i := range 200 {
		batch := &Batch{Buckets: shardmap.Range{Start: i, End: i + 1}, Schema: testSchema}
		for j := range 100 {
			batch.Rows = append(batch.Rows, testRow(i, fmt.Sprint(j), int64(j*200+i*7%200), 1))
		}
		batches = append(batches, batch)
	}
	b.ReportAllocs()
	b.ResetTimer()
	rows := 0
	for range b.N {
		rows += len(order.Merge(batches, 20_000).Rows)
	}
	b.ReportMetric(float64(rows)/b.Elapsed().Seconds(), "rows/s")
}
