package rows

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/results/merge"
)

func TestJSONRoundTrip(t *testing.T) {
	answer := newAnswer()
	text, err := answer.EncodeJSON()
	require.NoError(t, err)
	decoded, err := DecodeJSON(text, newRequest(2, testRank))
	require.NoError(t, err)
	require.Equal(t, answer, decoded)
}

func TestJSONRoundTripWithoutRows(t *testing.T) {
	answer := newAnswer()
	answer.Batch.Rows = []merge.Row{}
	answer.Batch.HasMore = false
	answer.Summary = nil
	text, err := answer.EncodeJSON()
	require.NoError(t, err)
	decoded, err := DecodeJSON(text, newRequest(0, testRank))
	require.NoError(t, err)
	require.Equal(t, answer, decoded)
}

func TestJSONRoundTripOfNaN(t *testing.T) {
	answer := newAnswer()
	answer.Batch.Rows[0].Values[1] = merge.FloatOf(math.NaN())
	text, err := answer.EncodeJSON()
	require.NoError(t, err)
	decoded, err := DecodeJSON(text, newRequest(2, testRank))
	require.NoError(t, err, "NaN is rejected by merge, not by the decoder")
	require.True(t, math.IsNaN(decoded.Batch.Rows[0].Values[1].Float))
}

// testSchemaJSON holds the version and schema members of malformed answers.
const testSchemaJSON = `"version":7,"schema":[{"name":"premium","kind":"int"}]`

func TestDecodeJSONErrors(t *testing.T) {
	const schema = testSchemaJSON
	for text, want := range map[string]string{
		``:                                          "no object",
		`[]`:                                        "no object",
		"{\"version\":7,\"a\xff\":1}":               "not UTF-8",
		`{` + schema + `}`:                          "rows missing",
		`{"rows":[]}`:                               "rows before their schema",
		`{` + schema + `,"rows":7}`:                 "no array",
		`{` + schema + `,"version":8}`:              `duplicate "version"`,
		`{` + schema + `,"rows":[],"x":1}`:          `name "x"`,
		`{` + schema + `,"rows":[]} {}`:             "text after",
		`{` + schema + `,"rows":[[10,"a"]]}`:        "rows[0]: 2 values",
		`{` + schema + `,"rows":[["x","a",1]]}`:     "rows[0]: district",
		`{` + schema + `,"rows":[[10,"a","dear"]]}`: "rows[0]: premium: not an integer",
		`{` + schema + `,"rows":[[10,"a",1e30]]}`:   "rows[0]: premium: not an integer",
		`{` + schema + `,"rows":[[10,"a",1.5]]}`:    "rows[0]: premium: not an integer",
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
		require.Contains(t, err.Error(), want, text)
	}
}

// Decoding must stop at the first row beyond the requested number. If it decoded all rows before counting them, its
// memory use would grow with the answer and not with the request.
func TestDecodeJSONStopsAtTheFirstRowTooMany(t *testing.T) {
	endless := `{` + testSchemaJSON + `,"rows":[` + strings.Repeat(`[10,"a",1],`, 1_000_000)
	allocations := testing.AllocsPerRun(1, func() { _, _ = DecodeJSON([]byte(endless), newRequest(2, testRank[:1])) })
	require.Less(t, allocations, 300.0)
}

// FuzzDecodeJSON checks that any input is rejected, or is an answer that stays the same when encoded and decoded.
func FuzzDecodeJSON(f *testing.F) {
	text, _ := newAnswer().EncodeJSON()
	f.Add(text)
	f.Add([]byte(`{"version":7,"schema":[{"name":"premium","kind":"float"}],"rows":[[1,"a","NaN"]]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		answer, err := DecodeJSON(text, newRequest(10, testRank))
		if err != nil {
			return
		}
		encoded, err := answer.EncodeJSON()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeJSON(encoded, newRequest(10, testRank))
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		if again, _ := decoded.EncodeJSON(); string(again) != string(encoded) {
			t.Fatalf("%s\n%s", encoded, again)
		}
	})
}
