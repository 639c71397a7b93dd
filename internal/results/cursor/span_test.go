package cursor

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A slice that was missing comes back, one that was read is gone, one has newer data; slices were cut anew meanwhile.
func TestChanges(t *testing.T) {
	c := newCursor()
	back, gone, other := c.Changes([]Span{{0, 5, 3, 9}, {5, 15, 0, 9}, {15, 25, 4, 9}, {25, 30, 5, 9}})
	require.Equal(t, []Span{{15, 20, 4, 9}}, back)
	require.Equal(t, []Span{{5, 10, 0, 9}}, gone)
	require.Equal(t, []Span{{25, 30, 5, 9}}, other)
	back, gone, other = c.Changes([]Span{{0, 10, 3, 9}, {10, 20, 0, 9}, {20, 30, 4, 9}})
	require.Empty(t, append(append(back, gone...), other...))
}
