package pageread

import (
	"errors"
	"slices"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/fetchplan"
	"ternstage/internal/results/merge"
)

// ErrStaleVersion is wrapped by the error for an answer of an older data version than the previous page read. Another
// replica may have the newer version.
var ErrStaleVersion = errors.New("older data version than that of the previous page")

// Query describes the query and the page to read.
type Query struct {
	Clause             *merge.Clause
	Epoch              uint64            // of the shard map when this page begins
	CompletenessTarget float64           // weight from which an answer is complete
	Plan               fetchplan.Options // Limit is ignored; the clause has the page size
	Summaries          []*completeness.Summary
}

// Part is the part of the query that one shard answers.
type Part struct {
	Buckets    shardmap.Range
	Weight     float64
	ShardEpoch uint64 // epoch of the last change of the shard
	Version    uint64 // newest known data version, or 0
}

// Request tells what to request of a shard: the first rows after a position, including those that were requested
// earlier. Thus all rows of an answer are of one data version.
type Request struct {
	Buckets shardmap.Range
	Rows    int
	After   *merge.Position // nil on the first page
}

// AggregateColumns returns the columns that a clause aggregates, without duplicates; "" counts rows. Backends send
// aggregates in this order.
func AggregateColumns(clause *merge.Clause) []string {
	var columns []string
	for i := range clause.Aggregate {
		if column := clause.Aggregate[i].Column; !slices.Contains(columns, column) {
			columns = append(columns, column)
		}
	}
	return columns
}
