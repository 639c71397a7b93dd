package shardmap

import (
	"errors"
	"fmt"
)

// The kinds of validation error of a snapshot or a change. A *ValidationError wraps one of them.
var (
	ErrEpoch   = errors.New("epoch does not increase")
	ErrBase    = errors.New("change is based on another epoch")
	ErrGap     = errors.New("buckets without a shard")
	ErrOverlap = errors.New("buckets in two shards")
	ErrReplica = errors.New("unknown, missing or repeated replica")
	ErrShard   = errors.New("unknown, reused or retired shard")
	ErrState   = errors.New("not possible in the shard's state")
	ErrRange   = errors.New("range out of bounds")
	ErrTooMany = errors.New("more shards than the bound")
)

// ErrStale matches the error of Map.Resolve for an id that cannot be translated to buckets. Such an error matches
// ErrShard too.
var ErrStale = errors.New("shard is unknown or was retired too long ago")

// noShard is the ValidationError.Shard of an error that does not concern a particular shard.
const noShard ShardID = -1

// ValidationError reports the first error that was found in a snapshot or a change.
type ValidationError struct {
	Shard  ShardID // the invalid shard; -1 if the error does not concern a particular one
	Detail string  // the invalid values
	Err    error   // the kind of error: one of the Err variables of this package
}

// Error returns the shard, the kind of error and the detail.
func (e *ValidationError) Error() string {
	if e.Shard < 0 {
		return fmt.Sprintf("%v: %s", e.Err, e.Detail)
	}
	return fmt.Sprintf("shard %d: %v: %s", e.Shard, e.Err, e.Detail)
}

// Unwrap returns the kind of error.
func (e *ValidationError) Unwrap() error { return e.Err }

// invalid returns a *ValidationError as an error, so that callers can return its result directly.
func invalid(id ShardID, kind error, format string, args ...any) error {
	return &ValidationError{Shard: id, Detail: fmt.Sprintf(format, args...), Err: kind}
}

// unresolvedError is the error of Map.Resolve. Its text is part of answers to clients, so it must not change, and it
// uses the terms of the client protocol.
type unresolvedError struct {
	shard ShardID
	epoch uint64 // of the version in use
}

func (e *unresolvedError) Error() string {
	return fmt.Sprintf("slice %d at epoch %d: unknown, reused or retired slice, or retired too long ago",
		e.shard, e.epoch)
}

// Is makes the error match ErrStale and ErrShard.
func (e *unresolvedError) Is(target error) bool { return target == ErrStale || target == ErrShard }
