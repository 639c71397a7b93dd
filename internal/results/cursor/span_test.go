package cursor

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The shards between the two pages are split differently. Part of the missing span is present now, part of another
// span is missing, and part of the third has a new version.
func TestChanges(t *testing.T) {
	before := newCursor()
	changes := before.Changes([]Span{{0, 5, 3, 9}, {5, 15, 0, 9}, {15, 25, 4, 9}, {25, 30, 5, 9}})
	require.Equal(t, []Span{{15, 20, 4, 9}}, changes.NowPresent)
	require.Equal(t, []Span{{5, 10, 0, 9}}, changes.NowMissing)
	require.Equal(t, []Span{{25, 30, 5, 9}}, changes.Updated)
	require.True(t, changes.Any())
	changes = before.Changes([]Span{{0, 10, 3, 9}, {10, 20, 0, 9}, {20, 30, 4, 9}})
	require.Empty(t, append(append(changes.NowPresent, changes.NowMissing...), changes.Updated...))
	require.False(t, changes.Any())
}
