package pageread

import (
	"errors"
	"slices"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/fetchplan"
	"ternstage/internal/results/merge"
)

// ErrStaleVersion is wrapped by the error for an answer of an older data version than the page before read. Another
// replica may have the newer one.
var ErrStaleVersion = errors.New("older data version than that of the page before")

// Query is what is read.
type Query struct {
	Clause             *merge.Clause
	Epoch              uint64            // of the shard map by which this page begins
	CompletenessTarget float64           // weight of a complete answer
	Plan               fetchplan.Options // but for Limit, which is the clause's
	Summaries          []*completeness.Summary
}

// Part is the part of the query that one shard answers.
type Part struct {
	Buckets    shardmap.Range
	Weight     float64
	ShardEpoch uint64 // epoch of the shard's last change
	Version    uint64 // newest data version known; 0 if none is
}

// Request is what to request of a shard: the first rows after a position, those requested before included, so that one
// answer is of one data version.
type Request struct {
	Buckets shardmap.Range
	Rows    int
	After   *merge.Position // nil on the first page
}

// AggregateColumns are the columns that a clause aggregates, each once; "" counts rows. Backends send aggregates in
// this order.
func AggregateColumns(clause *merge.Clause) []string {
	var columns []string
	for i := range clause.Aggregate {
		if column := clause.Aggregate[i].Column; !slices.Contains(columns, column) {
			columns = append(columns, column)
		}
	}
	return columns
}
