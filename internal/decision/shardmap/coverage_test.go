package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCoverageCountsNoBucketTwice(t *testing.T) {
	coverage := NewCoverage(Range{0, 10}, []Segment{{0, Range{0, 10}}})
	require.NoError(t, coverage.Replace(Range{0, 10}, []Segment{{4, Range{0, 4}}, {5, Range{4, 10}}}))
	require.Error(t, coverage.Replace(Range{0, 10}, nil))
	complete, err := coverage.Arrived(Range{0, 4})
	require.NoError(t, err)
	require.False(t, complete, "half of the part is missing")
	_, err = coverage.Arrived(Range{0, 4})
	require.Error(t, err, "the same buckets twice")
	_, err = coverage.Arrived(Range{0, 10})
	require.Error(t, err, "answers of an old and a new replica")
	require.Error(t, coverage.Replace(Range{4, 10}, []Segment{{6, Range{4, 7}}, {7, Range{8, 10}}}), "a gap")
	complete, err = coverage.Arrived(Range{4, 10})
	require.NoError(t, err)
	require.True(t, complete)
	require.True(t, coverage.Complete())
}
