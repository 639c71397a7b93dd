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

// call makes one operator's call and gives its status, 0 if there was no answer.
func call(p *program, method, path string) int {
	r, _ := http.NewRequest(method, "http://"+p.mgmt+path, nil)
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode
}

// raw sends bytes to the door and reads what comes back until the door closes, with the time it took.
func raw(t *testing.T, p *program, text string) (string, time.Duration) {
	c, err := net.Dial("tcp", p.mgmt)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	at := time.Now()
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	out, _ := io.ReadAll(c)
	return string(out), time.Since(at)
}

// TestDoor: each call is answered yes or no as it should, and within a second whatever other callers do.
func TestDoor(t *testing.T) {
	_, p := site(t, nil, options{mgmt: true})
	// Callers that say nothing or half a call and stay.
	var hold []net.Conn
	for i := range 80 {
		c, err := net.Dial("tcp", p.mgmt)
		require.NoError(t, err)
		if i%2 == 1 {
			_, _ = io.WriteString(c, "PUT /v1/leafs/s-1/sus")
		}
		hold = append(hold, c)
	}
	defer func() {
		for _, c := range hold {
			_ = c.Close()
		}
	}()
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/v1/readyz", 200},
		{"PUT", "/v1/leafs/s-1/suspend", 200},
		{"PUT", "/v1/leafs/s-1/suspend", 200}, // again: the same, and nothing changes twice
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
		assert.Equal(t, c.status, call(p, c.method, c.path), "%s %s", c.method, c.path)
		assert.Less(t, time.Since(at), 300*time.Millisecond, "%s %s beside 80 callers that stay", c.method,
			c.path)
	}
	// What cannot be a call is answered no, and closed.
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
		{"GET /v1/readyz HTTP/1.1\r\nHost: a\r\n", "408"}, // half a call: answered no in time
	} {
		out, took := raw(t, p, c.text)
		assert.Contains(t, out, "HTTP/1.1 "+c.status+" ", c.text[:min(30, len(c.text))])
		assert.Less(t, took, time.Second)
	}
	// Those that stayed had a no within the second, and the door is not held up by them.
	for _, c := range hold[:4] {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
		out, _ := io.ReadAll(c)
		assert.Contains(t, string(out), "HTTP/1.1 ")
	}
	assert.Equal(t, 200, call(p, "GET", "/v1/readyz"))
	p.waitLog(`"code":"O03"`)
}

// TestDoorCatchesLateness: the checker of the second holds against a door that is made to answer late.
func TestDoorCatchesLateness(t *testing.T) {
	_, p := site(t, nil, options{mgmt: true})
	require.NoError(t, p.Process.Signal(syscall.SIGSTOP)) // a door that is held up
	defer func() { _ = p.Process.Signal(syscall.SIGCONT) }()
	at := time.Now()
	go func() {
		time.Sleep(1200 * time.Millisecond)
		_ = p.Process.Signal(syscall.SIGCONT)
	}()
	assert.Equal(t, 200, call(p, "GET", "/v1/readyz"))
	assert.GreaterOrEqual(t, time.Since(at), time.Second, "the check of the second would not see it")
}

// sentTo counts the parts that a node got after a moment.
func sentTo(ns *nodes, node string, after time.Time) int {
	n := 0
	for _, s := range ns.all() {
		if s.node == node && s.at.After(after) {
			n++
		}
	}
	return n
}

// TestHeld: a held leaf gets nothing new once the door said yes, across a restart of the program with the
// same $TMPDIR, and is used again after one resume.
func TestHeld(t *testing.T) {
	tmp := t.TempDir()
	ns, p := site(t, nil, options{mgmt: true, tmp: tmp})
	asked := 0
	ask := func(p *program, n int) {
		for i := range n {
			asked++
			assert.Equal(t, "served", askHTTP(context.Background(), p, query{id: fmt.Sprintf("h%d", asked),
				class: "quote", tenant: "gangasagar-life", shards: []int{i % 8}, wait: time.Second}).end)
		}
	}
	ask(p, 16)
	require.Positive(t, sentTo(ns, "s-2", time.Time{}), "the leaf was never used")
	require.Equal(t, 200, call(p, "PUT", "/v1/leafs/s-2/suspend"))
	yes := time.Now()
	ask(p, 32)
	assert.Zero(t, sentTo(ns, "s-2", yes), "sent to a held leaf after the yes")

	// The next process reads the ban at its start, before it serves.
	p.stop()
	q := start(t, options{mgmt: true, tmp: tmp, members: ns.members})
	again := time.Now()
	ask(q, 32)
	assert.Zero(t, sentTo(ns, "s-2", again), "the ban did not hold across the restart")
	q.waitLog("suspensions read")

	require.Equal(t, 200, call(q, "PUT", "/v1/leafs/s-2/resume"))
	back := time.Now()
	require.Eventually(t, func() bool {
		ask(q, 8)
		return sentTo(ns, "s-2", back) > 0
	}, patience, time.Millisecond, "a leaf that is resumed is used again")
}

// TestHeldFileTorn: a torn file of held leafs is a clear line in the log, and the program starts.
func TestHeldFileTorn(t *testing.T) {
	tmp := t.TempDir()
	require.NoError(t, os.WriteFile(tmp+"/ternstage-held-leafs.json", []byte(`{"form":"ternstage held`), 0o600))
	_, p := site(t, nil, options{mgmt: true, tmp: tmp})
	p.waitLog("suspensions not read")
	assert.Contains(t, p.logged(), "torn or not JSON")
	assert.Equal(t, 200, call(p, "GET", "/v1/readyz"))
}

// TestSentAway: after a drain health says no at once, a kept connection is served, every connection is gone
// by 4 s, the program does not end, and health says yes after activate.
func TestSentAway(t *testing.T) {
	_, p := site(t, nil, options{mgmt: true})
	busy, idle := dial(t, p), dial(t, p)
	r := bufio.NewReader(busy)
	ask := func(id string) (status int, closing bool) {
		_, err := io.WriteString(busy, sized(id, good))
		require.NoError(t, err)
		a, err := http.ReadResponse(r, nil)
		require.NoError(t, err, id)
		_, _ = io.Copy(io.Discard, a.Body)
		return a.StatusCode, a.Close
	}
	_, _ = ask("before")
	require.Equal(t, 200, call(p, "PUT", "/v1/aggregator/drain"))
	at := time.Now()
	assert.Equal(t, 503, p.health())
	status, closing := ask("kept")
	assert.Equal(t, 200, status)
	if !closing {
		time.Sleep(700 * time.Millisecond) // past the time in which new connections still come
		status, closing = ask("later")
		assert.Equal(t, 200, status)
		assert.True(t, closing, "the last answer of a kept connection says so")
	}
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(4*time.Second)))
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	assert.Less(t, time.Since(at), 4*time.Second)
	select {
	case err := <-p.done:
		require.Fail(t, "the program ended", "%v", err)
	default:
	}
	require.Equal(t, 200, call(p, "PUT", "/v1/aggregator/activate"))
	assert.Equal(t, 200, p.health())
}

// TestUpgrade: a second process on the same listener, given as descriptor 5, takes over under load; the old
// one ends on SIGTERM, and no request goes unheard.
func TestUpgrade(t *testing.T) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	file := keptListener(t, ln)
	tmp := t.TempDir()
	ns := startNodes(t, wires[0], nil)
	o := options{mgmt: true, tmp: tmp, inherit: file, listen: ln.Addr().String(), members: ns.members}
	old := start(t, o)

	var served, unheard, other atomic.Int64
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
				q := query{id: fmt.Sprintf("u%d-%d", c, i), class: "quote", tenant: "gangasagar-life",
					shards: []int{i % 8}, wait: time.Second}
				r, _ := http.NewRequest("POST", "http://"+old.addr+"/quote", strings.NewReader(q.text()))
				r.Header.Set("X-Request-Id", q.id)
				r.Header.Set("X-Class", q.class)
				r.Header.Set("X-Tenant", q.tenant)
				r.Header.Set("X-Deadline", "1.000")
				a, err := tr.RoundTrip(r)
				switch {
				case err != nil:
					unheard.Add(1)
				case a.StatusCode == 200:
					served.Add(1)
				default:
					other.Add(1)
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
	require.Eventually(t, func() bool { return call(next, "GET", "/v1/readyz") == 200 }, 6*time.Second,
		5*time.Millisecond)
	before := served.Load()
	old.stop()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	assert.Zero(t, unheard.Load(), "requests turned back unheard")
	assert.Zero(t, other.Load(), "requests not served")
	assert.Greater(t, served.Load(), before, "the new process serves")
	assert.Contains(t, next.logged(), `"serving"`)
}

// TestInheritedNotAListener: a descriptor 5 that is no listening socket is a clear error at the start.
func TestInheritedNotAListener(t *testing.T) {
	f, err := os.CreateTemp(t.TempDir(), "not-a-socket")
	require.NoError(t, err)
	defer f.Close()
	ns := startNodes(t, wires[0], nil)
	d := newDiscovery(t, ns.members)
	text := fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"1","settings":%s}`,
		freeAddress(t), d.addr, must(json.Marshal(settings())))
	p := launchWith(t, text, f)
	select {
	case err := <-p.done:
		require.Error(t, err)
	case <-time.After(patience):
		require.Fail(t, "the program started")
	}
	assert.Contains(t, p.logged(), "descriptor 5: not a socket")
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// keptListener is a listener as the platform keeps it, to be given to processes. The file is made blocking
// here once: Go's exec would set a non-blocking one back to blocking at each start, under the programs that
// share it, which the platform does not do.
func keptListener(t *testing.T, ln net.Listener) *os.File {
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

// TestSharedListenerSetBack: Go's exec sets the shared listener back to blocking as it starts the second
// process; the first must not be held in accept by that.
func TestSharedListenerSetBack(t *testing.T) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	a := ln.Addr().String()
	file, err := ln.(*net.TCPListener).File() // not made blocking once, as keptListener does
	require.NoError(t, err)
	_ = ln.Close()
	ns := startNodes(t, wires[0], nil)
	first := start(t, options{inherit: file, listen: a, members: ns.members})
	start(t, options{inherit: file, listen: a, members: ns.members})
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 50 {
		a, err := c.Get("http://" + first.addr + "/_health")
		require.NoError(t, err, "a process is held in accept")
		_ = a.Body.Close()
	}
}
