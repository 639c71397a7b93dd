package merge

import (
	"encoding/json"
	"fmt"
	"math"
)

// Operand is the value of a condition: a text, or a number, which is an integer if an int64 holds it.
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

// Matches reports whether a value meets the condition. Null meets none, and a text and a number are not comparable and
// meet none either. An integer and a float are compared as floats. NaN is unequal to every number.
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
