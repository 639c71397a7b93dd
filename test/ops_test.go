package test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/lab/loopback"
)

// adminCall makes a call of the admin API and returns its status, 0 if there was no answer.
func adminCall(p *program, method, path string) int {
	r, _ := http.NewRequest(method, "http://"+p.adminAddr+path, nil)
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode
}

// adminRaw sends bytes to the admin API. It returns what came back until the close, and how long that took.
func adminRaw(t *testing.T, p *program, text string) (string, time.Duration) {
	c, err := net.Dial("tcp", p.adminAddr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	at := time.Now()
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	out, _ := io.ReadAll(c)
	return string(out), time.Since(at)
}

// TestAdminAPIBesideIdleCallers makes valid and invalid calls while 80 other callers send nothing or half a call.
// Each call must have the right status, within a second.
func TestAdminAPIBesideIdleCallers(t *testing.T) {
	_, p := startWithBackends(t, nil, options{adminAPI: true})
	// Callers that send nothing or half a call and keep their connections.
	var idle []net.Conn
	for i := range 80 {
		c, err := net.Dial("tcp", p.adminAddr)
		require.NoError(t, err)
		if i%2 == 1 {
			_, _ = io.WriteString(c, "PUT /v1/leafs/s-1/sus")
		}
		idle = append(idle, c)
	}
	defer func() {
		for _, c := range idle {
			_ = c.Close()
		}
	}()
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/v1/readyz", 200},
		{"PUT", "/v1/leafs/s-1/suspend", 200},
		{"PUT", "/v1/leafs/s-1/suspend", 200}, // repeated: same answer, no further change
		{"PUT", "/v1/leafs/s-1/resume", 200},
		{"PUT", "/v1/leafs/s-1/resume", 200},
		{"PUT", "/v1/leafs/s-9/suspend", 404}, // never listed
		{"PUT", "/v1/leafs/s-9/resume", 404},
		{"PUT", "/v1/leafs/s%201/suspend", 400},
		{"GET", "/v1/leafs/s-1/suspend", 405},
		{"PUT", "/v1/readyz", 405},
		{"PUT", "/v1/leafs/s-1/stop", 404},
		{"GET", "/v2/readyz", 404},
		{"PUT", "/v1/aggregator/drain", 200},
		{"GET", "/v1/readyz", 503},
		{"PUT", "/v1/aggregator/activate", 200},
		{"GET", "/v1/readyz", 200},
	} {
		at := time.Now()
		assert.Equal(t, c.status, adminCall(p, c.method, c.path), "%s %s", c.method, c.path)
		assert.Less(t, time.Since(at), 300*time.Millisecond, "%s %s beside 80 idle callers", c.method,
			c.path)
	}
	// Invalid calls are answered with an error and closed.
	for _, c := range []struct {
		text   string
		status string
	}{
		{"GET /v1/readyz HTTP/1.1\r\nX: " + string(make([]byte, 5000)) + "\r\n\r\n", "431"},
		{"PUT /v1/aggregator/drain HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", "413"},
		{"PUT /v1/aggregator/activate HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "200"},
		{"PUT /v1/aggregator/activate HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "200"},
		{"PUT /v1/aggregator/drain HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n" +
			strings.Repeat("x", 8192), "413"},
		{"PUT /v1/aggregator/drain HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "400"},
		{"HELLO\r\n\r\n", "400"},
		{"GET /v1/readyz HTTP/1.1\r\nHost: a\r\n", "408"}, // half a call: answered in time
	} {
		out, took := adminRaw(t, p, c.text)
		assert.Contains(t, out, "HTTP/1.1 "+c.status+" ", c.text[:min(30, len(c.text))])
		assert.Less(t, took, time.Second)
	}
	// The idle callers have been answered within a second, and do not block the admin API.
	for _, c := range idle[:4] {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
		out, _ := io.ReadAll(c)
		assert.Contains(t, string(out), "HTTP/1.1 ")
	}
	assert.Equal(t, 200, adminCall(p, "GET", "/v1/readyz"))
	p.waitForLog(`"code":"O03"`)
}

// TestAdminLatencyCheckDetectsDelay delays the admin API and requires that the latency check of the other tests would
// fail.
func TestAdminLatencyCheckDetectsDelay(t *testing.T) {
	_, p := startWithBackends(t, nil, options{adminAPI: true})
	require.NoError(t, p.Process.Signal(syscall.SIGSTOP))                     // delays the admin API
	require.Eventually(t, p.allThreadsStopped, waitTimeout, time.Millisecond) // a signal takes effect later
	defer func() { _ = p.Process.Signal(syscall.SIGCONT) }()
	at := time.Now()
	go func() {
		time.Sleep(1200 * time.Millisecond)
		_ = p.Process.Signal(syscall.SIGCONT)
	}()
	assert.Equal(t, 200, adminCall(p, "GET", "/v1/readyz"))
	assert.GreaterOrEqual(t, time.Since(at), time.Second, "the latency check would not detect the delay")
}

// attemptsSince returns the number of attempts that a backend got after a time.
func attemptsSince(backends *backendSet, backend string, after time.Time) int {
	n := 0
	for _, s := range backends.attempts() {
		if s.backend == backend && s.receivedAt.After(after) {
			n++
		}
	}
	return n
}

// TestSuspensionAcrossRestart suspends a backend. It must get no attempt once the call succeeded, also from the next
// process with the same $TMPDIR, and be used again after one resume.
func TestSuspensionAcrossRestart(t *testing.T) {
	tmp := t.TempDir()
	backends, p := startWithBackends(t, nil, options{adminAPI: true, stateDir: tmp})
	sent := 0
	send := func(p *program, n int) {
		for i := range n {
			sent++
			assert.Equal(t, "served", sendHTTP(context.Background(), p, request{id: fmt.Sprintf("h%d", sent),
				class: "quote", tenant: "gangasagar-life", shards: []int{i % 8}, timeout: time.Second}).outcome)
		}
	}
	send(p, 16)
	require.Positive(t, attemptsSince(backends, "s-2", time.Time{}), "the backend was never used")
	require.Equal(t, 200, adminCall(p, "PUT", "/v1/leafs/s-2/suspend"))
	suspendedAt := time.Now()
	send(p, 32)
	assert.Zero(t, attemptsSince(backends, "s-2", suspendedAt),
		"a suspended backend got an attempt after the call succeeded")

	// The next process reads the suspension before it serves.
	p.stop()
	next := start(t, options{adminAPI: true, stateDir: tmp, endpoints: backends.endpoints})
	restartedAt := time.Now()
	send(next, 32)
	assert.Zero(t, attemptsSince(backends, "s-2", restartedAt), "the suspension did not hold across the restart")
	next.waitForLog("suspensions read")

	require.Equal(t, 200, adminCall(next, "PUT", "/v1/leafs/s-2/resume"))
	resumedAt := time.Now()
	require.Eventually(t, func() bool {
		send(next, 8)
		return attemptsSince(backends, "s-2", resumedAt) > 0
	}, waitTimeout, time.Millisecond, "the resumed backend is not used")
}

// TestTornSuspensionsFile starts the program with a truncated file of suspensions. The program must log that and
// start.
func TestTornSuspensionsFile(t *testing.T) {
	tmp := t.TempDir()
	require.NoError(t, os.WriteFile(tmp+"/ternstage-held-leafs.json", []byte(`{"form":"ternstage held`), 0o600))
	_, p := startWithBackends(t, nil, options{adminAPI: true, stateDir: tmp})
	p.waitForLog("suspensions not read")
	assert.Contains(t, p.logged(), "torn or not JSON")
	assert.Equal(t, 200, adminCall(p, "GET", "/v1/readyz"))
}

// TestDrainBroker drains the broker. Its health must be 503 at once, an open connection must still be served, every
// connection must end within 4 s, and the process must stay and be healthy again after activate.
func TestDrainBroker(t *testing.T) {
	_, p := startWithBackends(t, nil, options{adminAPI: true})
	busy, idle := dial(t, p), dial(t, p)
	r := bufio.NewReader(busy)
	send := func(id string) (status int, closing bool) {
		_, err := io.WriteString(busy, requestText(id, validBody))
		require.NoError(t, err)
		a, err := http.ReadResponse(r, nil)
		require.NoError(t, err, id)
		_, _ = io.Copy(io.Discard, a.Body)
		return a.StatusCode, a.Close
	}
	_, _ = send("before")
	require.Equal(t, 200, adminCall(p, "PUT", "/v1/aggregator/drain"))
	at := time.Now()
	assert.Equal(t, 503, p.healthStatus())
	status, closing := send("kept")
	assert.Equal(t, 200, status)
	if !closing {
		time.Sleep(700 * time.Millisecond) // past the time in which new connections are accepted
		status, closing = send("later")
		assert.Equal(t, 200, status)
		assert.True(t, closing, "the last answer on a connection must announce the close")
	}
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(4*time.Second)))
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the idle connection was not closed")
	assert.Less(t, time.Since(at), 4*time.Second)
	select {
	case err := <-p.exited:
		require.Fail(t, "the program exited", "%v", err)
	default:
	}
	require.Equal(t, 200, adminCall(p, "PUT", "/v1/aggregator/activate"))
	assert.Equal(t, 200, p.healthStatus())
}

// TestUpgradeUnderLoad starts a second process on the inherited listener (descriptor 5) under load and ends the first
// by SIGTERM. No request may be lost or rejected.
func TestUpgradeUnderLoad(t *testing.T) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	file := blockingListener(t, ln)
	tmp := t.TempDir()
	backends := startBackends(t, protocols[0], nil)
	o := options{adminAPI: true, stateDir: tmp, listener: file, listenAddr: ln.Addr().String(),
		endpoints: backends.endpoints}
	old := start(t, o)

	var served, unanswered, notServed atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			tr := &http.Transport{DisableKeepAlives: c%2 == 0}
			defer tr.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				q := request{id: fmt.Sprintf("u%d-%d", c, i), class: "quote", tenant: "gangasagar-life",
					shards: []int{i % 8}, timeout: time.Second}
				r, _ := http.NewRequest("POST", "http://"+old.httpAddr+"/quote", strings.NewReader(q.encodedBody()))
				r.Header.Set("X-Request-Id", q.id)
				r.Header.Set("X-Class", q.class)
				r.Header.Set("X-Tenant", q.tenant)
				r.Header.Set("X-Deadline", "1.000")
				a, err := tr.RoundTrip(r)
				switch {
				case err != nil:
					unanswered.Add(1)
				case a.StatusCode == 200:
					served.Add(1)
				default:
					notServed.Add(1)
				}
				if a != nil {
					_, _ = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	next := start(t, o)
	require.Eventually(t, func() bool { return adminCall(next, "GET", "/v1/readyz") == 200 }, 6*time.Second,
		5*time.Millisecond)
	before := served.Load()
	old.stop()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	assert.Zero(t, unanswered.Load(), "requests without a response")
	assert.Zero(t, notServed.Load(), "requests not served")
	assert.Greater(t, served.Load(), before, "the new process served nothing")
	assert.Contains(t, next.logged(), `"serving"`)
}

// TestInheritedNotAListener passes a descriptor 5 that is no listening socket. The program must exit with an error
// that says so.
func TestInheritedNotAListener(t *testing.T) {
	f, err := os.CreateTemp(t.TempDir(), "not-a-socket")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	backends := startBackends(t, protocols[0], nil)
	d := newDiscovery(t, backends.endpoints)
	text := fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"1","settings":%s}`,
		freeAddress(t), d.addr, must(json.Marshal(settings())))
	p := launchWithListener(t, text, f)
	select {
	case err := <-p.exited:
		require.Error(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "the program started")
	}
	assert.Contains(t, p.logged(), "descriptor 5: not a socket")
}

// must returns v. It panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// blockingListener returns the file of a listener as the platform passes it to processes. It makes the file blocking
// once: otherwise Go's exec would set it back to blocking at each start, under the processes that share it, which the
// platform does not do.
func blockingListener(t *testing.T, ln net.Listener) *os.File {
	f, err := ln.(*net.TCPListener).File()
	require.NoError(t, err)
	_ = ln.Close() // the file keeps the socket
	fd, err := syscall.Dup(int(f.Fd()))
	require.NoError(t, err)
	_ = f.Close()
	require.NoError(t, syscall.SetNonblock(fd, false))
	kept := os.NewFile(uintptr(fd), "listener")
	t.Cleanup(func() { _ = kept.Close() })
	return kept
}

// TestSharedListenerSetToBlocking has Go's exec set the shared listener back to blocking while it starts the second
// process. The first must not block in accept.
func TestSharedListenerSetToBlocking(t *testing.T) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	a := ln.Addr().String()
	file, err := ln.(*net.TCPListener).File() // not made blocking, unlike in blockingListener
	require.NoError(t, err)
	_ = ln.Close()
	backends := startBackends(t, protocols[0], nil)
	first := start(t, options{listener: file, listenAddr: a, endpoints: backends.endpoints})
	start(t, options{listener: file, listenAddr: a, endpoints: backends.endpoints})
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 50 {
		a, err := c.Get("http://" + first.httpAddr + "/_health")
		require.NoError(t, err, "a process blocks in accept")
		_ = a.Body.Close()
	}
}
