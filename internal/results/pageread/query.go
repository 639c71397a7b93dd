package pageread

import (
	"errors"
	"slices"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/fetchplan"
	"ternstage/internal/results/merge"
)

// Part is the part of the query that one shard answers.
type Part struct {
	Buckets    shardmap.Range
	Weight     float64
	ShardEpoch uint64 // epoch of the shard's last change
	Version    uint64 // newest data version known; 0 if none is
}

// Query is what is read.
type Query struct {
	Clause       *merge.Clause
	Epoch        uint64            // of the shard map by which this page begins
	CompleteFrom float64           // weight of a complete answer
	Plan         fetchplan.Options // but for Limit, which is the clause's
	Summaries    []*completeness.Summary
}

// Request is what to request of a shard: the first rows after a position, those requested before included, so that one
// answer is of one data version.
type Request struct {
	Buckets shardmap.Range
	Rows    int
	After   *merge.Position // nil on the first page
}

// ErrStaleVersion is wrapped by the error for an answer of an older data version than the page before read. Another
// replica may have the newer one.
var ErrStaleVersion = errors.New("an older data version than the page before")

// AggregateColumns are the columns that a clause aggregates, each once; "" counts rows. Backends send aggregates in
// this order.
func AggregateColumns(c *merge.Clause) (out []string) {
	for _, f := range c.Aggregate {
		if !slices.Contains(out, f.Column) {
			out = append(out, f.Column)
		}
	}
	return out
}
