package loop

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPostFromOtherThread checks that Post wakes the loop from another thread and that the work runs in order.
func TestPostFromOtherThread(t *testing.T) {
	l := newLoop(t)
	const count = 100
	ran := []int{}
	go func() {
		for i := range count {
			l.Post(func() { ran = append(ran, i) })
		}
		l.Post(l.Stop)
	}()
	require.NoError(t, l.Run())
	require.Len(t, ran, count)
	assert.IsIncreasing(t, ran)
}

// TestPostFromLoop checks that work which is posted by posted work runs in the next poll, and that this poll does not
// wait.
func TestPostFromLoop(t *testing.T) {
	l := newLoop(t)
	rounds := 0
	ranInRound := -1
	l.Post(func() {
		l.Post(func() {
			ranInRound = rounds
			l.Stop()
		})
	})
	l.OnWakeUpEnd(func() { rounds++ })
	require.NoError(t, l.Run())
	assert.Equal(t, 1, ranInRound)
}
