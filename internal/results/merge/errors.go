package merge

import (
	"errors"
	"fmt"
)

// Why rows, aggregates or sketches of a shard cannot be combined. A *ValidationError wraps one of them.
var (
	ErrSchemaMismatch   = errors.New("other columns")
	ErrCurrencyMismatch = errors.New("another currency")
	ErrNullRank         = errors.New("no value in a rank column")
	ErrInvalidNumber    = errors.New("no number in a rank column")
	ErrOutOfOrder       = errors.New("rows out of order")
	ErrTooMany          = errors.New("more rows than were asked for")
	ErrDuplicate        = errors.New("a row twice")
	ErrBeforePosition   = errors.New("a row from before the place that was asked for")
	ErrForeignBucket    = errors.New("a row of districts that were not asked for")
	ErrOverflow         = errors.New("the sum overflows")
	ErrInvalidSketch    = errors.New("a sketch that cannot be used")
)

// ValidationError is the first thing that is wrong with what a shard returned.
type ValidationError struct {
	Row    int // index in the batch, or NoRow
	Detail string
	Err    error // one of the package's error values
}

// Error contains the row, if there is one, the cause and the detail.
func (f *ValidationError) Error() string {
	if f.Row < 0 {
		return fmt.Sprintf("%v: %s", f.Err, f.Detail)
	}
	return fmt.Sprintf("row %d: %v: %s", f.Row, f.Err, f.Detail)
}

// Unwrap returns the cause.
func (f *ValidationError) Unwrap() error { return f.Err }

// invalid makes a ValidationError.
func invalid(row int, err error, format string, args ...any) error {
	return &ValidationError{row, fmt.Sprintf(format, args...), err}
}
