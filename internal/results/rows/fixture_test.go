package rows

import (
	"math"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

var (
	testBuckets = shardmap.Range{Start: 10, End: 20}
	testRank    = []string{"premium", "risk"}
)

func newRequest(maxRows int, rank []string) Request {
	return Request{Buckets: testBuckets, ShardEpoch: 3, MaxRows: maxRows, RankColumns: rank, MaxGroups: 3}
}

func newAnswer() *Answer {
	schema := merge.Schema{
		{Name: "premium", Kind: merge.Int, Currency: "INR"},
		{Name: "risk", Kind: merge.Float},
		{Name: "insurer", Kind: merge.Text},
	}
	rows := []merge.Row{
		{Bucket: 12, Key: "k-1", Values: []merge.Value{merge.IntOf(math.MaxInt64), merge.FloatOf(0.1), merge.TextOf("ä\"\n")}},
		{Bucket: 19, Key: "k 2", Values: []merge.Value{{}, {}, {}}},
	}
	return &Answer{
		Batch: merge.Batch{Buckets: testBuckets, Version: 7, Schema: schema, HasMore: true, Rows: rows},
		Summary: &completeness.Summary{Buckets: testBuckets, Version: 7, ShardEpoch: 3, Count: 99,
			FirstRank: []merge.Value{merge.IntOf(5), merge.FloatOf(0.25)}, Min: 5, Max: 900, Sum: 12_000},
	}
}
