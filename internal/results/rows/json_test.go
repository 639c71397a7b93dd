package rows

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/results/merge"
)

func TestJSONRoundTrip(t *testing.T) {
	a := newAnswer()
	text, err := a.EncodeJSON()
	require.NoError(t, err)
	got, err := DecodeJSON(text, newRequest(2, testRank))
	require.NoError(t, err)
	require.Equal(t, a, got)
	rec, err := a.EncodeArrow()
	require.NoError(t, err)
	defer rec.Release()
	got, err = DecodeArrow(rec, newRequest(2, testRank))
	require.NoError(t, err)
	require.Equal(t, a, got)
	a.Batch.Rows, a.Summary, a.Batch.HasMore = []merge.Row{}, nil, false
	text, err = a.EncodeJSON()
	require.NoError(t, err)
	got, err = DecodeJSON(text, newRequest(0, testRank))
	require.NoError(t, err)
	require.Equal(t, a, got)
	a = newAnswer()
	a.Batch.Rows[0].Values[1] = merge.FloatOf(math.NaN())
	text, err = a.EncodeJSON()
	require.NoError(t, err)
	got, err = DecodeJSON(text, newRequest(2, testRank))
	require.NoError(t, err, "NaN is for the merge to turn away")
	require.True(t, math.IsNaN(got.Batch.Rows[0].Values[1].Float))
}

func TestDecodeJSONErrors(t *testing.T) {
	const schema = `"version":7,"schema":[{"name":"premium","kind":"int"}]`
	for text, what := range map[string]string{
		``:                                          "no object",
		`[]`:                                        "no object",
		"{\"version\":7,\"a\xff\":1}":               "not UTF-8",
		`{` + schema + `}`:                          "rows missing",
		`{"rows":[]}`:                               "rows before their schema",
		`{` + schema + `,"rows":7}`:                 "no list",
		`{` + schema + `,"version":8}`:              `"version" stands twice`,
		`{` + schema + `,"rows":[],"x":1}`:          `name "x"`,
		`{` + schema + `,"rows":[]} {}`:             "something behind",
		`{` + schema + `,"rows":[[10,"a"]]}`:        "rows[0]: 2 values",
		`{` + schema + `,"rows":[["x","a",1]]}`:     "rows[0]: district",
		`{` + schema + `,"rows":[[10,"a","dear"]]}`: "rows[0]: premium: no integer",
		`{` + schema + `,"rows":[[10,"a",1e30]]}`:   "rows[0]: premium: no integer",
		`{` + schema + `,"rows":[[10,"a",1.5]]}`:    "rows[0]: premium: no integer",
		`{` + schema + `,"rows":[[10,"a",1],[10,"b",1],[10,"c",1]]}`:                             "more than the 2 rows",
		`{` + schema + `,"rows":[[10,"a",1]`:                                                     "EOF",
		`{"version":7,"schema":[{"name":"a","kind":"date"}],"rows":[]}`:                          "schema[0]",
		`{"version":7,"schema":[{"name":"a","kind":"int"},{"name":"a","kind":"int"}],"rows":[]}`: "schema[1]",
		`{` + schema + `,"rows":[],"summary":{"count":3}}`:                                       "summary: 0 least values",
		`{` + schema + `,"rows":[],"summary":{"count":3,"least":[null]}}`:                        "summary: least[0]",
		`{` + schema + `,"rows":[],"summary":{"count":0,"least":[1]}}`:                           "summary: 1 least",
		`{` + schema + `,"rows":[],"summary":{"count":3,"least":[1],"min":2,"max":1}}`:           "summary",
	} {
		_, err := DecodeJSON([]byte(text), newRequest(2, testRank[:1]))
		require.ErrorIs(t, err, ErrMalformed, text)
		require.Contains(t, err.Error(), what, text)
	}
	// Rows without end are given up at the first that was not asked for, not after they were all held.
	endless := `{` + schema + `,"rows":[` + strings.Repeat(`[10,"a",1],`, 1_000_000)
	n := testing.AllocsPerRun(1, func() { _, _ = DecodeJSON([]byte(endless), newRequest(2, testRank[:1])) })
	require.Less(t, n, 300.0)
}

// FuzzParseJSON: whatever a backend sends is an error, or an answer that is encoded and decoded without change.
func FuzzParseJSON(f *testing.F) {
	text, _ := newAnswer().EncodeJSON()
	f.Add(text)
	f.Add([]byte(`{"version":7,"schema":[{"name":"premium","kind":"float"}],"rows":[[1,"a","NaN"]]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := DecodeJSON(text, newRequest(10, testRank))
		if err != nil {
			return
		}
		once, err := a.EncodeJSON()
		if err != nil {
			t.Fatal(err)
		}
		b, err := DecodeJSON(once, newRequest(10, testRank))
		if err != nil {
			t.Fatalf("%s: %v", once, err)
		}
		if again, _ := b.EncodeJSON(); string(again) != string(once) {
			t.Fatalf("%s\n%s", once, again)
		}
	})
}
