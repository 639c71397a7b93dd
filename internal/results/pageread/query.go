package pageread

import (
	"errors"
	"slices"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/fetchplan"
	"ternstage/internal/results/merge"
)

// Part is districts that one slice holds.
type Part struct {
	Buckets    shardmap.Range
	Weight     float64
	ShardEpoch uint64 // epoch of the slice's last change
	Version    uint64 // the newest data version that anybody has told of; 0 if nobody has
}

// Query is what is read.
type Query struct {
	Clause       *merge.Clause
	Epoch        uint64 // of the map by which this page begins
	CompleteFrom float64
	Plan         fetchplan.Options // its limit is the clause's
	Summaries    []*completeness.Summary
}

// Request is what a node is to be asked for: so many rows after a place, all that were asked for before included,
// so that one answer stands for itself, whatever data version it is of.
type Request struct {
	Buckets shardmap.Range
	Rows    int
	After   *merge.Position
}

// ErrStaleVersion tells that a node answered from an older data version than the page before read: another replica
// may have the newer one.
var ErrStaleVersion = errors.New("an older data version than the page before")

// AggregateColumns are the aggregated columns of a clause, each once: what nodes are asked for and in which order. ""
// counts rows.
func AggregateColumns(c *merge.Clause) (out []string) {
	for _, f := range c.Aggregate {
		if !slices.Contains(out, f.Column) {
			out = append(out, f.Column)
		}
	}
	return out
}
