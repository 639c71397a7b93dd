package discovery

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/endpointpoll"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/lab/loopback"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

const testTimeout = 10 * time.Second

// fakeDiscovery answers each call with the next handler, and all calls after that with the last handler. It records
// the targets of the calls.
type fakeDiscovery struct {
	address  string
	mu       sync.Mutex
	handlers []http.HandlerFunc
	targets  []string
}

func newFakeDiscovery(t *testing.T, handlers ...http.HandlerFunc) *fakeDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	fake := &fakeDiscovery{address: listener.Addr().String(), handlers: handlers}
	server := &http.Server{Handler: fake}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return fake
}

func (f *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.targets = append(f.targets, r.URL.RequestURI())
	handler := f.handlers[min(len(f.targets), len(f.handlers))-1]
	f.mu.Unlock()
	handler(w, r)
}

func (f *fakeDiscovery) calls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.targets...)
}

func respond(list EndpointList) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(list) }
}

func respondAndClose(list EndpointList) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		respond(list)(w, r)
	}
}

func respondUnavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

func holdOpen(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// fakeCore records the kinds of the updates and their numbers of endpoints.
type fakeCore struct {
	kinds  []scheduler.UpdateKind
	counts []int
}

func (c *fakeCore) EndpointsChanged(kind scheduler.UpdateKind, endpoints []scheduler.Endpoint) {
	c.kinds = append(c.kinds, kind)
	c.counts = append(c.counts, len(endpoints))
}

// harness is a Watcher on a loop that the test runs.
type harness struct {
	loop    *loop.Loop
	core    *fakeCore
	watcher *Watcher
}

func newHarness(t *testing.T, address string, options endpointpoll.Options) *harness {
	t.Helper()
	eventLoop, err := loop.New()
	require.NoError(t, err)
	devNull, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	require.NoError(t, err)
	log := logs.New(devNull, "n0")
	core := &fakeCore{}
	watcher := NewWatcher(eventLoop, core, log, NewRegistry(nil), endpointpoll.NewPoller(options), address, nil)
	t.Cleanup(func() {
		watcher.Close()
		log.Close()
		_ = devNull.Close()
	})
	return &harness{eventLoop, core, watcher}
}

// runUntil runs the loop until the condition holds at the end of a scheduling round.
func (h *harness) runUntil(t *testing.T, condition func() bool) {
	t.Helper()
	expired := false
	deadline := time.AfterFunc(testTimeout, func() { h.loop.Post(func() { expired = true }) })
	defer deadline.Stop()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-ticker.C:
				h.loop.Post(func() {}) // wakes the loop, as the condition may depend on other goroutines
			case <-done:
				return
			}
		}
	}()
	h.loop.OnWakeUpEnd(func() {
		if expired || condition() {
			h.loop.Stop()
		}
	})
	require.NoError(t, h.loop.Run())
	require.False(t, expired, "the condition holds in time")
}

// TestWatcherFollowsList: the full list is requested first, then the changes since its revision.
func TestWatcherFollowsList(t *testing.T) {
	first := fullList(41, ready("s-1", "10.1.0.18:8080"), ready("s-2", "10.1.0.19:8080"))
	second := change(42, ready("s-3", "10.1.0.20:8080"))
	for name, respondWith := range map[string]func(EndpointList) http.HandlerFunc{
		"one connection":             respond,
		"a connection for each call": respondAndClose,
	} {
		t.Run(name, func(t *testing.T) {
			fake := newFakeDiscovery(t, respondWith(first), respondWith(second), holdOpen)
			h := newHarness(t, fake.address, endpointpoll.Options{})
			h.watcher.Watch()
			h.watcher.Watch() // has no effect while the list is followed
			h.runUntil(t, func() bool { return len(fake.calls()) == 3 })
			assert.Equal(t, []string{"/catalog/members", "/catalog/members?index=41&wait=3000",
				"/catalog/members?index=42&wait=3000"}, fake.calls())
			assert.Equal(t, []scheduler.UpdateKind{scheduler.UpdateFull, scheduler.UpdateDelta}, h.core.kinds)
			assert.Equal(t, []int{2, 1}, h.core.counts)
			assert.Equal(t, 3, h.watcher.registry.Len())
		})
	}
}

// TestWatcherStartsFromCachedList: a list from the configuration is passed on as cached, and changes are requested.
func TestWatcherStartsFromCachedList(t *testing.T) {
	fake := newFakeDiscovery(t, holdOpen)
	h := newHarness(t, fake.address, endpointpoll.Options{})
	h.watcher.LoadCached(fullList(41, ready("s-1", "10.1.0.18:8080")))
	h.watcher.Start() // has no effect on a polled list
	h.watcher.Watch()
	h.runUntil(t, func() bool { return len(fake.calls()) == 1 })
	assert.Equal(t, []string{"/catalog/members?index=41&wait=3000"}, fake.calls())
	assert.Equal(t, []scheduler.UpdateKind{scheduler.UpdateCached}, h.core.kinds)
}

// TestWatcherNotifiesFailure: the scheduler is notified once that a polled watch has ended, and no other call
// follows.
func TestWatcherNotifiesFailure(t *testing.T) {
	closed, err := loopback.Free()
	require.NoError(t, err)
	unavailable := newFakeDiscovery(t, respondUnavailable)
	malformed := newFakeDiscovery(t, respond(fullList(41, EndpointRecord{ID: "s-1", Phase: "ASLEEP"})))
	for name, address := range map[string]string{
		"refused":        closed,
		"status 503":     unavailable.address,
		"malformed list": malformed.address,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, address, endpointpoll.Options{})
			h.watcher.Watch()
			h.runUntil(t, func() bool { return len(h.core.kinds) > 0 })
			assert.Equal(t, []scheduler.UpdateKind{scheduler.UpdateFailed}, h.core.kinds)
			assert.False(t, h.watcher.watching)
			assert.Nil(t, h.watcher.stream)
		})
	}
}

// TestWatcherKeepsCallingAgent: the scheduler is not notified of failed calls to an agent, and the full list is
// requested next.
func TestWatcherKeepsCallingAgent(t *testing.T) {
	fake := newFakeDiscovery(t, respondUnavailable, respondUnavailable,
		respond(fullList(41, ready("s-1", "10.1.0.18:8080"))))
	h := newHarness(t, fake.address, endpointpoll.Options{Pushed: true, DrainGrace: 200})
	h.watcher.Start()
	h.runUntil(t, func() bool { return len(h.core.kinds) > 0 })
	assert.Equal(t, []scheduler.UpdateKind{scheduler.UpdateFull}, h.core.kinds)
	assert.Equal(t, []string{"/catalog/members", "/catalog/members", "/catalog/members"}, fake.calls())
	assert.False(t, h.watcher.unresponsive)
}

// TestWatcherRejectsOlderChange: a change of a lower revision is not passed on, and the full list is requested.
func TestWatcherRejectsOlderChange(t *testing.T) {
	fake := newFakeDiscovery(t, respond(change(40, ready("s-2", "10.1.0.19:8080"))), holdOpen)
	h := newHarness(t, fake.address, endpointpoll.Options{})
	h.watcher.LoadCached(fullList(41, ready("s-1", "10.1.0.18:8080")))
	h.watcher.Watch()
	h.runUntil(t, func() bool { return len(fake.calls()) == 2 })
	assert.Equal(t, []string{"/catalog/members?index=41&wait=3000", "/catalog/members"}, fake.calls())
	assert.Equal(t, []scheduler.UpdateKind{scheduler.UpdateCached}, h.core.kinds)
	assert.Equal(t, 1, h.watcher.registry.Len())
}

// TestWatcherMoves: a watch with a call in flight continues at the new address at once, with the full list.
func TestWatcherMoves(t *testing.T) {
	first := newFakeDiscovery(t, holdOpen)
	second := newFakeDiscovery(t, respond(fullList(7, ready("s-1", "10.1.0.18:8080"))), holdOpen)
	h := newHarness(t, first.address, endpointpoll.Options{})
	h.watcher.LoadCached(fullList(41, ready("s-1", "10.1.0.18:8080")))
	h.watcher.Watch()
	moved := false
	h.runUntil(t, func() bool {
		if !moved && len(first.calls()) == 1 {
			moved = true
			h.watcher.MoveTo(second.address)
		}
		return len(second.calls()) == 2
	})
	assert.Len(t, first.calls(), 1)
	assert.Equal(t, []string{"/catalog/members", "/catalog/members?index=7&wait=3000"}, second.calls())
	assert.Equal(t, []scheduler.UpdateKind{scheduler.UpdateCached, scheduler.UpdateFull}, h.core.kinds)
}
