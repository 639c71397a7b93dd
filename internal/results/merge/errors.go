package merge

import (
	"errors"
	"fmt"
)

// Reasons why the rows, aggregates or sketches of a shard cannot be combined. A *ValidationError wraps one of them.
var (
	ErrSchemaMismatch    = errors.New("schema mismatch")
	ErrCurrencyMismatch  = errors.New("currency mismatch")
	ErrNullRank          = errors.New("null in a rank column")
	ErrInvalidNumber     = errors.New("not a valid number")
	ErrOutOfOrder        = errors.New("rows out of order")
	ErrTooMany           = errors.New("more than requested")
	ErrDuplicate         = errors.New("duplicate")
	ErrBeforePosition    = errors.New("row not after the requested position")
	ErrUnrequestedBucket = errors.New("row of a bucket that was not requested")
	ErrOverflow          = errors.New("sum overflows")
	ErrInvalidSketch     = errors.New("invalid sketch")
)

// NoRow is the Row of a ValidationError that is not about a single row.
const NoRow = -1

// ValidationError describes the first fault found in the answer of a shard.
type ValidationError struct {
	Row    int // index in the batch, or NoRow
	Detail string
	Err    error // one of the package's error values
}

// Error returns the row, if the fault is in one, then the cause and the detail.
func (e *ValidationError) Error() string {
	if e.Row < 0 {
		return fmt.Sprintf("%v: %s", e.Err, e.Detail)
	}
	return fmt.Sprintf("row %d: %v: %s", e.Row, e.Err, e.Detail)
}

// Unwrap returns the cause.
func (e *ValidationError) Unwrap() error { return e.Err }

// invalid returns a ValidationError.
func invalid(row int, err error, format string, args ...any) error {
	return &ValidationError{Row: row, Detail: fmt.Sprintf(format, args...), Err: err}
}
