package fetchplan

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

// A page of 50 rows over 200 shards must not transfer many more rows than the page has.
func TestFewRowsAreReceivedForAPage(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const shards, rowsPerShard, limit = 200, 100_000, 50
	table := newTable(t, shards, 0, nil)
	for _, buckets := range table.shards { // the lowest 200 of the 100,000 rows of a shard are enough
		premium := int64(0)
		for i := range 200 {
			premium += int64(random.ExpFloat64() * 1e6 / rowsPerShard)
			table.rows[buckets] = append(table.rows[buckets], newRow(buckets.Start, i, premium))
		}
	}
	plan, requests := New(0, newOptions(limit), table.shards, table.weights)
	page := table.readPage(t, plan, requests, limit, func(shardmap.Range) bool { return false })
	require.Len(t, page.Rows, limit)
	require.Less(t, plan.RowsReceived(), 300, "a page from each shard would be 10,000 rows")
	t.Logf("%d rows received for a page of %d over %d shards, in %d extra rounds", plan.RowsReceived(), limit, shards,
		plan.ExtraRounds())
}
