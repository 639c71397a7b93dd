package merge

import (
	"cmp"
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
