package slicemap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUnitCountsNoDistrictTwice(t *testing.T) {
	u := NewCoverage(Range{0, 10}, []Segment{{0, Range{0, 10}}})
	require.NoError(t, u.Replace(Range{0, 10}, []Segment{{4, Range{0, 4}}, {5, Range{4, 10}}}))
	require.Error(t, u.Replace(Range{0, 10}, nil))
	whole, err := u.Arrived(Range{0, 4})
	require.True(t, err == nil && !whole, "half of a part is not in")
	_, err = u.Arrived(Range{0, 4})
	require.Error(t, err, "the same districts twice")
	_, err = u.Arrived(Range{0, 10})
	require.Error(t, err, "an old and a new holder both answer")
	require.Error(t, u.Replace(Range{4, 10}, []Segment{{6, Range{4, 7}}, {7, Range{8, 10}}}), "a hole")
	whole, err = u.Arrived(Range{4, 10})
	require.True(t, err == nil && whole && u.Complete())
}
