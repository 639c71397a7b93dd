// Package merge puts ranked rows and partial aggregates of slices together. It has no I/O and no clock. What
// cannot be combined fails the slice that brought it, by name, and nothing of that slice is in the result.
package merge

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// Kind is the type of a value.
type Kind uint8

// The kinds of values.
const (
	Null Kind = iota
	Int       // also money, in minor units; the column then names its currency
	Float
	Text
)

var kindNames = [...]string{"null", "int", "float", "text"}

// String names the kind.
func (k Kind) String() string { return kindNames[k] }

// Value is one value of a row.
type Value struct {
	Kind  Kind
	Int   int64
	Float float64
	Text  string
}

// IntOf, FloatOf and TextOf make values.
func IntOf(x int64) Value { return Value{Kind: Int, Int: x} }

// FloatOf makes a float.
func FloatOf(x float64) Value { return Value{Kind: Float, Float: x} }

// TextOf makes a text.
func TextOf(x string) Value { return Value{Kind: Text, Text: x} }

// String shows a value.
func (v Value) String() string {
	switch v.Kind {
	case Int:
		return strconv.FormatInt(v.Int, 10)
	case Float:
		return strconv.FormatFloat(v.Float, 'g', -1, 64)
	case Text:
		return strconv.Quote(v.Text)
	}
	return "null"
}

// Compare orders two values of one kind. Null comes first; NaN is no value that can be ordered and must have
// been turned away.
func Compare(a, b Value) int {
	if a.Kind != b.Kind {
		return cmp.Compare(a.Kind, b.Kind)
	}
	switch a.Kind {
	case Int:
		return cmp.Compare(a.Int, b.Int)
	case Float:
		return cmp.Compare(a.Float, b.Float)
	case Text:
		return cmp.Compare(a.Text, b.Text)
	}
	return 0
}

// Column is a column of a table.
type Column struct {
	Name     string
	Kind     Kind
	Currency string // of money; empty if it is none
}

// Schema is a table's columns.
type Schema []Column

// Index is a column's place; -1 if there is none.
func (s Schema) Index(name string) int {
	for i, c := range s {
		if c.Name == name {
			return i
		}
	}
	return -1
}

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

// Same tells whether two schemas can be merged, and names the first difference.
func (s Schema) Same(o Schema) error {
	if len(s) != len(o) {
		return fault(-1, ErrSchema, "%d columns, not %d", len(o), len(s))
	}
	for i, c := range s {
		switch d := o[i]; {
		case c.Name != d.Name || c.Kind != d.Kind:
			return fault(-1, ErrSchema, "%s %v, not %s %v", d.Name, d.Kind, c.Name, c.Kind)
		case c.Currency != d.Currency:
			return fault(-1, ErrCurrency, "%s in %q, not %q", c.Name, d.Currency, c.Currency)
		}
	}
	return nil
}

// number is a value as a float, for bounds; false if it is none.
func (v Value) number() (float64, bool) {
	switch v.Kind {
	case Int:
		return float64(v.Int), true
	case Float:
		return v.Float, !math.IsNaN(v.Float)
	}
	return 0, false
}
