package merge

import (
	"flag"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 on the command line draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var testSchema = Schema{
	{Name: "premium", Kind: Int, Currency: "INR"},
	{Name: "risk", Kind: Float},
	{Name: "insurer", Kind: Text},
}

// testRow makes a row of testSchema.
func testRow(bucket int, key string, premium int64, risk float64) Row {
	return Row{Bucket: bucket, Key: key, Values: []Value{IntOf(premium), FloatOf(risk), TextOf("a")}}
}

func newOrder(t require.TestingT, rank ...SortColumn) *Order {
	if helper, ok := t.(interface{ Helper() }); ok {
		helper.Helper()
	}
	order, err := NewOrder(testSchema, rank)
	require.NoError(t, err)
	return order
}

// readBatch answers like a backend: of sorted rows at most maxRows of the buckets that come after a position.
func readBatch(order *Order, sorted []Row, buckets shardmap.Range, after *Position, maxRows int) *Batch {
	batch := &Batch{Buckets: buckets, Version: 1, Schema: testSchema}
	for _, row := range sorted {
		inBuckets := row.Bucket >= buckets.Start && row.Bucket < buckets.End
		if !inBuckets || after != nil && order.Compare(order.PositionOf(row), *after) <= 0 {
			continue
		}
		if len(batch.Rows) == maxRows {
			batch.HasMore = true
			break
		}
		batch.Rows = append(batch.Rows, row)
	}
	return batch
}
