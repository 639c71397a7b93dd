package splitmix

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSourceMatchesTheReferenceGenerator compares the first numbers of seed 0 with the outputs that are published
// with the generator.
func TestSourceMatchesTheReferenceGenerator(t *testing.T) {
	generator := New(0)
	for _, bits := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		require.Equal(t, float64(bits>>11)/(1<<53), generator.Float64())
	}
}
