package rows

import (
	"errors"
	"fmt"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

// Bounds of what a backend may send.
const (
	MaxColumns   = 64
	MaxTextBytes = 4 << 10 // of a text or a row's key
)

// ErrMalformed is wrapped by all errors of decoding.
var ErrMalformed = errors.New("malformed rows")

// malformed makes an ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Answer is what a backend sends for one shard.
type Answer struct {
	Batch   merge.Batch
	Groups  *merge.Groups         // nil if no aggregates were requested
	Summary *completeness.Summary // of all rows of the shard; nil if the backend states none
}

// Request is what was requested of a shard.
type Request struct {
	Buckets          shardmap.Range
	ShardEpoch       uint64 // epoch of the shard's last change
	MaxRows          int
	RankColumns      []string // names, in the order of the rank
	AggregateColumns []string // names, in the order in which aggregates are sent; "" counts rows
	GroupColumns     []string // names, in the order in which values of groups are sent
	MaxGroups        int
}
