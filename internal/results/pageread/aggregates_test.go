package pageread

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

const aggregateClause = `{"aggregate":[{"name":"n","do":"count"},{"name":"total","do":"sum","of":"premium"},
	{"name":"least","do":"min","of":"premium"},{"name":"mean","do":"mean","of":"premium"},
	{"name":"median","do":"quantile","of":"premium","q":0.5},{"name":"kinds","do":"distinct","of":"premium"}]}`

// aggregateThree reads the aggregates of three shards with the given premiums by bucket. A shard without an entry
// fails.
func aggregateThree(t *testing.T, premiums map[int][]int64, summaries ...*completeness.Summary) *Result {
	t.Helper()
	clause, err := merge.ParseClause([]byte(aggregateClause))
	require.NoError(t, err)
	query := newTable(t).query(0)
	query.Clause = clause
	query.Summaries = summaries
	var parts []Part
	for i := range 3 {
		parts = append(parts, Part{Buckets: shardmap.Range{Start: i, End: i + 1}, Weight: 1.0 / 3, Version: 1,
			ShardEpoch: 1})
	}
	reader, _ := New(0, query, parts, nil)
	for i, part := range parts {
		shardPremiums, ok := premiums[i]
		if !ok {
			reader.RecordFailure(part.Buckets, completeness.Failed)
			continue
		}
		groups := merge.NewGroups([]merge.Column{{Kind: merge.Int}, testSchema[0]}, 1)
		group, err := groups.GetOrCreate(nil)
		require.NoError(t, err)
		for _, premium := range shardPremiums {
			require.NoError(t, group.Partials[0].Add(merge.IntOf(0)))
			require.NoError(t, group.Partials[1].Add(merge.IntOf(premium)))
		}
		answer := &rows.Answer{Batch: merge.Batch{Buckets: part.Buckets, Version: 1, Schema: testSchema}, Groups: groups}
		require.NoError(t, reader.RecordAnswer(1, answer, 0))
	}
	step := reader.Step(2)
	require.NotNil(t, step.Result)
	return step.Result
}

// aggregatesByName returns the aggregates of the only group of a result.
func aggregatesByName(t *testing.T, result *Result) map[string]Aggregate {
	t.Helper()
	require.Len(t, result.Groups, 1)
	byName := map[string]Aggregate{}
	for _, aggregate := range result.Groups[0].Aggregates {
		byName[aggregate.Name] = aggregate
	}
	return byName
}

func exactly(x float64) completeness.Bound { return completeness.Bound{Known: true, Low: x, High: x} }

func TestAggregatesOfACompleteAnswer(t *testing.T) {
	aggregates := aggregatesByName(t, aggregateThree(t, map[int][]int64{0: {5, 7}, 1: {}, 2: {3, 3, 2}}))
	require.Equal(t, Aggregate{"n", merge.IntOf(5), exactly(5)}, aggregates["n"])
	require.Equal(t, Aggregate{"total", merge.IntOf(20), exactly(20)}, aggregates["total"])
	require.Equal(t, Aggregate{"least", merge.IntOf(2), exactly(2)}, aggregates["least"])
	require.Equal(t, Aggregate{"mean", merge.FloatOf(4), exactly(4)}, aggregates["mean"])
	require.InEpsilon(t, 3, aggregates["median"].Value.Float, 2*merge.QuantileAccuracy)
	require.Equal(t, merge.IntOf(4), aggregates["kinds"].Value)
}

func TestAggregatesWithoutASummaryOfTheMissingShard(t *testing.T) {
	aggregates := aggregatesByName(t, aggregateThree(t, map[int][]int64{0: {5, 7}, 2: {3}}))
	require.Equal(t, Aggregate{"total", merge.IntOf(15), completeness.Bound{}}, aggregates["total"])
	require.False(t, aggregates["least"].Bound.Known)
}

func TestAggregatesWithASummaryOfTheMissingShard(t *testing.T) {
	summary := &completeness.Summary{Buckets: shardmap.Range{Start: 1, End: 2}, Version: 1, ShardEpoch: 1, Count: 2,
		Min: 1, Max: 4, Sum: 5, FirstRank: []merge.Value{}}
	aggregates := aggregatesByName(t, aggregateThree(t, map[int][]int64{0: {5, 7}, 2: {3}}, summary))
	require.Equal(t, exactly(20), aggregates["total"].Bound)
	require.Equal(t, exactly(5), aggregates["n"].Bound)
	require.Equal(t, Aggregate{"least", merge.IntOf(3), exactly(1)}, aggregates["least"],
		"the value is over the present rows, the bound over all rows")
	require.False(t, aggregates["median"].Bound.Known)
}

// A shard that makes the sum overflow must be missing, and the others must still be aggregated.
func TestOverflowRejectsTheShard(t *testing.T) {
	result := aggregateThree(t, map[int][]int64{0: {1 << 62}, 1: {1 << 62}, 2: {3}})
	require.Equal(t, merge.IntOf(1<<62+3), aggregatesByName(t, result)["total"].Value)
	require.Len(t, result.Report.Missing, 1)
	require.Contains(t, result.Report.Missing[0].Detail, "overflows")
}
