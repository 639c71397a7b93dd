package slicemap

import (
	"errors"
	"fmt"
)

// What a map or a change can get wrong. A *Fault wraps one of them and names where.
var (
	ErrEpoch   = errors.New("the epoch goes back or is taken")
	ErrBase    = errors.New("the change is onto another epoch")
	ErrGap     = errors.New("districts that nobody holds")
	ErrOverlap = errors.New("districts that two slices hold")
	ErrReplica = errors.New("unknown, missing or repeated holder")
	ErrShard   = errors.New("unknown, reused or retired slice")
	ErrState   = errors.New("not possible in the slice's state")
	ErrRange   = errors.New("range out of bounds")
	ErrTooMany = errors.New("more slices than the bound")
)

// ValidationError is the first thing that is wrong with a map or a change.
type ValidationError struct {
	Shard  ShardID // -1 if it is not one slice's
	Detail string
	Err    error
}

// Error names the slice and the fault.
func (f *ValidationError) Error() string {
	if f.Shard < 0 {
		return fmt.Sprintf("%v: %s", f.Err, f.Detail)
	}
	return fmt.Sprintf("slice %d: %v: %s", f.Shard, f.Err, f.Detail)
}

// Unwrap gives the kind of fault.
func (f *ValidationError) Unwrap() error { return f.Err }

func fault(id ShardID, err error, format string, args ...any) error {
	return &ValidationError{id, fmt.Sprintf(format, args...), err}
}
