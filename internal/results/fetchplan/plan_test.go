package fetchplan

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/merge"
)

func init() { _ = flag.Set("rapid.seed", "20261201") }

var testSchema = merge.Schema{{Name: "premium", Kind: merge.Int}}

// testTable is slices with rows in order, and a reading of one page from them.
type testTable struct {
	order *merge.Order
	rows  map[shardmap.Range][]merge.Row
}

func newTable(t require.TestingT, n, each int, draw func() int64) (*testTable, []shardmap.Range, []float64) {
	o, err := merge.NewOrder(testSchema, []merge.SortColumn{{Column: "premium"}})
	require.NoError(t, err)
	w := &testTable{order: o, rows: map[shardmap.Range][]merge.Row{}}
	var districts []shardmap.Range
	var weights []float64
	for i := range n {
		d := shardmap.Range{Start: i, End: i + 1}
		districts, weights = append(districts, d), append(weights, 1/float64(n))
		for j := range each {
			w.rows[d] = append(w.rows[d], merge.Row{Bucket: i, Key: fmt.Sprintf("%06d", j),
				Values: []merge.Value{merge.IntOf(draw())}})
		}
		slices.SortFunc(w.rows[d], func(a, b merge.Row) int { return o.Compare(o.PositionOf(a), o.PositionOf(b)) })
	}
	return w, districts, weights
}

// readPage reads a page to its end; asks are answered at once but for slices that never are.
func (w *testTable) readPage(t require.TestingT, p *Plan, asks []Request, limit int, never func(shardmap.Range) bool) merge.Page {
	batches, now := map[shardmap.Range]*merge.Batch{}, 0.0
	for round := 0; round < 200; round++ {
		for _, a := range asks {
			if now++; never(a.Buckets) {
				continue
			}
			rows := w.rows[a.Buckets]
			n := min(a.Rows, len(rows))
			if p.RecordAnswer(now, a.Buckets, n, n < len(rows)) {
				batches[a.Buckets] = &merge.Batch{Buckets: a.Buckets, Schema: testSchema, Rows: rows[:n], HasMore: n < len(rows)}
			}
		}
		for v := p.Decide(now); !v.Done; v = p.Decide(now) {
			require.Greater(t, v.WakeAt, now, "it is told when to look again")
			now = v.WakeAt
		}
		var list []*merge.Batch
		for d, b := range batches {
			if p.Included(d) {
				list = append(list, b)
			}
		}
		page := w.order.Merge(list, limit)
		if asks = p.RequestMore(now, page.NeedMore); len(page.NeedMore) == 0 {
			return page
		}
	}
	require.Fail(t, "the page does not end")
	return merge.Page{}
}

func newOptions(limit int) Options {
	return Options{Limit: limit, Floor: 0.7, LatencyObjective: 10_000, Deadline: 20_000, PartialWorth: 0.9, LateWorth: 0.3, Margin: 20}
}

// The page is the true one over the slices that stand, for any table, with some slices silent.
func TestPageIsThatOfTheIncludedShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, limit := rapid.IntRange(1, 12).Draw(t, "slices"), rapid.IntRange(0, 20).Draw(t, "limit")
		w, districts, weights := newTable(t, n, rapid.IntRange(0, 15).Draw(t, "rows"),
			func() int64 { return int64(rapid.IntRange(0, 20).Draw(t, "premium")) })
		o := newOptions(limit)
		o.Floor, o.MaxRowsPerRequest = 0.1, rapid.IntRange(0, 5).Draw(t, "most")
		silent := map[shardmap.Range]bool{}
		for _, d := range districts[1:] {
			silent[d] = rapid.IntRange(0, 4).Draw(t, "silent") == 0
		}
		p, asks := New(0, o, districts, weights)
		page := w.readPage(t, p, asks, limit, func(d shardmap.Range) bool { return silent[d] })
		var all []merge.Row
		for _, d := range districts {
			require.Equal(t, !silent[d], p.Included(d))
			if !silent[d] {
				all = append(all, w.rows[d]...)
			}
		}
		slices.SortFunc(all, func(a, b merge.Row) int { return w.order.Compare(w.order.PositionOf(a), w.order.PositionOf(b)) })
		want := all[:min(limit, len(all))]
		require.Equal(t, len(want), len(page.Rows))
		for i := range want {
			require.Equal(t, want[i], page.Rows[i])
		}
		require.Equal(t, len(all) > limit, page.HasMore)
	})
}

// 200 slices of 100,000 rows each and a page of 50: what is moved is close to what the page needs.
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

// Nothing is dropped below the floor, however late it is; above it a late slice is, once it is as late again.
func TestNoShardIsAbandonedBelowTheFloor(t *testing.T) {
	ten := func(floor float64, in int) (*Plan, []shardmap.Range) {
		var d []shardmap.Range
		var w []float64
		for i := range 10 {
			d, w = append(d, shardmap.Range{Start: i, End: i + 1}), append(w, 0.1)
		}
		o := newOptions(10)
		o.Floor = floor
		p, _ := New(0, o, d, w)
		for i := range in {
			require.True(t, p.RecordAnswer(20, d[i], 1, false))
		}
		return p, d
	}
	p, d := ten(0.7, 6)
	v := p.Decide(5000)
	require.False(t, v.Done, "six of ten are not seven")
	require.Equal(t, 20_000-20.0, v.WakeAt)
	require.True(t, p.RecordAnswer(5000, d[6], 1, false), "the seventh comes late, and is wanted")
	v = p.Decide(5001)
	require.True(t, v.Done && !v.Hopeless)
	require.Equal(t, d[7:], v.Abandoned)
	require.False(t, p.RecordAnswer(5002, d[7], 1, false), "what was dropped does not come back into the page")

	p, _ = ten(0.7, 7)
	v = p.Decide(30)
	require.Equal(t, Decision{WakeAt: 60}, v, "three times the median of 20 ms")
	v = p.Decide(60)
	require.Equal(t, Decision{WakeAt: 120}, v)
	require.True(t, p.Decide(120).Done)

	p, _ = ten(0.7, 6)
	require.Equal(t, Decision{Done: true, Hopeless: true}, p.Decide(19_980), "at the end there is no answer below the floor")
	p, d = ten(0.7, 6)
	for _, x := range d[6:] {
		p.RecordFailure(x)
	}
	require.Equal(t, Decision{Done: true, Hopeless: true}, p.Decide(21), "it is known at once")
	p, _ = ten(0.7, 10)
	require.Equal(t, Decision{Done: true}, p.Decide(21))
}

// A slice that is split between two fetches of a page is read anew as its halves; its old rows do not stand.
func TestSplitBetweenTwoRequests(t *testing.T) {
	d := []shardmap.Range{{Start: 0, End: 10}, {Start: 10, End: 20}}
	p, _ := New(0, newOptions(10), d, []float64{0.5, 0.5})
	require.True(t, p.RecordAnswer(5, d[0], 8, true))
	require.True(t, p.RecordAnswer(5, d[1], 8, true))
	require.Len(t, p.RequestMore(6, d[:1]), 1)
	asks := p.Reshard(7, d[0], []shardmap.Range{{Start: 0, End: 4}, {Start: 4, End: 10}})
	require.Len(t, asks, 2)
	require.Zero(t, asks[0].Received)
	require.False(t, p.Included(d[0]))
	require.False(t, p.RecordAnswer(8, d[0], 16, true), "the old slice's answer comes too late")
	in, could := p.weights()
	require.InDelta(t, 0.5, in, 1e-9)
	require.InDelta(t, 1, could, 1e-9)
	require.True(t, p.RecordAnswer(8, asks[0].Buckets, 3, false))
	require.True(t, p.RecordAnswer(8, asks[1].Buckets, 3, false))
	require.True(t, p.Decide(9).Done)
}
