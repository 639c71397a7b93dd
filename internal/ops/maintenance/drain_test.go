package maintenance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDrain(t *testing.T) {
	var d Drain
	assert.True(t, d.Healthy(true))
	assert.False(t, d.Healthy(false), "not ready is not healthy")
	assert.True(t, d.End().OK())
	assert.False(t, d.End().Changed, "activate while serving changes nothing")

	v := d.Begin(1000)
	assert.True(t, v.Changed)
	assert.False(t, d.Begin(1300).Changed, "a repeated drain keeps its first time")
	assert.False(t, d.Healthy(true))
	for _, c := range []struct {
		at    float64
		phase Phase
	}{{1000, Draining}, {1000 + CloseAfterMs - 1, Draining}, {1000 + CloseAfterMs, ClosingConnections},
		{1000 + CloseIdleAfterMs - 1, ClosingConnections}, {1000 + CloseIdleAfterMs, ClosingIdle}, {1000 + DrainedByMs, ClosingIdle}} {
		assert.Equal(t, c.phase, d.Phase(c.at), "at %v", c.at)
	}
	assert.Less(t, CloseIdleAfterMs+500, DrainedByMs, "what lingers after the last answers is gone by EmptyBy")
	assert.Equal(t, 1000.0, d.SinceMs())
	assert.True(t, d.End().Changed)
	assert.Equal(t, Serving, d.Phase(9000))
	assert.True(t, d.Healthy(true))
	d.Begin(9000)
	assert.Equal(t, Draining, d.Phase(9001), "a new drain begins anew")
}
