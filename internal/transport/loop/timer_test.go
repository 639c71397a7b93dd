package loop

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTimer(t *testing.T) {
	l := newLoop(t)
	fired := []string{}
	first := l.NewTimer(func() { fired = append(fired, "first") })
	second := l.NewTimer(func() { fired = append(fired, "second") })
	stopped := l.NewTimer(func() { fired = append(fired, "stopped") })

	require.NoError(t, l.poll(0))
	assert.Empty(t, fired, "a new timer is stopped")

	stopped.Set(l.Now())
	stopped.Stop()
	second.Set(l.Now() - 1)
	first.Set(l.Now() + 1e6)
	first.SetEarlier(l.Now())
	first.SetEarlier(l.Now() + 2e6)
	require.NoError(t, l.poll(0))
	assert.Equal(t, []string{"first", "second"}, fired, "in the order of their creation")

	require.NoError(t, l.poll(0))
	assert.Len(t, fired, 2, "a timer fires once")
}

func TestPollTimeoutMs(t *testing.T) {
	l := newLoop(t)
	timer := l.NewTimer(func() {})
	assert.Equal(t, int(maxPollTimeoutMs), l.pollTimeoutMs(), "no timer is armed")
	timer.Set(l.ReadClock() - 1)
	assert.Zero(t, l.pollTimeoutMs(), "a timer is due")
	timer.Set(l.ReadClock() + 1000)
	assert.InDelta(t, 1000, l.pollTimeoutMs(), 500)
	timer.Set(l.ReadClock() + 2*maxPollTimeoutMs)
	assert.Equal(t, int(maxPollTimeoutMs), l.pollTimeoutMs())
}

// TestTimerWakesLoop checks that a timer wakes a loop without any other event, and not before it is due.
func TestTimerWakesLoop(t *testing.T) {
	l := newLoop(t)
	dueAt := l.ReadClock() + 5.5
	firedAt := 0.0
	timer := l.NewTimer(func() {
		firedAt = l.Now()
		l.Stop()
	})
	timer.Set(dueAt)
	require.NoError(t, l.Run())
	assert.GreaterOrEqual(t, firedAt, dueAt)
}
