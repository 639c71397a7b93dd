package completeness

import (
	"flag"

	"github.com/stretchr/testify/require"

	"ternstage/internal/results/merge"
)

func init() { _ = flag.Set("rapid.seed", "20261201") }

var table = merge.Schema{{Name: "premium", Kind: merge.Int}}

func newOrder(t require.TestingT) *merge.Order {
	o, err := merge.NewOrder(table, []merge.SortColumn{{Column: "premium"}})
	require.NoError(t, err)
	return o
}
