package merge

import (
	"errors"
	"fmt"
)

// What a slice can bring that cannot be combined. A *Fault wraps one of them.
var (
	ErrSchema   = errors.New("other columns")
	ErrCurrency = errors.New("another currency")
	ErrNull     = errors.New("no value in a rank column")
	ErrNaN      = errors.New("no number in a rank column")
	ErrOrder    = errors.New("rows out of order")
	ErrTooMany  = errors.New("more rows than were asked for")
	ErrTwice    = errors.New("a row twice")
	ErrBefore   = errors.New("a row from before the place that was asked for")
	ErrDistrict = errors.New("a row of districts that were not asked for")
	ErrOverflow = errors.New("the sum overflows")
	ErrSketch   = errors.New("a sketch that cannot be used")
)

// Fault is the first thing that is wrong with what a slice brought.
type Fault struct {
	Row  int // -1 if it is not one row's
	What string
	Err  error
}

// Error names the row and the fault.
func (f *Fault) Error() string {
	if f.Row < 0 {
		return fmt.Sprintf("%v: %s", f.Err, f.What)
	}
	return fmt.Sprintf("row %d: %v: %s", f.Row, f.Err, f.What)
}

// Unwrap gives the kind of fault.
func (f *Fault) Unwrap() error { return f.Err }

func fault(row int, err error, format string, args ...any) error {
	return &Fault{row, fmt.Sprintf(format, args...), err}
}
