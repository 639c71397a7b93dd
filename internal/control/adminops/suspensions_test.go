package adminops

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/maintenance"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/store/statefile"
)

// TestSuspensionsAreShared checks that a backend suspended at one process is suspended at another after its next
// poll, and at one that starts later from its start; and that a call to resume it at one process is applied by
// another.
func TestSuspensionsAreShared(t *testing.T) {
	path := statePath(t)
	first, second := start(t, path), start(t, path)
	first.Suspensions().EndpointListed("s-1")
	require.Equal(t, 200, first.Suspend("s-1").Status)
	require.Equal(t, []scheduler.Endpoint{{Replica: '1', State: scheduler.Draining}}, first.endpoints,
		"the scheduler is notified at once")

	second.suspensions.refresh()
	assert.True(t, second.Suspensions().Suspended("s-1"), "suspended at the other process after a poll")
	assert.Equal(t, scheduler.Draining, second.endpoints[0].State)
	third := start(t, path)
	assert.True(t, third.Suspensions().Suspended("s-1"), "a process reads the file when it starts")

	require.Equal(t, 200, second.Resume("s-1").Status, "a backend can be resumed at any process")
	first.suspensions.refresh()
	assert.False(t, first.Suspensions().Suspended("s-1"))
	assert.Equal(t, scheduler.Ready, first.endpoints[len(first.endpoints)-1].State, "the scheduler is notified of it")
	second.endpoints = nil
	second.suspensions.refresh()
	assert.Empty(t, second.endpoints, "a file that the process wrote itself is not applied again")
}

// TestTornSuspensionFile checks that a torn file changes no suspension in force, and that a process starts with one.
func TestTornSuspensionFile(t *testing.T) {
	path := statePath(t)
	p := start(t, path)
	p.Suspensions().EndpointListed("s-1")
	require.True(t, p.Suspend("s-1").OK())
	require.NoError(t, os.WriteFile(path, []byte(`{"form":"ternstage held leafs","vers`), 0o600))
	p.suspensions.refresh()
	p.suspensions.refresh()
	assert.True(t, p.Suspensions().Suspended("s-1"), "a torn file resumes nothing")

	require.NoError(t, os.WriteFile(path, maintenance.EncodeSuspensions(nil)[:5], 0o600))
	next := start(t, path)
	assert.Empty(t, next.Suspensions().IDs(), "a process that starts with a torn file suspends nothing")
	assert.Contains(t, next.logged(t), "torn or not JSON")
}

// TestSuspensionNotStored checks that a suspension that cannot be stored is answered 500, although it is in force
// here.
func TestSuspensionNotStored(t *testing.T) {
	p := start(t, pathWithoutDirectory(t))
	p.Suspensions().EndpointListed("s-2")
	result := p.Suspend("s-2")
	assert.Equal(t, 500, result.Status, "not stored for the next process")
	assert.Contains(t, result.Reason, "so here, but not kept for the next process: write ")
	assert.True(t, p.Suspensions().Suspended("s-2"), "in force here")
}

// TestConcurrentWriters checks that two processes that change the file at once lose no change: every call that was
// successful is in force at a process that starts afterwards. Without the lock some of them are lost.
func TestConcurrentWriters(t *testing.T) {
	const callsPerProcess = 200
	path := statePath(t)
	wantSuspended := []map[string]bool{{}, {}} // by process: whether the last call suspended each id
	var writers sync.WaitGroup
	for w, suspended := range wantSuspended {
		p := start(t, path)
		for i := range callsPerProcess {
			p.Suspensions().EndpointListed(fmt.Sprintf("s-%d-%d", w, i))
		}
		writers.Go(func() {
			for i := range callsPerProcess {
				id := fmt.Sprintf("s-%d-%d", w, i)
				untilOK(p.Suspend, id)
				suspended[id] = true
				if i%3 == 0 {
					untilOK(p.Resume, id)
					suspended[id] = false
				}
			}
		})
	}
	writers.Wait()
	next := start(t, path)
	for _, suspended := range wantSuspended {
		assert.Len(t, suspended, callsPerProcess)
		for id, want := range suspended {
			assert.Equal(t, want, next.Suspensions().Suspended(id), id)
		}
	}
}

// untilOK repeats a call until it is successful, as the other process may hold the lock.
func untilOK(call func(string) maintenance.CallResult, id string) {
	for !call(id).OK() {
	}
}

// TestLockedByStoppedProcess checks that a call is answered 500 within 50 ms and changes nothing while another
// process holds the lock, as one does that is stopped during its change. Once the lock is released the same call
// succeeds.
func TestLockedByStoppedProcess(t *testing.T) {
	path := statePath(t)
	p := start(t, path)
	p.Suspensions().EndpointListed("s-1")
	lock, err := statefile.Lock(path)
	require.NoError(t, err)
	began := time.Now()
	result := p.Suspend("s-1")
	assert.Less(t, time.Since(began), 50*time.Millisecond)
	assert.Equal(t, 500, result.Status)
	assert.Equal(t, "nothing is changed: lock "+path+".lock: another process of the aggregator is changing it\n"+
		"resource temporarily unavailable", result.Reason)
	assert.False(t, p.Suspensions().Suspended("s-1"))
	assert.Empty(t, p.endpoints)
	assert.NoFileExists(t, path)
	lock.Close()
	assert.Equal(t, 200, p.Suspend("s-1").Status)
}
