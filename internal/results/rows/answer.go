package rows

import (
	"errors"
	"fmt"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

// The bounds of what a node may send.
const (
	MaxColumns   = 64
	MaxTextBytes = 4 << 10 // bytes of one text
)

// ErrMalformed is wrapped where something has not the form.
var ErrMalformed = errors.New("the rows cannot be used")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Answer is what a node gives for a part: a batch of rows, and what it states of all its rows.
type Answer struct {
	Batch   merge.Batch
	Groups  *merge.Groups         // its aggregates; nil if none were asked for
	Summary *completeness.Summary // nil if it states none
}

// Request is what a node was asked for, by which its answer is read.
type Request struct {
	Buckets          shardmap.Range
	ShardEpoch       uint64   // epoch of the slice's last change
	MaxRows          int      // rows
	RankColumns      []string // columns, by which a summary's least values are read
	AggregateColumns []string // aggregated columns; "" counts rows
	GroupColumns     []string // columns
	MaxGroups        int      // at most
}
