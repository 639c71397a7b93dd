package merge

import (
	"cmp"
	"math"
	"strconv"
)

// Kind is the type of a value.
type Kind uint8

// Kinds of values. Cursors contain these numbers, so they must not change.
const (
	Null Kind = iota
	Int       // also amounts of money, in minor units of the currency of the column
	Float
	Text
)

// kindNames lists the names of the kinds in the schemas that backends send.
var kindNames = [...]string{"null", "int", "float", "text"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Value is one value of a row. Only the field for its kind is set; the zero value is null.
type Value struct {
	Kind  Kind
	Int   int64
	Float float64
	Text  string
}

// IntOf returns an integer value.
func IntOf(x int64) Value { return Value{Kind: Int, Int: x} }

// FloatOf returns a float value.
func FloatOf(x float64) Value { return Value{Kind: Float, Float: x} }

// TextOf returns a text value.
func TextOf(x string) Value { return Value{Kind: Text, Text: x} }

// String formats a value. Distinct counts, group keys and canonical clauses depend on this form, so it must not
// change.
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

// Compare compares two values. Values of different kinds are ordered by kind, null first. NaN has no place in the
// order and must be rejected before.
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

// toFloat returns the value as a float. It returns false for texts, null and NaN.
func (v Value) toFloat() (x float64, ok bool) {
	switch v.Kind {
	case Int:
		return float64(v.Int), true
	case Float:
		return v.Float, !math.IsNaN(v.Float)
	}
	return 0, false
}
