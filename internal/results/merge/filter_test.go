package merge

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestConditionMatches(t *testing.T) {
	term := func(op, value string) Condition { return Condition{"a", op, []byte(value)} }
	for _, c := range []struct {
		t    Condition
		v    Value
		want bool
	}{
		{term("le", "7"), IntOf(7), true}, {term("lt", "7"), IntOf(7), false}, {term("gt", "6.5"), IntOf(7), true},
		{term("eq", "7"), FloatOf(7), true}, {term("eq", `"7"`), IntOf(7), false}, {term("ne", `"7"`), IntOf(7), false},
		{term("ge", `"b"`), TextOf("c"), true}, {term("eq", "7"), Value{}, false}, {term("ne", "7"), Value{}, false},
		{term("lt", "7"), FloatOf(math.NaN()), false}, {term("ne", "7"), FloatOf(math.NaN()), true},
		{term("eq", "9007199254740993"), IntOf(9007199254740993), true},
		{term("eq", "9007199254740993"), IntOf(9007199254740992), false},
	} {
		require.Equal(t, c.want, c.t.Matches(c.v), "%s %s %v", c.t.Operator, c.t.Value, c.v)
	}
}
