package maintenance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDrainPhases(t *testing.T) {
	var d BrokerDrain
	d.Begin(1000)
	for _, test := range []struct {
		atMs  float64
		phase Phase
	}{
		{1000, Draining},
		{1000 + CloseAfterMs - 1, Draining},
		{1000 + CloseAfterMs, ClosingConnections},
		{1000 + CloseIdleAfterMs - 1, ClosingConnections},
		{1000 + CloseIdleAfterMs, ClosingIdle},
		{1000 + DrainedByMs, ClosingIdle},
	} {
		assert.Equal(t, test.phase, d.Phase(test.atMs), "at %v ms", test.atMs)
	}
	assert.Less(t, CloseIdleAfterMs+500, DrainedByMs,
		"connections that linger after their last answer are closed in time")
}

func TestDrainBeginEnd(t *testing.T) {
	var d BrokerDrain
	assert.True(t, d.Healthy(true))
	assert.False(t, d.Healthy(false), "a process that is not ready is not healthy")
	assert.True(t, d.End().OK())
	assert.False(t, d.End().Changed, "without a drain the call changes nothing")

	result := d.Begin(1000)
	assert.True(t, result.Changed)
	assert.False(t, d.Begin(1300).Changed, "a repeated call changes nothing")
	assert.False(t, d.Healthy(true))
	assert.Equal(t, 1000.0, d.SinceMs(), "a repeated call keeps the start time")

	assert.True(t, d.End().Changed)
	assert.Equal(t, Serving, d.Phase(9000))
	assert.True(t, d.Healthy(true))
	d.Begin(9000)
	assert.Equal(t, Draining, d.Phase(9001), "a new drain passes through all phases")
}
