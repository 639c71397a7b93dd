package adminops

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// process is one process of a broker: its Control, and fakes of the scheduler, the endpoint list and the front.
type process struct {
	*Control
	endpoints  []scheduler.Endpoint // of all EndpointsOverridden calls
	draining   bool
	closeAfter bool
	idleClosed int // calls of CloseIdle
	logPath    string
}

func (p *process) EndpointsOverridden(endpoints []scheduler.Endpoint) {
	p.endpoints = append(p.endpoints, endpoints...)
}
func (p *process) Healthy() bool              { return !p.draining }
func (p *process) CanServe() bool             { return true }
func (p *process) SetDraining(on bool)        { p.draining = on }
func (p *process) CloseAfterResponse(on bool) { p.closeAfter = on }
func (p *process) CloseIdle()                 { p.idleClosed++ }

// Endpoint returns a listed backend for every id, numbered by the last byte of the id, with its suspension applied.
func (p *process) Endpoint(id string) (scheduler.Endpoint, bool) {
	endpoint := scheduler.Endpoint{Replica: uint32(id[len(id)-1]), State: scheduler.Ready}
	if p.Control != nil && p.suspensions.table.Suspended(id) {
		endpoint.State = scheduler.Draining
	}
	return endpoint, true
}

// start starts a process that stores its state at path.
func start(t *testing.T, path string) *process {
	t.Helper()
	eventLoop, err := loop.New()
	require.NoError(t, err)
	p := &process{logPath: filepath.Join(t.TempDir(), "log")}
	file, err := os.Create(p.logPath)
	require.NoError(t, err)
	log := logs.New(file, "n0")
	t.Cleanup(func() {
		log.Close()
		_ = file.Close()
	})
	p.Control = New(eventLoop, log, path, p, p, p)
	return p
}

// logged returns the text of the process's log.
func (p *process) logged(t *testing.T) string {
	t.Helper()
	p.log.Close()
	text, err := os.ReadFile(p.logPath)
	require.NoError(t, err)
	return string(text)
}

// pollDrain does the part of Control.poll that concerns drains.
func (p *process) pollDrain() {
	p.drain.refresh()
	p.drain.applyPhase()
}

func statePath(t *testing.T) string {
	t.Helper()
	return filepath.Join(t.TempDir(), "held.json")
}

// pathWithoutDirectory returns a path in a directory that does not exist.
func pathWithoutDirectory(t *testing.T) string {
	t.Helper()
	return filepath.Join(t.TempDir(), "no such folder", "held.json")
}

func TestStopEndsReadiness(t *testing.T) {
	p := start(t, statePath(t))
	require.True(t, p.Ready())
	p.Stop()
	assert.False(t, p.Ready(), "a process that shuts down is not ready")
}
