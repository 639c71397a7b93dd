package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDecayingAverageHalves checks that a value halves with each half-life after its observation.
func TestDecayingAverageHalves(t *testing.T) {
	average := decayingAverage{at: 1000, value: 8}
	for now, want := range map[float64]float64{1000: 8, 1100: 4, 1300: 1} {
		assert.InDelta(t, want, average.valueAt(now, 100), 1e-9, "at %v", now)
	}
}
