package test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// platformKillsAfter is the time from SIGTERM to SIGKILL: the longest deadline of a class, here 1 s, after which the
// program stops listening, and 0.7 s (docs/design/crossings.md).
const platformKillsAfter = 1700 * time.Millisecond

// terminate sends SIGTERM and waits until the health check reports it. It returns the time of the signal.
func terminate(p *program) time.Time {
	at := time.Now()
	require.NoError(p.t, p.Process.Signal(syscall.SIGTERM))
	require.Eventually(p.t, func() bool { return p.healthStatus() == 503 }, waitTimeout, time.Millisecond)
	return at
}

// waitUntilNotListening waits until the program no longer listens.
func waitUntilNotListening(p *program) {
	require.Eventually(p.t, func() bool {
		c, err := net.Dial("tcp", p.httpAddr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, waitTimeout, time.Millisecond)
}

// requireExitInTime requires that the program exits successfully before the platform would kill it.
func requireExitInTime(p *program, at time.Time) {
	require.NoError(p.t, <-p.exited, p.logged())
	assert.Less(p.t, time.Since(at), platformKillsAfter)
}

// TestRequestArrivesWithSIGTERM has a request arrive on an idle connection in the same wake-up as SIGTERM. It must be
// served.
func TestRequestArrivesWithSIGTERM(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	c := dial(t, p)
	_, err := io.WriteString(c, requestText("before", validBody))
	require.NoError(t, err)
	requireAnswer(t, c, 200, false)
	var at time.Time
	whileStopped(p, func() {
		_, err := io.WriteString(c, requestText("with", validBody))
		require.NoError(t, err)
		at = time.Now()
		require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	})
	requireAnswer(t, c, 200, false)
	requireExitInTime(p, at)
}

// TestPartlyReadRequestAtShutdown has read half a request when the program stops listening. The request must be
// served if the rest comes soon, and rejected before the platform kills the process if not.
func TestPartlyReadRequestAtShutdown(t *testing.T) {
	for _, restComes := range []bool{true, false} {
		backends, p := startWithBackends(t, nil, options{})
		c, text := dial(t, p), requestText("half", validBody)
		_, err := io.WriteString(c, text[:150])
		require.NoError(t, err)
		requireOutcome(t, p, "other", "quote", "served") // the first half has been read by now
		at := terminate(p)
		waitUntilNotListening(p)
		status := 503
		if restComes {
			_, err = io.WriteString(c, text[150:])
			require.NoError(t, err)
			status = 200
		}
		requireAnswer(t, c, status, true)
		assert.Equal(t, restComes, attemptCount(backends, "half") == 1)
		_ = c.Close()
		requireExitInTime(p, at)
	}
}

// TestPipelinedRequestsAtShutdown stops listening while one request is in flight and the next one on its connection
// has been read. Both must be answered, the second as the last on the connection.
func TestPipelinedRequestsAtShutdown(t *testing.T) {
	backends, p := startWithBackends(t, onRequest("one", serveWhenReleased), options{})
	at := terminate(p)
	require.Eventually(t, func() bool { return time.Since(at) > 600*time.Millisecond }, waitTimeout, time.Millisecond)
	c := dial(t, p)
	_, err := io.WriteString(c, requestText("one", validBody)+requestText("two", validBody))
	require.NoError(t, err)
	waitForAttempts(t, backends, "one", 1)
	waitUntilNotListening(p)
	close(backends.release)
	r := bufio.NewReader(c)
	for _, last := range []bool{false, true} {
		a, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(a.Body)
		require.NoError(t, err)
		assert.Equal(t, 200, a.StatusCode)
		assert.Equal(t, last, a.Close)
	}
	_ = c.Close()
	requireExitInTime(p, at)
}

// TestUnreadAnswersAtShutdown stops listening while a client leaves many answers unread. The client must be able to
// read all that was sent, complete, and then a close.
func TestUnreadAnswersAtShutdown(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	c := dial(t, p)
	const many = 6000
	go func() { _, _ = io.WriteString(c, strings.Repeat("GET /quote HTTP/1.1\r\n\r\n", many)) }()
	r := bufio.NewReader(c)
	_, err := r.Peek(1)
	require.NoError(t, err)
	at := terminate(p)
	waitUntilNotListening(p)
	n, last := 0, false
	for ; !last; n++ {
		if _, err := r.Peek(1); errors.Is(err, io.EOF) {
			break
		}
		a, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(a.Body)
		require.NoError(t, err)
		last = a.Close
	}
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.Greater(t, n, 1000)
	_ = c.Close()
	requireExitInTime(p, at)
}

// TestRequestCrossesCloseAtShutdown has a client send a request on an idle connection just after the program closed
// its side. The request must not be read or started, and the client must see a close and no reset.
func TestRequestCrossesCloseAtShutdown(t *testing.T) {
	backends, p := startWithBackends(t, nil, options{})
	c := dial(t, p)
	_, err := io.WriteString(c, requestText("before", validBody))
	require.NoError(t, err)
	requireAnswer(t, c, 200, false)
	at := terminate(p)
	b := make([]byte, 1)
	_, err = c.Read(b)
	require.ErrorIs(t, err, io.EOF)
	for range 2 { // after a reset the second write would fail
		_, err = io.WriteString(c, requestText("late", validBody))
		require.NoError(t, err)
	}
	require.NoError(t, c.CloseWrite())
	p.waitForLog(fmt.Sprintf(`"code":"S01","peer":"%s"`, c.LocalAddr()))
	_, err = c.Read(b)
	assert.ErrorIs(t, err, io.EOF)
	requireExitInTime(p, at)
	assert.Zero(t, attemptCount(backends, "late"))
}

// TestSilentBackendsAtShutdown sends requests with a deadline of 1 s, 0.7 s after SIGTERM, while backends are silent.
// They must get their final answers before the platform kills the process.
func TestSilentBackendsAtShutdown(t *testing.T) {
	_, p := startWithBackends(t, onAll(neverAnswer), options{})
	quote, bind := dial(t, p), dial(t, p)
	at := terminate(p)
	require.Eventually(t, func() bool { return time.Since(at) > 700*time.Millisecond }, waitTimeout, time.Millisecond)
	for c, class := range map[net.Conn]string{quote: "quote", bind: "bind"} {
		_, err := io.WriteString(c, strings.Replace(strings.ReplaceAll(requestText(class, validBody), "quote", class),
			"0.9", "9", 1))
		require.NoError(t, err)
	}
	requireAnswer(t, quote, 503, true)
	requireAnswer(t, bind, 504, true)
	_, _ = quote.Close(), bind.Close()
	requireExitInTime(p, at)
}

// TestClientsKeepSendingAtShutdown has clients send one request after another on each connection for as long as it is
// open. Each request must be answered in full, or not be read because the connection ended before it.
func TestClientsKeepSendingAtShutdown(t *testing.T) {
	backends, p := startWithBackends(t, nil, options{})
	type result struct {
		answered int
		err      error
	}
	results := make(chan result)
	for k := range 8 {
		c := dial(t, p)
		go func() {
			e := result{}
			for r := bufio.NewReader(c); e.err == nil; {
				if _, e.err = io.WriteString(c, requestText(fmt.Sprintf("on%d-%d", k, e.answered), validBody)); e.err != nil {
					break
				}
				a, err := http.ReadResponse(r, nil)
				if e.err = err; err == nil {
					_, e.err = io.ReadAll(a.Body)
					e.answered++
				}
				if a != nil && a.Close {
					break
				}
			}
			_ = c.Close()
			results <- e
		}()
	}
	waitForAttempts(t, backends, "on7-3", 1)
	at := terminate(p)
	for range 8 {
		e := <-results
		if e.err != nil {
			assert.True(t, errors.Is(e.err, io.EOF) || errors.Is(e.err, io.ErrUnexpectedEOF), "%v", e.err)
		}
		assert.Greater(t, e.answered, 3)
	}
	requireExitInTime(p, at)
}
