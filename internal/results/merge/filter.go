package merge

import (
	"encoding/json"
	"fmt"
	"math"
)

// Operand decodes the value of a condition. It is a text or a number; a number that fits an int64 is an integer.
func (c Condition) Operand() (Value, error) {
	var text string
	if json.Unmarshal(c.Value, &text) == nil && len(c.Value) > 0 && c.Value[0] == '"' {
		return TextOf(text), nil
	}
	var number json.Number
	if json.Unmarshal(c.Value, &number) != nil || number == "" {
		return Value{}, fmt.Errorf("%.40s, not a number or a text", c.Value)
	}
	if integer, err := number.Int64(); err == nil {
		return IntOf(integer), nil
	}
	float, err := number.Float64()
	if err != nil || math.IsInf(float, 0) {
		return Value{}, fmt.Errorf("%.40s, not a number that a float64 holds", c.Value)
	}
	return FloatOf(float), nil
}

// Matches reports whether a value meets the condition. Null meets no condition. A text and a number cannot be
// compared, so neither meets a condition on the other, not even an inequality. An integer and a float are compared as
// floats. NaN is unequal to every number.
func (c Condition) Matches(value Value) bool {
	operand, err := c.Operand()
	if err != nil || value.Kind == Null || (value.Kind == Text) != (operand.Kind == Text) {
		return false
	}
	if value.Kind == Float && math.IsNaN(value.Float) {
		return c.Operator == OperatorNotEqual
	}
	var comparison int
	if value.Kind == operand.Kind {
		comparison = Compare(value, operand)
	} else {
		left, _ := value.toFloat()
		right, _ := operand.toFloat()
		comparison = Compare(FloatOf(left), FloatOf(right))
	}
	switch c.Operator {
	case OperatorEqual:
		return comparison == 0
	case OperatorNotEqual:
		return comparison != 0
	case OperatorLess:
		return comparison < 0
	case OperatorLessOrEqual:
		return comparison <= 0
	case OperatorGreater:
		return comparison > 0
	case OperatorGreaterOrEqual:
		return comparison >= 0
	}
	return false
}
