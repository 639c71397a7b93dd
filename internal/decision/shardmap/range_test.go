package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRange(t *testing.T) {
	buckets := Range{10, 20}
	require.Equal(t, 10, buckets.Size())
	require.Equal(t, "10-20", buckets.String(), "the form of backend frames")
	for _, test := range []struct {
		other              Range
		contains, overlaps bool
	}{
		{Range{10, 20}, true, true},
		{Range{12, 13}, true, true},
		{Range{9, 11}, false, true},
		{Range{19, 21}, false, true},
		{Range{20, 30}, false, false},
		{Range{0, 10}, false, false},
	} {
		require.Equal(t, test.contains, buckets.Contains(test.other), "%v", test.other)
		require.Equal(t, test.overlaps, buckets.Overlaps(test.other), "%v", test.other)
	}
}
