package merge

import (
	"errors"
	"fmt"
)

// What a slice can bring that cannot be combined. A *Fault wraps one of them.
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

// ValidationError is the first thing that is wrong with what a slice brought.
type ValidationError struct {
	Row    int // -1 if it is not one row's
	Detail string
	Err    error
}

// Error names the row and the fault.
func (f *ValidationError) Error() string {
	if f.Row < 0 {
		return fmt.Sprintf("%v: %s", f.Err, f.Detail)
	}
	return fmt.Sprintf("row %d: %v: %s", f.Row, f.Err, f.Detail)
}

// Unwrap gives the kind of fault.
func (f *ValidationError) Unwrap() error { return f.Err }

func invalid(row int, err error, format string, args ...any) error {
	return &ValidationError{row, fmt.Sprintf(format, args...), err}
}
