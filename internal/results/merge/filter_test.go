package merge

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestConditionMatches(t *testing.T) {
	condition := func(operator, value string) Condition { return Condition{"a", operator, []byte(value)} }
	for _, test := range []struct {
		condition Condition
		value     Value
		want      bool
	}{
		{condition("le", "7"), IntOf(7), true},
		{condition("lt", "7"), IntOf(7), false},
		{condition("gt", "6.5"), IntOf(7), true},
		{condition("eq", "7"), FloatOf(7), true},
		{condition("eq", `"7"`), IntOf(7), false},
		{condition("ne", `"7"`), IntOf(7), false},
		{condition("ge", `"b"`), TextOf("c"), true},
		{condition("eq", "7"), Value{}, false},
		{condition("ne", "7"), Value{}, false},
		{condition("lt", "7"), FloatOf(math.NaN()), false},
		{condition("ne", "7"), FloatOf(math.NaN()), true},
		{condition("eq", "9007199254740993"), IntOf(9007199254740993), true},
		{condition("eq", "9007199254740993"), IntOf(9007199254740992), false},
	} {
		require.Equal(t, test.want, test.condition.Matches(test.value),
			"%s %s %v", test.condition.Operator, test.condition.Value, test.value)
	}
}
