package fetchplan

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

// For a page of 50 rows over 200 shards of 100,000 rows not many more rows are received than the page has.
func TestFewRowsAreReceivedForAPage(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	const n, each, limit = 200, 100_000, 50
	w, districts, weights := newTable(t, n, 0, nil)
	for _, d := range districts { // only the first rows can matter: the least of so many draws
		at := int64(0)
		for j := range 200 {
			at += int64(r.ExpFloat64() * 1e6 / each)
			w.rows[d] = append(w.rows[d], merge.Row{Bucket: d.Start, Key: fmt.Sprintf("%06d", j),
				Values: []merge.Value{merge.IntOf(at)}})
		}
	}
	p, asks := New(0, newOptions(limit), districts, weights)
	page := w.readPage(t, p, asks, limit, func(shardmap.Range) bool { return false })
	require.Len(t, page.Rows, limit)
	require.Less(t, p.RowsReceived(), 300, "of 10,000 if each were asked for a page")
	t.Logf("%d rows moved for a page of %d over %d slices, in %d further rounds", p.RowsReceived(), limit, n, p.ExtraRounds())
}
