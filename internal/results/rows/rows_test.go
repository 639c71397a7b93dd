package rows

import (
	"math"
	"strings"
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

var (
	testBuckets = shardmap.Range{Start: 10, End: 20}
	testRank    = []string{"premium", "risk"}
)

func newRequest(most int, rank []string) Request {
	return Request{Buckets: testBuckets, ShardEpoch: 3, MaxRows: most, RankColumns: rank, MaxGroups: 3}
}

func newAnswer() *Answer {
	s := merge.Schema{{Name: "premium", Kind: merge.Int, Currency: "INR"}, {Name: "risk", Kind: merge.Float},
		{Name: "insurer", Kind: merge.Text}}
	return &Answer{Batch: merge.Batch{Buckets: testBuckets, Version: 7, Schema: s, HasMore: true, Rows: []merge.Row{
		{Bucket: 12, Key: "k-1", Values: []merge.Value{merge.IntOf(math.MaxInt64), merge.FloatOf(0.1), merge.TextOf("ä\"\n")}},
		{Bucket: 19, Key: "k 2", Values: []merge.Value{{}, {}, {}}}}},
		Summary: &completeness.Summary{Buckets: testBuckets, Version: 7, ShardEpoch: 3, Count: 99,
			FirstRank: []merge.Value{merge.IntOf(5), merge.FloatOf(0.25)}, Min: 5, Max: 900, Sum: 12_000}}
}

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

// Aggregates by group go over both wires and are then what they were.
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

func TestDecodeArrowErrors(t *testing.T) {
	build := func(f func(b *array.RecordBuilder), meta arrow.Metadata, fields ...arrow.Field) arrow.RecordBatch {
		b := array.NewRecordBuilder(memory.DefaultAllocator, arrow.NewSchema(fields, &meta))
		defer b.Release()
		f(b)
		return b.NewRecordBatch()
	}
	meta := arrow.NewMetadata([]string{"version", "more"}, []string{"7", "false"})
	district, key := arrow.Field{Name: "district", Type: arrow.PrimitiveTypes.Int32}, arrow.Field{Name: "key",
		Type: arrow.BinaryTypes.String}
	one := func(b *array.RecordBuilder) {
		for _, f := range b.Fields() {
			f.AppendEmptyValue()
		}
	}
	for name, c := range map[string]struct {
		rec  arrow.RecordBatch
		what string
	}{
		"no key":       {build(one, meta, district), "the first columns"},
		"other order":  {build(one, meta, key, district), "the first columns"},
		"wide":         {build(one, meta, arrow.Field{Name: "district", Type: arrow.PrimitiveTypes.Int64}, key), "district: int64"},
		"no version":   {build(one, arrow.Metadata{}, district, key), "version"},
		"dates":        {build(one, meta, district, key, arrow.Field{Name: "d", Type: arrow.FixedWidthTypes.Date32}), "date32"},
		"column twice": {build(one, meta, district, key, arrow.Field{Name: "x", Type: arrow.BinaryTypes.String}, arrow.Field{Name: "x", Type: arrow.BinaryTypes.String}), "stands twice"},
		"too many":     {build(func(b *array.RecordBuilder) { one(b); one(b); one(b) }, meta, district, key), "3 rows, 2 were asked for"},
		"null key":     {build(func(b *array.RecordBuilder) { b.Field(0).AppendEmptyValue(); b.Field(1).AppendNull() }, meta, district, key), "key"},
	} {
		_, err := DecodeArrow(c.rec, newRequest(2, nil))
		require.ErrorIs(t, err, ErrMalformed, name)
		require.Contains(t, err.Error(), c.what, name)
	}
}

// FuzzParseJSON: whatever a node sends is an error, or can be written and read again.
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
