package pageread

import (
	"flag"
	"fmt"
	"slices"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/cursor"
	"ternstage/internal/results/fetchplan"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

// A fixed seed makes every run draw the same cases; -rapid.seed=0 on the command line draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

const testBucketCount = 10

var testSchema = merge.Schema{{Name: "premium", Kind: merge.Int}}

// testTable is a table of ten buckets and the backends that hold its shards.
type testTable struct {
	t            require.TestingT
	order        *merge.Order
	rows         []merge.Row // in order
	shards       []shardmap.Range
	shardEpochs  map[shardmap.Range]uint64
	versions     map[shardmap.Range]uint64 // newest known version; backends answer with 1 instead of 0
	unresponsive map[shardmap.Range]bool   // shards that do not answer
	changeAnswer func(*rows.Answer)        // if not nil
	summaries    []*completeness.Summary
	answerErrors []error // returned by RecordAnswer, on all pages
}

// newTable creates a table of five shards with one row per premium. Row i is in bucket i modulo 10.
func newTable(t require.TestingT, premiums ...int64) *testTable {
	order, err := merge.NewOrder(testSchema, []merge.SortColumn{{Column: "premium"}})
	require.NoError(t, err)
	table := &testTable{t: t, order: order, shardEpochs: map[shardmap.Range]uint64{},
		versions: map[shardmap.Range]uint64{}, unresponsive: map[shardmap.Range]bool{}}
	for i, premium := range premiums {
		table.rows = append(table.rows, merge.Row{Bucket: i % testBucketCount, Key: fmt.Sprintf("%03d", i),
			Values: []merge.Value{merge.IntOf(premium)}})
	}
	slices.SortFunc(table.rows, table.compare)
	for i := range 5 {
		table.shards = append(table.shards, shardmap.Range{Start: 2 * i, End: 2*i + 2})
	}
	return table
}

func (table *testTable) compare(a, b merge.Row) int {
	return table.order.Compare(table.order.PositionOf(a), table.order.PositionOf(b))
}

// rowsAfter returns the rows of some buckets that are after a position, or all if the position is nil.
func (table *testTable) rowsAfter(buckets shardmap.Range, after *merge.Position) []merge.Row {
	var found []merge.Row
	for _, row := range table.rows {
		inBuckets := buckets.Start <= row.Bucket && row.Bucket < buckets.End
		if inBuckets && (after == nil || table.order.Compare(table.order.PositionOf(row), *after) > 0) {
			found = append(found, row)
		}
	}
	return found
}

func (table *testTable) query(size int) Query {
	return Query{
		Clause: &merge.Clause{Rank: []merge.RankColumn{{Column: "premium"}}, Page: &merge.PageClause{Size: size}},
		Epoch:  41, CompletenessTarget: 1, Summaries: table.summaries,
		Plan: fetchplan.Options{MinCompleteness: 0.1, LatencyObjectiveMs: 1000, DeadlineMs: 2000, PartialFactor: 0.9,
			LateFactor: 0.3, MarginMs: 20},
	}
}

// answer returns the answer of the backend of a shard.
func (table *testTable) answer(request Request) *rows.Answer {
	found := table.rowsAfter(request.Buckets, request.After)
	count := min(request.Rows, len(found))
	answer := &rows.Answer{Batch: merge.Batch{Buckets: request.Buckets, Version: max(table.versions[request.Buckets], 1),
		Schema: testSchema, Rows: slices.Clone(found[:count]), HasMore: count < len(found)}}
	if table.changeAnswer != nil {
		table.changeAnswer(answer)
	}
	return answer
}

// readPage reads a page until it is final. The shards answer at intervals of 1 ms.
func (table *testTable) readPage(size int, previous *cursor.Cursor) *Result {
	var parts []Part
	for _, buckets := range table.shards {
		parts = append(parts, Part{Buckets: buckets, Weight: float64(buckets.Size()) / testBucketCount,
			ShardEpoch: table.shardEpochs[buckets], Version: table.versions[buckets]})
	}
	nowMs := 0.0
	reader, requests := New(nowMs, table.query(size), parts, previous)
	for range 300 {
		for _, request := range requests {
			nowMs++
			if table.unresponsive[request.Buckets] {
				continue
			}
			answer := table.answer(request)
			err := reader.RecordAnswer(nowMs, answer, request.Rows)
			if err == nil {
				continue
			}
			table.answerErrors = append(table.answerErrors, err)
			if answer.Batch.Version < table.versions[request.Buckets] { // no replica has a newer version
				reader.RecordFailure(request.Buckets, completeness.Failed)
			}
		}
		step := reader.Step(nowMs)
		require.False(table.t, step.CannotAnswer)
		if step.Result != nil {
			return step.Result
		}
		requests = step.Requests
		if len(requests) == 0 {
			require.Greater(table.t, step.WakeAtMs, nowMs)
			nowMs = step.WakeAtMs
		}
	}
	require.Fail(table.t, "the page does not become final")
	return nil
}

func keysOf(rows []merge.Row) []string {
	var keys []string
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// cheapestShard is the shard of buckets 4 and 5.
var cheapestShard = shardmap.Range{Start: 4, End: 6}

// testPremiums returns 30 premiums. The lowest has key 004 and is in cheapestShard.
func testPremiums() []int64 {
	var premiums []int64
	for i := range 30 {
		premiums = append(premiums, int64(100+i*7%30))
	}
	premiums[4] = 1
	return premiums
}
