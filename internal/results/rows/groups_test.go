package rows

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/results/merge"
)

// newGroupedAnswer returns an answer with two groups, x of two rows and y of one, and the request that it answers.
func newGroupedAnswer(t *testing.T) (*Answer, Request) {
	t.Helper()
	answer := newAnswer()
	request := newRequest(2, testRank)
	request.AggregateColumns = []string{"", "risk", "insurer"}
	request.GroupColumns = []string{"insurer"}
	schema := answer.Batch.Schema
	answer.Groups = merge.NewGroups([]merge.Column{{Kind: merge.Int}, schema[1], schema[2]}, 3)
	for i, insurer := range []string{"x", "x", "y"} {
		group, err := answer.Groups.GetOrCreate([]merge.Value{merge.TextOf(insurer)})
		require.NoError(t, err)
		values := []merge.Value{merge.IntOf(0), merge.FloatOf(float64(i) + 0.5), merge.TextOf(insurer)}
		for j, value := range values {
			require.NoError(t, group.Partials[j].Add(value))
		}
	}
	return answer, request
}

// requireGroups checks that a decoded answer has the groups of newGroupedAnswer.
func requireGroups(t *testing.T, decoded *Answer) {
	t.Helper()
	groups := decoded.Groups.Sorted()
	require.Len(t, groups, 2)
	require.EqualValues(t, 2, groups[0].Partials[0].Count)
	sum, err := groups[0].Partials[1].Sum()
	require.NoError(t, err)
	require.Equal(t, merge.FloatOf(2), sum)
	require.Equal(t, merge.FloatOf(1.5), groups[0].Partials[1].Max)
	require.EqualValues(t, 1, groups[1].Partials[2].Distinct())
}

func TestGroupsRoundTrip(t *testing.T) {
	answer, request := newGroupedAnswer(t)
	text, err := answer.EncodeJSON()
	require.NoError(t, err)
	decoded, err := DecodeJSON(text, request)
	require.NoError(t, err)
	requireGroups(t, decoded)
	record, err := answer.EncodeArrow()
	require.NoError(t, err)
	t.Cleanup(record.Release)
	decoded, err = DecodeArrow(record, request)
	require.NoError(t, err)
	requireGroups(t, decoded)
}

func TestGroupsThatWereNotRequested(t *testing.T) {
	answer, request := newGroupedAnswer(t)
	text, err := answer.EncodeJSON()
	require.NoError(t, err)
	request.MaxGroups = 1
	_, err = DecodeJSON(text, request)
	require.ErrorIs(t, err, ErrMalformed, "more groups than MaxGroups")
	request.MaxGroups = 3
	request.AggregateColumns = nil
	_, err = DecodeJSON(text, request)
	require.ErrorIs(t, err, ErrMalformed, "no groups were requested")
	request.AggregateColumns = []string{"age"}
	request.GroupColumns = nil
	_, err = DecodeJSON(text, request)
	require.ErrorContains(t, err, `no column "age"`)
}

func TestMalformedGroups(t *testing.T) {
	request := Request{Buckets: testBuckets, AggregateColumns: []string{"premium"}, GroupColumns: []string{"insurer"},
		MaxGroups: 3}
	for name, groups := range map[string]string{
		"no minimum":           `{"by":["x"],"of":[{"count":1,"sum":7}]}`,
		"sum of no values":     `{"by":["x"],"of":[{"count":0,"sum":7}]}`,
		"minimum over maximum": `{"by":["x"],"of":[{"count":1,"sum":1,"min":2,"max":1}]}`,
		"value missing":        `{"by":[],"of":[{"count":0}]}`,
		"aggregate missing":    `{"by":["x"],"of":[]}`,
		"duplicate":            `{"by":["x"],"of":[{"count":0}]},{"by":["x"],"of":[{"count":0}]}`,
		"malformed sketch":     `{"by":["x"],"of":[{"count":1,"sum":1,"min":1,"max":1,"quantile":"AQID"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeJSON([]byte(`{"version":7,"schema":[{"name":"premium","kind":"int"},{"name":"insurer","kind":"text"}],
				"rows":[],"groups":[`+groups+`]}`), request)
			require.ErrorIs(t, err, ErrMalformed)
		})
	}
}
