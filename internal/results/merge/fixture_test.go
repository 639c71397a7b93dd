package merge

import (
	"flag"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 on the command line draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var testSchema = Schema{{Name: "premium", Kind: Int, Currency: "INR"}, {Name: "risk", Kind: Float}, {Name: "insurer", Kind: Text}}

// testRow makes a row of testSchema.
func testRow(district int, key string, premium int64, risk float64) Row {
	return Row{Bucket: district, Key: key, Values: []Value{IntOf(premium), FloatOf(risk), TextOf("a")}}
}

func newOrder(t require.TestingT, by ...SortColumn) *Order {
	o, err := NewOrder(testSchema, by)
	require.NoError(t, err)
	return o
}

// readBatch answers like a backend: of sorted rows at most maxRows of the buckets that come after a position.
func readBatch(o *Order, all []Row, r shardmap.Range, after *Position, most int) *Batch {
	b := &Batch{Buckets: r, Version: 1, Schema: testSchema}
	for _, x := range all {
		if x.Bucket >= r.Start && x.Bucket < r.End && (after == nil || o.Compare(o.PositionOf(x), *after) > 0) {
			if len(b.Rows) == most {
				b.HasMore = true
				break
			}
			b.Rows = append(b.Rows, x)
		}
	}
	return b
}
