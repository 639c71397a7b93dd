package rows

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/results/merge"
)

func TestGroupsRoundTrip(t *testing.T) {
	a, w := newAnswer(), newRequest(2, testRank)
	w.AggregateColumns, w.GroupColumns = []string{"", "risk", "insurer"}, []string{"insurer"}
	s := a.Batch.Schema
	a.Groups = merge.NewGroups([]merge.Column{{Kind: merge.Int}, s[1], s[2]}, 3)
	for i, name := range []string{"x", "x", "y"} {
		g, err := a.Groups.GetOrCreate([]merge.Value{merge.TextOf(name)})
		require.NoError(t, err)
		for j, v := range []merge.Value{merge.IntOf(0), merge.FloatOf(float64(i) + 0.5), merge.TextOf(name)} {
			require.NoError(t, g.Partials[j].Add(v))
		}
	}
	check := func(got *Answer, err error) {
		t.Helper()
		require.NoError(t, err)
		all := got.Groups.Sorted()
		require.Len(t, all, 2)
		require.EqualValues(t, 2, all[0].Partials[0].Count)
		sum, err := all[0].Partials[1].Sum()
		require.NoError(t, err)
		require.Equal(t, merge.FloatOf(2), sum)
		require.Equal(t, merge.FloatOf(1.5), all[0].Partials[1].Max)
		require.EqualValues(t, 1, all[1].Partials[2].Distinct())
	}
	text, err := a.EncodeJSON()
	require.NoError(t, err)
	check(DecodeJSON(text, w))
	rec, err := a.EncodeArrow()
	require.NoError(t, err)
	defer rec.Release()
	check(DecodeArrow(rec, w))
	w.MaxGroups = 1
	_, err = DecodeJSON(text, w)
	require.ErrorIs(t, err, ErrMalformed, "more groups than the bound")
	w.MaxGroups, w.AggregateColumns = 3, nil
	_, err = DecodeJSON(text, w)
	require.ErrorIs(t, err, ErrMalformed, "groups that nobody asked for")
	w.AggregateColumns, w.GroupColumns = []string{"age"}, nil
	_, err = DecodeJSON(text, w)
	require.ErrorContains(t, err, `column "age" is not there`)
	for _, bad := range []string{`{"by":["x"],"of":[{"count":1,"sum":7}]}`, `{"by":["x"],"of":[{"count":0,"sum":7}]}`,
		`{"by":["x"],"of":[{"count":1,"sum":1,"min":2,"max":1}]}`, `{"by":[],"of":[{"count":0}]}`, `{"by":["x"],"of":[]}`,
		`{"by":["x"],"of":[{"count":0}]},{"by":["x"],"of":[{"count":0}]}`,
		`{"by":["x"],"of":[{"count":1,"sum":1,"min":1,"max":1,"quantile":"AQID"}]}`} {
		_, err := DecodeJSON([]byte(`{"version":7,"schema":[{"name":"premium","kind":"int"},{"name":"insurer","kind":"text"}],
			"rows":[],"groups":[`+bad+`]}`), Request{Buckets: testBuckets, AggregateColumns: []string{"premium"}, GroupColumns: []string{"insurer"}, MaxGroups: 3})
		require.ErrorIs(t, err, ErrMalformed, bad)
	}
}
