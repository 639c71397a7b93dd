package merge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGroupsAreBoundedAndCombineAllOrNone(t *testing.T) {
	column := []Column{{Name: "premium", Kind: Int}}
	make := func(names ...string) *Groups {
		g := NewGroups(column, 3)
		for _, n := range names {
			x, err := g.GetOrCreate([]Value{TextOf(n)})
			require.NoError(t, err)
			require.NoError(t, x.Partials[0].Add(IntOf(2)))
		}
		return g
	}
	a := make("x", "y")
	require.NoError(t, a.Combine(make("y", "z")))
	require.Len(t, a.Sorted(), 3)
	require.EqualValues(t, 2, a.Sorted()[1].Partials[0].Count)
	require.ErrorIs(t, a.Combine(make("x", "w")), ErrTooMany)
	require.EqualValues(t, 1, a.Sorted()[0].Partials[0].Count, "none of it is in")
}
