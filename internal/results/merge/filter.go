package merge

import (
	"encoding/json"
	"fmt"
	"math"
)

// Operand is a term's value: an integer, a number or a text.
func (t Condition) Operand() (Value, error) {
	var s string
	if json.Unmarshal(t.Value, &s) == nil && len(t.Value) > 0 && t.Value[0] == '"' {
		return TextOf(s), nil
	}
	var n json.Number
	if json.Unmarshal(t.Value, &n) != nil || n == "" {
		return Value{}, fmt.Errorf("a number or a text, not %.40s", t.Value)
	}
	if x, err := n.Int64(); err == nil {
		return IntOf(x), nil
	}
	x, err := n.Float64()
	if err != nil || math.IsInf(x, 0) {
		return Value{}, fmt.Errorf("a number that can be held, not %.40s", t.Value)
	}
	return FloatOf(x), nil
}

// Matches tells whether a row passes a term. Nothing is like null, and a text and a number are never alike; an
// integer and a float are compared as floats.
func (t Condition) Matches(v Value) bool {
	want, err := t.Operand()
	if err != nil || v.Kind == Null || (v.Kind == Text) != (want.Kind == Text) {
		return false
	}
	c := 0
	if v.Kind == want.Kind {
		c = Compare(v, want)
	} else {
		a, _ := v.number()
		b, _ := want.number()
		c = Compare(FloatOf(a), FloatOf(b))
	}
	if v.Kind == Float && math.IsNaN(v.Float) {
		return t.Operator == "ne"
	}
	return map[string]bool{"eq": c == 0, "ne": c != 0, "lt": c < 0, "le": c <= 0, "gt": c > 0,
		"ge": c >= 0}[t.Operator]
}
