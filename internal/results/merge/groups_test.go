package merge

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// newGroups returns a set of at most 3 groups with the given names, each with one premium.
func newGroups(t *testing.T, names ...string) *Groups {
	t.Helper()
	groups := NewGroups([]Column{{Name: "premium", Kind: Int}}, 3)
	for _, name := range names {
		group, err := groups.GetOrCreate([]Value{TextOf(name)})
		require.NoError(t, err)
		require.NoError(t, group.Partials[0].Add(IntOf(2)))
	}
	return groups
}

// If one of another shard's groups exceeds the bound, none of them may be combined: half of a shard would distort the
// aggregates.
func TestGroupsAreBoundedAndCombineAllOrNone(t *testing.T) {
	groups := newGroups(t, "x", "y")
	require.NoError(t, groups.Combine(newGroups(t, "y", "z")))
	require.Len(t, groups.Sorted(), 3)
	require.EqualValues(t, 2, groups.Sorted()[1].Partials[0].Count)
	require.ErrorIs(t, groups.Combine(newGroups(t, "x", "w")), ErrTooMany)
	require.EqualValues(t, 1, groups.Sorted()[0].Partials[0].Count, "none of the groups of the rejected set is combined")
}
