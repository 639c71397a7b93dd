package merge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const fullClause = `{"rank":[{"column":"premium"},{"column":"risk","order":"desc"}],"page":{"size":20},
	"aggregate":[{"name":"n","do":"count"},{"name":"p99","do":"quantile","of":"risk","q":0.99}],"group":["insurer"],
	"filter":[{"column":"premium","op":"le","value":700},{"column":"insurer","op":"ne","value":"x"}],"least":0.9}`

func TestParseClause(t *testing.T) {
	clause, err := ParseClause([]byte(fullClause))
	require.NoError(t, err)
	require.Equal(t, []SortColumn{{"premium", false}, {"risk", true}}, clause.SortColumns())
	next, err := ParseClause([]byte(`{"least":0.9,"rank":[{"column":"premium","order":"asc"},{"order":"desc","column":"risk"}],
		"page":{"size":50,"cursor":"abc"},"aggregate":[{"do":"count","name":"n"},{"name":"p99","do":"quantile","of":"risk",
		"q":0.99}],"group":["insurer"],"filter":[{"column":"premium","op":"le","value":7e2},{"column":"insurer","op":"ne",
		"value":"x"}]}`))
	require.NoError(t, err)
	canonical, err := ParseClause(next.Canonical())
	require.ErrorIs(t, err, ErrInvalidClause, "the canonical form has no page, and a rank without a page is invalid")
	require.Equal(t, clause.Aggregate, canonical.Aggregate)
}

func TestParseClauseErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{}`:                          "neither rank nor aggregate",
		`[`:                           "unexpected EOF",
		`{"rank":[{"column":"a"}]} x`: "more than one object",
		`{"rank":[{"column":"a"}]}`:   "page: page and rank must be given together",
		`{"aggregate":[{"name":"n","do":"count"}],"page":{"size":1}}`:                               "page: page and rank must be given together",
		`{"rank":[{"column":"a"},{"column":"a"}],"page":{}}`:                                        `rank[1].column: duplicate "a"`,
		`{"rank":[{"column":"a","order":"up"}],"page":{}}`:                                          "rank[0].order",
		`{"rank":[{"column":"a"}],"page":{"size":1001}}`:                                            "page.size",
		`{"rank":[{"column":"a"}],"page":{"size":-1}}`:                                              "page.size",
		`{"rank":[{"column":"a"}],"page":{},"group":["b"]}`:                                         "group: no aggregate",
		`{"rank":[{"column":"a"}],"page":{},"least":1.5}`:                                           "least",
		`{"aggregate":[{"name":"n","do":"sum"}]}`:                                                   "aggregate[0].of",
		`{"aggregate":[{"name":"n","do":"median","of":"a"}]}`:                                       "aggregate[0].do",
		`{"aggregate":[{"name":"n","do":"quantile","of":"a"}]}`:                                     "aggregate[0].q",
		`{"aggregate":[{"name":"n","do":"sum","of":"a","q":0.5}]}`:                                  "aggregate[0].q",
		`{"aggregate":[{"name":"n","do":"count"},{"name":"n","do":"count"}]}`:                       "aggregate[1].name",
		`{"aggregate":[{"name":"n","do":"count"}],"filter":[{"column":"a","op":"in","value":1}]}`:   "filter[0].op",
		`{"aggregate":[{"name":"n","do":"count"}],"filter":[{"column":"a","op":"eq","value":[1]}]}`: "filter[0].value",
		`{"aggregate":[{"name":"n","do":"count"}],"filter":[{"column":"a","op":"eq"}]}`:             "filter[0].value",
		`{"aggregate":[{"name":"n","do":"count"}],"order":1}`:                                       `unknown field "order"`,
	} {
		_, err := ParseClause([]byte(text))
		require.ErrorIs(t, err, ErrInvalidClause, text)
		require.Contains(t, err.Error(), want, text)
	}
}

// The canonical form must not depend on the spelling of the JSON or on the page size. Otherwise the cursor of a page
// would be rejected when the client asks for the next one.
func TestCanonical(t *testing.T) {
	equal := func(a, b string) bool {
		t.Helper()
		first, err := ParseClause([]byte(a))
		require.NoError(t, err)
		second, err := ParseClause([]byte(b))
		require.NoError(t, err)
		return string(first.Canonical()) == string(second.Canonical())
	}
	clause := `{"rank":[{"column":"a"}],"page":{"size":5},"filter":[{"column":"b","op":"lt","value":1.50}]}`
	require.True(t, equal(clause, `{"filter":[{"op":"lt","value": 1.5,"column":"b"}],"page":{"size":9,"cursor":"x"},"rank":[{"order":"asc","column":"a"}]}`))
	require.False(t, equal(clause, `{"rank":[{"column":"a"}],"page":{"size":5},"filter":[{"column":"b","op":"le","value":1.5}]}`))
	require.False(t, equal(clause, `{"rank":[{"column":"a","order":"desc"}],"page":{"size":5},"filter":[{"column":"b","op":"lt","value":1.5}]}`))
}

// FuzzParseClause checks that a text is rejected, or that its canonical form parses and is canonical itself.
func FuzzParseClause(f *testing.F) {
	f.Add([]byte(fullClause))
	f.Add([]byte(`{"aggregate":[{"name":"n","do":"count"}],"filter":[{"column":"a","op":"eq","value":1e400}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		clause, err := ParseClause(text)
		if err != nil {
			return
		}
		canonical := clause.Canonical()
		if clause.Page == nil { // without its page a clause with a rank is invalid
			again, err := ParseClause(canonical)
			if err != nil {
				t.Fatalf("%s: %v", canonical, err)
			}
			if string(again.Canonical()) != string(canonical) {
				t.Fatalf("%s\n%s", canonical, again.Canonical())
			}
		}
		for _, condition := range clause.Filter {
			condition.Matches(IntOf(1))
		}
	})
}
