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
	require.False(t, complete, "some buckets are still pending")
	_, err = coverage.Arrived(Range{0, 4})
	require.Error(t, err, "the same segment is answered twice")
	_, err = coverage.Arrived(Range{0, 10})
	require.Error(t, err, "the segment that was replaced is answered")
	withGap := []Segment{{6, Range{4, 7}}, {7, Range{8, 10}}}
	require.Error(t, coverage.Replace(Range{4, 10}, withGap), "the replacements have a gap")
	complete, err = coverage.Arrived(Range{4, 10})
	require.NoError(t, err)
	require.True(t, complete)
	require.True(t, coverage.Complete())
}
