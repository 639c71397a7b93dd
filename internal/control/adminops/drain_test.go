package adminops

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/maintenance"
)

// TestDrainPhases checks that the front enters the phases of a drain, and that idle connections are closed at every
// poll of the last phase.
func TestDrainPhases(t *testing.T) {
	p := start(t, statePath(t))
	require.True(t, p.Ready())
	require.True(t, p.Drain().Changed)
	assert.True(t, p.draining)
	assert.False(t, p.Ready())

	p.drain.state = maintenance.BrokerDrain{}
	p.drain.state.Begin(p.loop.Now() - maintenance.CloseIdleAfterMs)
	p.drain.applyPhase()
	p.drain.applyPhase()
	assert.True(t, p.closeAfter)
	assert.Equal(t, 2, p.idleClosed)

	require.True(t, p.Activate().Changed)
	assert.False(t, p.draining)
	assert.False(t, p.closeAfter)
	assert.True(t, p.Ready())
}

// TestDrainIsShared checks that a drain begun at one process is in force at another and at one that starts later,
// with the time of the call as its beginning; that the later one is ready to take over while the health check fails;
// and that a call to activate at any process ends the drain at all of them.
func TestDrainIsShared(t *testing.T) {
	path := statePath(t)
	first, second := start(t, path), start(t, path)
	require.Equal(t, 200, first.Drain().Status)
	time.Sleep(30 * time.Millisecond)
	second.pollDrain()
	assert.True(t, second.draining)
	assert.False(t, second.Ready(), "a process that served before the drain is not ready")
	third := start(t, path)
	assert.True(t, third.draining, "the health check fails from the start")
	assert.True(t, third.Ready(), "but the process is ready to take over")
	assert.LessOrEqual(t, third.drain.state.SinceMs(), third.loop.Now()-25, "begun at the call, not at the start")

	require.Equal(t, 200, third.Activate().Status)
	assert.False(t, third.draining)
	for _, p := range []*process{first, second} {
		p.pollDrain()
		assert.False(t, p.draining)
		assert.True(t, p.Ready())
	}
	assert.Equal(t, "so already", first.Activate().Reason)
}

// TestTornDrainFile checks that a torn file counts as a drain, which a call to activate ends.
func TestTornDrainFile(t *testing.T) {
	path := statePath(t)
	require.Equal(t, path+".drain", DrainPath(path), "earlier versions use the same name")
	require.NoError(t, os.WriteFile(DrainPath(path), []byte(`{"form":"ternstage dr`), 0o600))
	p := start(t, path)
	assert.True(t, p.draining)
	require.Equal(t, 200, p.Activate().Status)
	assert.False(t, start(t, path).draining)
	assert.Contains(t, p.logged(t), "drain file cannot be read: the broker drains from now on")
}

// TestDrainNotStored checks that a drain that cannot be stored is answered 500, and stays in force here.
func TestDrainNotStored(t *testing.T) {
	p := start(t, pathWithoutDirectory(t))
	assert.Equal(t, 500, p.Drain().Status, "not stored for the next process")
	p.pollDrain()
	assert.True(t, p.draining, "in force here")
}
