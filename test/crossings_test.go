package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/lab/loopback"
)

// These tests force pairs of concurrent events (docs/design/crossings.md) into their harmful order: a simulated peer
// delays one of them, or the program is stopped (SIGSTOP) while both happen, so that it finds them in one wake-up.

// serveSeveral has the program serve 25 requests, which gives its event loop time for anything that it might still do
// by mistake.
func serveSeveral(t *testing.T, p *program) {
	for i := range 25 {
		requireOutcome(t, p, fmt.Sprintf("pass%d-%d", time.Now().UnixNano(), i), "quote", "served")
	}
}

// sendRequest sends a request with the longest deadline of its class over a new connection and leaves that open.
func sendRequest(t *testing.T, p *program, id, class string, shards ...int) *net.TCPConn {
	q := request{shards: shards}
	text := strings.Replace(strings.ReplaceAll(requestText(id, q.encodedBody()), "quote", class), "0.9", "9", 1)
	c := dial(t, p)
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// onRequest returns a behavior for the parts of one request; all others are served.
func onRequest(id string, d behavior) func(receivedAttempt, int) behavior {
	return func(s receivedAttempt, _ int) behavior {
		if strings.HasPrefix(s.id, id+".") {
			return d
		}
		return serve
	}
}

// attemptCount returns the number of attempts of a request that reached backends.
func attemptCount(backends *backendSet, id string) (n int) {
	for _, s := range backends.attempts() {
		if strings.HasPrefix(s.id, id+".") {
			n++
		}
	}
	return n
}

// waitForAttempts waits until n attempts of a request have reached backends.
func waitForAttempts(t *testing.T, backends *backendSet, id string, n int) {
	require.Eventually(t, func() bool { return attemptCount(backends, id) >= n }, waitTimeout, time.Millisecond, id)
}

// whileStopped stops the program (SIGSTOP), runs events and continues the program.
func whileStopped(p *program, events func()) {
	require.NoError(p.t, p.Process.Signal(syscall.SIGSTOP))
	require.Eventually(p.t, p.allThreadsStopped, waitTimeout, time.Millisecond)
	events()
	require.NoError(p.t, p.Process.Signal(syscall.SIGCONT))
}

// allThreadsStopped reports whether every thread of the program has stopped. The first thread, whose state is that of
// the process, may stop while the thread of the event loop still runs, takes an event and stops before it reads the
// clock.
func (p *program) allThreadsStopped() bool {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Process.Pid))
	require.NoError(p.t, err)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil || string(text[bytes.LastIndexByte(text, ')')+2:][:1]) != "T" {
			return false
		}
	}
	return len(paths) > 0
}

// TestClientDisconnectsDuringUnsafePart has a client disconnect while a part that must not run twice is in flight.
// The backend then rejects the part, which has not run: it must be retried for a client that stays, and not for one
// that has disconnected.
func TestClientDisconnectsDuringUnsafePart(t *testing.T) {
	for _, stays := range []bool{true, false} {
		backends, p := startWithBackends(t, onRequest("bind-1", rejectWhenReleased), options{})
		c := sendRequest(t, p, "bind-1", "bind", 1)
		waitForAttempts(t, backends, "bind-1", 1)
		if !stays {
			_ = c.Close()
			p.waitForLog(`"code":"C03"`)
		}
		close(backends.release)
		if stays {
			waitForAttempts(t, backends, "bind-1", 2)
			continue
		}
		serveSeveral(t, p)
		assert.Equal(t, 1, attemptCount(backends, "bind-1"))
		p.waitForLog(`"id":"bind-1","end":"failed","class":1,"client_disconnected":true`)
	}
}

// TestClientDisconnectsRightAfterRequest has a client close right after its request, in the same wake-up of the loop.
// No attempt may start.
func TestClientDisconnectsRightAfterRequest(t *testing.T) {
	backends, p := startWithBackends(t, nil, options{})
	for _, class := range []string{"quote", "bind"} {
		c := dial(t, p)
		whileStopped(p, func() {
			_, err := io.WriteString(c, strings.ReplaceAll(requestText("at-once", validBody), "quote", class))
			require.NoError(t, err)
			_ = c.Close()
		})
		p.waitForLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, c.LocalAddr()))
		serveSeveral(t, p)
		assert.Zero(t, attemptCount(backends, "at-once"), class)
	}
}

// TestClientsDisconnectWhileProgramIsStopped has parts wait for a backend that accepts its first attempts 1.5 s after
// its start. While the program is stopped, one client closes, another resets, and that time passes. The program first
// finds that its wait was interrupted; no attempt may start for the clients that left.
func TestClientsDisconnectWhileProgramIsStopped(t *testing.T) {
	s := settings()
	for _, c := range s["categories"].([]any) {
		c.(map[string]any)["aim_ms"], c.(map[string]any)["deadline_ms"] = 5000, 8000
	}
	backends := startBackends(t, protocols[0], nil, 0, 2, 3)
	backends.endpoints[1].UpSinceMS = time.Now().UnixMilli()
	p := start(t, options{settings: s, endpoints: backends.endpoints[1:2]})
	at := time.Now()
	stays, closes, resets := sendRequest(t, p, "stays", "quote", 1), sendRequest(t, p, "closes", "quote", 1),
		sendRequest(t, p, "resets", "quote", 1)
	require.Eventually(t, func() bool { return acceptedCount(t, p) == 3 }, waitTimeout, time.Millisecond)
	whileStopped(p, func() {
		_ = closes.Close()
		_, _ = resets.SetLinger(0), resets.Close()
		time.Sleep(time.Until(at.Add(2 * time.Second))) // past the time of the first attempts at the backend
	})
	requireAnswer(t, stays, 200, false)
	p.waitForLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, closes.LocalAddr()))
	p.waitForLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, resets.LocalAddr()))
	serveSeveral(t, p)
	assert.Equal(t, []int{1, 0, 0}, []int{attemptCount(backends, "stays"), attemptCount(backends, "closes"),
		attemptCount(backends, "resets")})
}

// acceptedCount returns the number of requests of the tests' tenant that the program has accepted.
func acceptedCount(t *testing.T, p *program) int {
	r, err := http.Get("http://" + p.httpAddr + "/_contracts")
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	var b struct{ Taken map[string]int }
	require.NoError(t, json.NewDecoder(r.Body).Decode(&b))
	return b.Taken["gangasagar-life"]
}

// TestClientDisconnectsAfterFlood has a client send far more than the program buffers after its request, and close.
// The close must be noticed although it comes after all that: the unanswered part is not reassigned.
func TestClientDisconnectsAfterFlood(t *testing.T) {
	backends, p := startWithBackends(t, onRequest("flood", neverAnswer), options{})
	c := sendRequest(t, p, "flood", "quote", 1)
	waitForAttempts(t, backends, "flood", 1)
	for range 64 {
		_, err := c.Write(bytes.Repeat([]byte("x"), 64<<10))
		require.NoError(t, err)
	}
	_ = c.Close()
	p.waitForLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, c.LocalAddr()))
	serveSeveral(t, p)
	assert.Equal(t, 1, attemptCount(backends, "flood"))
}

// TestClientStaysAfterFlood has the same client stay. Its first request must be answered, as the last on the
// connection.
func TestClientStaysAfterFlood(t *testing.T) {
	backends, p := startWithBackends(t, onRequest("flood", serveWhenReleased), options{})
	c := sendRequest(t, p, "flood", "quote", 1)
	waitForAttempts(t, backends, "flood", 1)
	_, err := c.Write(bytes.Repeat([]byte("x"), 4<<20))
	require.NoError(t, err)
	close(backends.release)
	requireAnswer(t, c, 200, true)
}

// requireAnswer reads an answer. If it must be the last on its connection, requireAnswer also requires that the
// connection ends by a close and not by a reset.
func requireAnswer(t *testing.T, c net.Conn, status int, last bool) {
	t.Helper()
	r := bufio.NewReader(c)
	a, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(a.Body)
	require.NoError(t, err)
	assert.Equal(t, status, a.StatusCode)
	require.Equal(t, last, a.Close)
	if last {
		_, err = io.Copy(io.Discard, r)
		assert.NoError(t, err, "the connection was reset")
	}
}

// TestConnectionComesUpAfterRequestEnded has the connection to the only backend come up after 1 s. By then the part
// that waited for it has ended, because its time was over or its client disconnected. It must not be sent; the
// connection is used for later requests.
func TestConnectionComesUpAfterRequestEnded(t *testing.T) {
	for _, disconnected := range []bool{false, true} {
		ln, drain, err := loopback.Full()
		require.NoError(t, err)
		s := settings()
		s["limits"].(map[string]any)["dial_timeout_ms"] = 3000
		backends := startBackends(t, protocols[0], nil, 1, 2, 3)
		backends.endpoints[1].Address = ln.Addr().String()
		p := start(t, options{settings: s, endpoints: backends.endpoints[1:2]})
		c := sendRequest(t, p, "early", "quote", 1)
		if disconnected {
			require.Eventually(t, func() bool { return acceptedCount(t, p) == 1 }, waitTimeout, time.Millisecond)
			_ = c.Close()
			p.waitForLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, c.LocalAddr()))
		} else {
			requireAnswer(t, c, 503, false)
		}
		drain()
		t.Cleanup(serveFrames(backends, "s-1", ln))
		require.Eventually(t, func() bool {
			return sendHTTP(context.Background(), p, request{id: fmt.Sprint("late", time.Now().UnixNano()), class: "quote",
				tenant: "gangasagar-life", shards: []int{1}, timeout: 900 * time.Millisecond}).outcome == "served"
		}, waitTimeout, 50*time.Millisecond)
		assert.Zero(t, attemptCount(backends, "early"))
	}
}

// openDescriptors returns how many descriptors below a number a process has open.
func openDescriptors(t *testing.T, pid, below int) (n int) {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	require.NoError(t, err)
	for _, f := range files {
		if x, err := strconv.Atoi(f.Name()); err == nil && x < below {
			n++
		}
	}
	return n
}

// TestIdempotencyKeyReachesBackends requires that the idempotency key, by which backends drop client retries, is sent
// to them with each part. A key that would break the line of the frame is invalid.
func TestIdempotencyKeyReachesBackends(t *testing.T) {
	s := settings()
	s["categories"].([]any)[0].(map[string]any)["effect"] = "idempotency_key"
	backends, p := startWithBackends(t, onFirst(returnError), options{settings: s})
	requestWithKey := func(key string) string {
		return strings.Replace(requestText("keyed", validBody), "X-Class", "Idempotency-Key: "+key+"\r\nX-Class", 1)
	}
	assert.Equal(t, []int{200}, answerStatuses(t, p, requestWithKey("d3f98de5ee7a5332")))
	all := backends.attempts()
	require.Len(t, all, 2, "the part failed once and is retried: a backend where it ran drops it")
	for _, x := range all {
		assert.Regexp(t, `^Qkeyed\.1 1 d=[0-9]+,k=d3f98de5ee7a5332 8\nc41e77d0$`, string(x.frame))
	}
	for _, bad := range []string{"a b", "a,d=9", strings.Repeat("k", 129)} {
		assert.Equal(t, []int{400}, answerStatuses(t, p, requestWithKey(bad)), bad)
	}
}

// recordingListener is a listener that passes its accepted connections to the test.
type recordingListener struct {
	net.Listener
	accepted chan net.Conn
}

func (a *recordingListener) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err == nil {
		a.accepted <- c
	}
	return c, err
}

// TestBackendClosesIdleConnection has a backend close a recently used connection in the same wake-up in which a part
// for it arrives. The part must be sent once, on a new connection.
func TestBackendClosesIdleConnection(t *testing.T) {
	for _, class := range []string{"quote", "bind"} {
		backends := startBackends(t, protocols[0], nil, 0, 1, 2, 3)
		ln, err := net.Listen("tcp", backends.endpoints[1].Address)
		require.NoError(t, err)
		a := &recordingListener{ln, make(chan net.Conn, 16)}
		t.Cleanup(serveFrames(backends, "s-1", a))
		p := start(t, options{endpoints: backends.endpoints[1:2]})
		requireOutcome(t, p, "before", "quote", "served")
		c := dial(t, p)
		whileStopped(p, func() {
			_, err := io.WriteString(c, strings.ReplaceAll(requestText("crosses", validBody), "quote", class))
			require.NoError(t, err)
			_ = (<-a.accepted).Close()
		})
		requireAnswer(t, c, 200, false)
		assert.Equal(t, 1, attemptCount(backends, "crosses"), class)
	}
}

// TestBackendResetsConnectionWithUnreadPart has a backend reset a connection on which a part was written but not
// read. The part may have run: one that must not run twice must fail, another must be retried.
func TestBackendResetsConnectionWithUnreadPart(t *testing.T) {
	for class, status := range map[string]int{"quote": 200, "bind": 502} {
		backends := startBackends(t, protocols[0], nil, 0, 1, 2, 3)
		ln, err := net.Listen("tcp", backends.endpoints[1].Address)
		require.NoError(t, err)
		defer func() { _ = ln.Close() }()
		p := start(t, options{endpoints: backends.endpoints[1:2]})
		c := sendRequest(t, p, "reset", class, 1)
		accepted, err := ln.Accept() // the part is written but unread, so that the close below resets the connection
		require.NoError(t, err)
		_, err = accepted.Read(make([]byte, 1))
		require.NoError(t, err)
		_ = accepted.Close()
		t.Cleanup(serveFrames(backends, "s-1", ln))
		requireAnswer(t, c, status, false)
		assert.Equal(t, map[string]int{"quote": 1, "bind": 0}[class], attemptCount(backends, "reset"))
	}
}

// TestTruncatedAnswerToCancelledPart has a backend send half a line of the answer to a part that was cancelled and
// served by another replica. The connection must be closed for it, and nothing else may fail.
func TestTruncatedAnswerToCancelledPart(t *testing.T) {
	backends, p := startWithBackends(t, func(s receivedAttempt, nth int) behavior {
		if strings.HasPrefix(s.id, "moved.") && nth == 1 {
			return truncateWhenReleased
		}
		return serve
	}, options{})
	c := sendRequest(t, p, "moved", "quote", 1)
	requireAnswer(t, c, 200, false)
	assert.Equal(t, 2, attemptCount(backends, "moved"))
	close(backends.release)
	p.waitForLog(`"code":"L06"`)
	serveSeveral(t, p)
}

// TestOversizedBody has a client continue to send an oversized body after its answer. Up to 1 MiB must not cause a
// reset: the connection ends by a close.
func TestOversizedBody(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	c, text := dial(t, p), requestText("big", strings.Repeat("x", 900_000))
	for chunk := range slices.Chunk([]byte(text), 64<<10) {
		_, err := c.Write(chunk)
		require.NoError(t, err)
		require.Equal(t, 200, p.healthStatus()) // the program has read the previous chunk by now
	}
	requireAnswer(t, c, 413, true)
}

// TestClientRetryWhileFirstRequestIsInFlight has a client retry with the same idempotency key while its first request
// is in flight, within the deduplication window and after it. Each must be a request of its own, whose parts are not
// retried after its own window.
func TestClientRetryWhileFirstRequestIsInFlight(t *testing.T) {
	s := settings()
	class := s["categories"].([]any)[0].(map[string]any)
	class["effect"], class["dedup_window_ms"] = "idempotency_key", 300
	backends, p := startWithBackends(t, onRequest("first", neverAnswer), options{settings: s})
	sendKeyed := func(id string) *net.TCPConn {
		c := dial(t, p)
		_, err := io.WriteString(c, strings.Replace(requestText(id, validBody), "X-Class",
			"Idempotency-Key: k1\r\nX-Class", 1))
		require.NoError(t, err)
		return c
	}
	first := sendKeyed("first")
	waitForAttempts(t, backends, "first", 1)
	requireAnswer(t, sendKeyed("within"), 200, false)
	at := backends.attempts()[0].receivedAt
	require.Eventually(t, func() bool { return time.Since(at) > 320*time.Millisecond }, waitTimeout, time.Millisecond)
	requireAnswer(t, sendKeyed("after"), 200, false)
	requireAnswer(t, first, 504, false)
	for _, x := range backends.attempts() {
		if strings.HasPrefix(x.id, "first.") {
			assert.Less(t, x.receivedAt.Sub(at), 350*time.Millisecond)
		}
	}
	assert.Equal(t, []int{1, 1}, []int{attemptCount(backends, "within"), attemptCount(backends, "after")})
}
