package rows

import (
	"errors"
	"fmt"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

// Limits of what a backend may send.
const (
	MaxColumns   = 64
	MaxTextBytes = 4 << 10 // length of a text, or of the key of a row
)

// ErrMalformed is wrapped by all decoding errors.
var ErrMalformed = errors.New("malformed rows")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Answer is the answer of a backend for one shard.
type Answer struct {
	Batch   merge.Batch
	Groups  *merge.Groups         // nil if no aggregates were requested
	Summary *completeness.Summary // of all rows of the shard; nil if the backend sent none
}

// Request describes what was requested of a shard.
type Request struct {
	Buckets          shardmap.Range
	ShardEpoch       uint64 // epoch of the last change of the shard
	MaxRows          int
	RankColumns      []string // names, in rank order
	AggregateColumns []string // names, in the order in which backends send aggregates; "" counts rows
	GroupColumns     []string // names, in the order in which backends send group values
	MaxGroups        int
}
