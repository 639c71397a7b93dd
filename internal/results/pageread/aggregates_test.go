package pageread

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

func TestAggregatesOfACompleteAnswer(t *testing.T) {
	c, err := merge.ParseClause([]byte(`{"aggregate":[{"name":"n","do":"count"},{"name":"total","do":"sum","of":"premium"},
		{"name":"least","do":"min","of":"premium"},{"name":"mean","do":"mean","of":"premium"},
		{"name":"median","do":"quantile","of":"premium","q":0.5},{"name":"kinds","do":"distinct","of":"premium"}]}`))
	require.NoError(t, err)
	columns := []merge.Column{{Kind: merge.Int}, testSchema[0]}
	read := func(values map[int][]int64, notes ...*completeness.Summary) Step {
		q := newTable(t).query(0)
		q.Clause, q.Summaries = c, notes
		var parts []Part
		for i := range 3 {
			parts = append(parts, Part{Buckets: shardmap.Range{Start: i, End: i + 1}, Weight: 1.0 / 3, Version: 1, ShardEpoch: 1})
		}
		r, _ := New(0, q, parts, nil)
		for i, p := range parts {
			list, in := values[i]
			if !in {
				r.RecordFailure(p.Buckets, completeness.Failed)
				continue
			}
			g := merge.NewGroups(columns, 1)
			x, err := g.GetOrCreate(nil)
			require.NoError(t, err)
			for _, v := range list {
				require.NoError(t, x.Partials[0].Add(merge.IntOf(0)))
				require.NoError(t, x.Partials[1].Add(merge.IntOf(v)))
			}
			require.NoError(t, r.RecordAnswer(1, &rows.Answer{Batch: merge.Batch{Buckets: p.Buckets, Version: 1, Schema: testSchema},
				Groups: g}, 0))
		}
		return r.Step(2)
	}
	figures := func(st Step) map[string]Aggregate {
		require.NotNil(t, st.Result)
		require.Len(t, st.Result.Groups, 1)
		out := map[string]Aggregate{}
		for _, f := range st.Result.Groups[0].Aggregates {
			out[f.Name] = f
		}
		return out
	}
	exact := func(x float64) completeness.Bound { return completeness.Bound{Known: true, Low: x, High: x} }
	f := figures(read(map[int][]int64{0: {5, 7}, 1: {}, 2: {3, 3, 2}}))
	require.Equal(t, Aggregate{"n", merge.IntOf(5), exact(5)}, f["n"])
	require.Equal(t, Aggregate{"total", merge.IntOf(20), exact(20)}, f["total"])
	require.Equal(t, Aggregate{"least", merge.IntOf(2), exact(2)}, f["least"])
	require.Equal(t, Aggregate{"mean", merge.FloatOf(4), exact(4)}, f["mean"])
	require.InEpsilon(t, 3, f["median"].Value.Float, 2*merge.QuantileAccuracy)
	require.Equal(t, merge.IntOf(4), f["kinds"].Value)

	f = figures(read(map[int][]int64{0: {5, 7}, 2: {3}}))
	require.Equal(t, Aggregate{"total", merge.IntOf(15), completeness.Bound{}}, f["total"], "nothing is known of what is missing")
	require.False(t, f["least"].Bound.Known)
	note := &completeness.Summary{Buckets: shardmap.Range{Start: 1, End: 2}, Version: 1, ShardEpoch: 1, Count: 2, Min: 1, Max: 4, Sum: 5,
		FirstRank: []merge.Value{}}
	f = figures(read(map[int][]int64{0: {5, 7}, 2: {3}}, note))
	require.Equal(t, exact(20), f["total"].Bound)
	require.Equal(t, exact(5), f["n"].Bound)
	require.Equal(t, Aggregate{"least", merge.IntOf(3), exact(1)}, f["least"], "the least that is in, and the least that is")
	require.False(t, f["median"].Bound.Known)

	st := read(map[int][]int64{0: {1 << 62}, 1: {1 << 62}, 2: {3}})
	f = figures(st)
	require.Equal(t, merge.IntOf(1<<62+3), f["total"].Value)
	require.Len(t, st.Result.Report.Missing, 1)
	require.Contains(t, st.Result.Report.Missing[0].Detail, "overflows")
}
