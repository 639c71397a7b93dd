package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEventWindowDropsOldEvents checks that events are counted from their own time on and dropped once they are older
// than the window plus the rounding of a timer tick.
func TestEventWindowDropsOldEvents(t *testing.T) {
	var window eventWindow
	for _, at := range []float64{0, 50, 101} {
		window.add(at, 100)
	}
	assert.Equal(t, eventWindow{0, 50, 101}, window)
	assert.Equal(t, 2.0, window.countSince(50))
	assert.Equal(t, 1.0, window.countSince(50.5))
	window.add(101.5, 100)
	assert.Equal(t, eventWindow{50, 101, 101.5}, window)
}
