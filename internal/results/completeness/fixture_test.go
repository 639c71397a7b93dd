package completeness

import (
	"flag"

	"github.com/stretchr/testify/require"

	"ternstage/internal/results/merge"
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 on the command line draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// newOrder returns an order of rows by premium, lowest first.
func newOrder(t require.TestingT) *merge.Order {
	if helper, ok := t.(interface{ Helper() }); ok {
		helper.Helper()
	}
	schema := merge.Schema{{Name: "premium", Kind: merge.Int}}
	order, err := merge.NewOrder(schema, []merge.SortColumn{{Column: "premium"}})
	require.NoError(t, err)
	return order
}
