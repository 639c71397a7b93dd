package test

import (
	"bufio"
	"bytes"
	"context"
	"debug/elf"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validBody = `{"shards":[{"shard":1,"weight":1,"cost":9000}],"q":"c41e77d0"}`

// requestHead returns the head of a request, with more header fields.
func requestHead(id, more string) string {
	return "POST /quote HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + id + "\r\nX-Class: quote\r\n" +
		"X-Tenant: gangasagar-life\r\nX-Deadline: 0.9\r\n" + more + "\r\n"
}

// requestText returns a request with a Content-Length.
func requestText(id, body string) string {
	return requestHead(id, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

// startWithBackends starts four backends over frames and a program that uses them.
func startWithBackends(t *testing.T, behave func(receivedAttempt, int) behavior, o options) (*backendSet, *program) {
	backends := startBackends(t, protocols[0], behave)
	o.endpoints = backends.endpoints
	return backends, start(t, o)
}

// dial connects a client.
func dial(t *testing.T, p *program) *net.TCPConn {
	c, err := net.Dial("tcp", p.httpAddr)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// TestRequests sends raw bytes and checks the statuses of the answers before the close.
func TestRequests(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	long := strings.Repeat("x", 64<<10+1)
	chunked := requestHead("c", "Transfer-Encoding: chunked\r\n")
	for _, c := range []struct {
		name, bytes string
		status      []int
	}{
		{"one", requestText("a", validBody), []int{200}},
		{"pipelined", requestText("a", validBody) + requestText("b", validBody) +
			"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n", []int{200, 200, 200}},
		{"chunked", chunked + fmt.Sprintf("%x;x=y\r\n%s\r\n%x\r\n%s\r\n0\r\nT: 1\r\n\r\n", 10, validBody[:10],
			len(validBody)-10, validBody[10:]), []int{200}},
		{"connection close", requestHead("d", "Connection: close\r\nContent-Length: "+fmt.Sprint(len(validBody))+"\r\n") +
			validBody + requestText("e", validBody), []int{200}},
		{"no request line", "\x00\x01\x02\r\n\r\n", []int{400}},
		{"bad version", "POST /quote HTTP/3\r\n\r\n", []int{400}},
		{"bad field", "GET /_health HTTP/1.1\r\nno colon\r\n\r\n", []int{400}},
		{"bad length", requestHead("f", "Content-Length: -1\r\n"), []int{400}},
		{"length and chunks", requestHead("f", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n",
			[]int{400}},
		{"bad chunk", chunked + "zz\r\n", []int{400}},
		{"chunk size that overflows", chunked + "ffffffffffffffff\r\n", []int{400}},
		{"body over the bound", requestHead("g", fmt.Sprintf("Content-Length: %d\r\n", len(long))), []int{413}},
		{"chunks over the bound", chunked + fmt.Sprintf("%x\r\n%s\r\n", len(long), long), []int{413}},
		{"header over the bound", "GET / HTTP/1.1\r\nA: " + long[:20<<10], []int{431}},
		{"class twice", strings.Replace(requestText("h", validBody), "X-Class: quote", "X-Class: bind", 1), []int{400}},
		{"no deadline", strings.Replace(requestText("h", validBody), "X-Deadline: 0.9", "X-Deadline: NaN", 1), []int{400}},
		{"id that would break frames", requestText("a b", validBody), []int{400}},
		{"wrong method", "GET /quote HTTP/1.1\r\n\r\n", []int{405}},
		{"nothing is served after a malformed request", "x\r\n\r\n" + requestText("i", validBody), []int{400}},
		{"contracts", "GET /_contracts HTTP/1.1\r\n\r\n", []int{200}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.status, answerStatuses(t, p, c.bytes), p.logged())
		})
	}
	assert.Equal(t, 200, p.healthStatus())
	p.stop()
	assert.Equal(t, 14, strings.Count(p.logged(), `"code":"C04"`), "one line for each rejected connection")
}

// TestRequestByteByByte sends a request one byte at a time.
func TestRequestByteByByte(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	c := dial(t, p)
	for _, b := range []byte(requestText("slow", validBody)) {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, a.StatusCode)
}

// TestMoreClientsThanDescriptors connects more clients than the program may have descriptors. It must stay up, serve
// on and not spin.
func TestMoreClientsThanDescriptors(t *testing.T) {
	_, p := startWithBackends(t, nil, options{maxDescriptors: 64})
	var idle []net.Conn
	for range 200 {
		idle = append(idle, dial(t, p))
	}
	used := func() time.Duration { return cpuTime(t, p.Process.Pid) }
	// The program may close a connection whose request is on its way; its client then asks again on a new one.
	outcome := ""
	for i := 0; i < 5 && (i == 0 || outcome == "disconnected"); i++ {
		outcome = sendHTTP(context.Background(), p, request{id: fmt.Sprint("full", i), class: "quote",
			tenant: "gangasagar-life", shards: []int{1}, timeout: time.Second}).outcome
	}
	assert.Equal(t, "served", outcome, "idle connections must be closed to make room")
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	require.NoError(t, err)
	assert.LessOrEqual(t, len(files), 64)
	// Clients in the middle of a request are not closed to make room; the program pauses accepting instead.
	for _, c := range idle {
		_ = c.Close()
	}
	for range 100 {
		_, _ = io.WriteString(dial(t, p), "POST /quote HTTP/1.1\r\n")
	}
	before, at := used(), time.Now()
	require.Eventually(t, func() bool { return time.Since(at) > 300*time.Millisecond }, waitTimeout, 20*time.Millisecond)
	assert.Less(t, used()-before, 100*time.Millisecond, "the event loop spins")
}

// TestMemoryWithLargeBodies has 700 clients send all but the last byte of the largest body. The program must stay
// within its memory.
func TestMemoryWithLargeBodies(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	body := strings.Repeat("x", 64<<10)
	for i := range 700 {
		_, err := io.WriteString(dial(t, p), requestText(fmt.Sprint("m", i), body)[:64<<10])
		require.NoError(t, err)
	}
	require.Equal(t, 200, p.healthStatus())
	assert.Less(t, peakMemoryMB(t, p), 192)
}

// peakMemoryMB returns the peak resident memory of the program in MB.
func peakMemoryMB(t *testing.T, p *program) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	require.NoError(t, err)
	var kb int
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	_, err = fmt.Sscan(rest, &kb)
	require.NoError(t, err)
	t.Logf("peak memory %d MB", kb>>10)
	return kb >> 10
}

// TestFlightOff requires that a program without Flight does not listen for it and has no goroutines besides those of
// the loop, the log, two for signals and the reader of the configuration file.
func TestFlightOff(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	_, err := net.Dial("tcp", p.flightAddr)
	assert.Error(t, err)
	p.stop()
	assert.Equal(t, 1, strings.Count(p.logged(), `"goroutines":5`), p.logged())
	assert.Contains(t, p.logged(), `"goroutines":4`, "the goroutine that waits for the signal has ended")
}

// cpuTime returns the CPU time of a process. It counts ticks of 10 ms.
func cpuTime(t *testing.T, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	var user, system int
	f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	_, err = fmt.Sscan(f[11]+" "+f[12], &user, &system)
	require.NoError(t, err)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// TestDiscoveryWatch requires that a watch is renewed within 200 ms, that failed calls are repeated with increasing
// delay, and that changes take effect.
func TestDiscoveryWatch(t *testing.T) {
	backends, p := startWithBackends(t, nil, options{})
	d := p.discovery
	calls := func() int { d.mu.Lock(); defer d.mu.Unlock(); return len(d.callTimes) }
	require.Eventually(t, func() bool { return calls() == 1 }, waitTimeout, time.Millisecond,
		"no watch from the known list")
	for i := range 3 {
		d.change(func() { d.list.Complete = i%2 == 0 })
		require.Eventually(t, func() bool { return calls() == i+2 }, waitTimeout, time.Millisecond)
	}
	d.mu.Lock()
	for i, end := range d.answerTimes {
		assert.Less(t, d.callTimes[i+1].Sub(end), 200*time.Millisecond)
	}
	d.mu.Unlock()
	d.change(func() { d.unavailable = true })
	before := calls()
	require.Eventually(t, func() bool { return calls() >= before+2 }, waitTimeout, time.Millisecond,
		"failed calls are repeated")
	d.change(func() { d.unavailable, d.list.Endpoints = false, d.list.Endpoints[:2]; d.list.Complete = true })
	at := time.Now()
	require.Eventually(t, func() bool { return d.answeredSince(at) }, waitTimeout, time.Millisecond)
	d.mu.Lock()
	assert.Less(t, len(d.callTimes), before+12, "too many calls of a service that is down")
	d.mu.Unlock()
	// Backends that are gone from a complete list are not used; s-1 still holds shard 1.
	informedAt := time.Now()
	for time.Since(informedAt) < 700*time.Millisecond {
		sendHTTP(context.Background(), p, request{id: fmt.Sprint(time.Now().UnixNano()), class: "quote",
			tenant: "gangasagar-life", shards: []int{1}, timeout: time.Second})
	}
	for _, s := range backends.attempts() {
		assert.False(t, s.backend > "s-1" && s.receivedAt.After(informedAt.Add(600*time.Millisecond)), "%+v", s)
	}
	p.stop()
}

// TestStartWithoutEndpointList starts the program without a list. It must be unhealthy until the list arrives.
func TestStartWithoutEndpointList(t *testing.T) {
	backends := startBackends(t, protocols[0], nil)
	d := newDiscovery(t, backends.endpoints)
	d.unavailable = true
	addr := freeAddress(t)
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": d.addr, "seed": "1",
		"known": endpointList{}, "settings": settings()})
	require.NoError(t, err)
	p := launch(t, text)
	p.httpAddr = addr
	require.Eventually(t, func() bool { return p.healthStatus() == 503 }, waitTimeout, time.Millisecond)
	d.change(func() { d.unavailable = false })
	require.Eventually(t, func() bool { return p.healthStatus() == 200 }, waitTimeout, time.Millisecond)
}

// TestWatchBeginsAtKnownRevision starts the program with a list in its configuration. It must not ask for the
// complete list again, whatever the revision: complete lists are long, and a large fleet starts at one moment.
func TestWatchBeginsAtKnownRevision(t *testing.T) {
	backends := startBackends(t, protocols[0], nil)
	d := newDiscovery(t, backends.endpoints)
	d.list.Revision = 0
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": freeAddress(t), "discovery": d.addr,
		"seed": "1", "known": d.list, "settings": settings()})
	require.NoError(t, err)
	launch(t, text)
	calls := func() int { d.mu.Lock(); defer d.mu.Unlock(); return len(d.targets) }
	require.Eventually(t, func() bool { return calls() > 0 }, waitTimeout, time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, "/catalog/members?index=0&wait=3000", d.targets[0])
}

// TestSilentWatchAmongHundredsOfBrokers has the watch of one of 300 brokers become unresponsive. The broker must
// renew it after its timeout and learn of a drain. The discovery module's own delay for that many callers would be 9
// to 18 s.
func TestSilentWatchAmongHundredsOfBrokers(t *testing.T) {
	t.Parallel()
	s := settings()
	s["balancers"], s["me"] = 300, 120
	backends := startBackends(t, protocols[0], nil)
	d := newDiscovery(t, backends.endpoints)
	d.unresponsive = true
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": freeAddress(t), "discovery": d.addr,
		"seed": "1", "known": d.list, "settings": s})
	require.NoError(t, err)
	launch(t, text)
	calls := func() []time.Time { d.mu.Lock(); defer d.mu.Unlock(); return slices.Clone(d.callTimes) }
	require.Eventually(t, func() bool { return len(calls()) > 0 }, waitTimeout, time.Millisecond)
	d.mu.Lock()
	d.unresponsive = false
	d.mu.Unlock()
	require.Eventually(t, func() bool { return len(calls()) > 1 }, waitTimeout, time.Millisecond)
	at := calls()
	assert.Less(t, at[1].Sub(at[0]), 6*time.Second)
	d.change(func() { d.list.Endpoints[2].Phase = "DRAINING" })
	changed := time.Now()
	require.Eventually(t, func() bool { return d.answeredSince(changed) }, waitTimeout, time.Millisecond,
		"the watch was not renewed")
}

// TestProgramIsLinkedDynamically guards the library that the platform preloads: a static program would silently
// ignore it.
func TestProgramIsLinkedDynamically(t *testing.T) {
	f, err := elf.Open(programPath)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	interp := f.Section(".interp")
	require.NotNil(t, interp, "the program has no ELF interpreter")
	libs, err := f.ImportedLibraries()
	require.NoError(t, err)
	assert.Contains(t, libs, "libc.so.6")
}

// TestBackendFrames requires that calls share a connection up to the streams of the settings and that d is the
// remaining time.
func TestBackendFrames(t *testing.T) {
	s := settings()
	s["limits"].(map[string]any)["multiplex"] = 2
	backends, p := startWithBackends(t, nil, options{settings: s})
	for i := range 20 {
		a := sendHTTP(context.Background(), p, request{id: fmt.Sprintf("f%d", i), class: "quote",
			tenant: "gangasagar-life", shards: []int{i % 8}, timeout: 900 * time.Millisecond})
		require.Equal(t, "served", a.outcome)
	}
	for _, x := range backends.attempts() {
		var id string
		var shard, d, n int
		_, err := fmt.Sscanf(string(x.frame), "Q%s %d d=%d %d\nc41e77d0", &id, &shard, &d, &n)
		require.NoError(t, err, "%q", x.frame)
		assert.Equal(t, x.id, id)
		assert.Equal(t, 8, n)
		assert.True(t, d > 500 && d <= 900, "d=%d", d)
	}
	p.stop()
	assert.LessOrEqual(t, strings.Count(p.logged(), `"code":"S01"`), 5, "connections are not reused")
}

// TestInvalidConfig requires that the program exits on an invalid configuration and names the fault.
func TestInvalidConfig(t *testing.T) {
	base := func() map[string]any {
		return map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings()}
	}
	for _, c := range []struct {
		named  string
		change func(map[string]any)
	}{
		{"listen", func(m map[string]any) { m["listen"] = "nowhere" }},
		{"discovery", func(m map[string]any) { delete(m, "discovery") }},
		{"seed", func(m map[string]any) { m["seed"] = "zz" }},
		{"limits", func(m map[string]any) { m["limits"] = map[string]any{"sockets": 3} }},
		{"known", func(m map[string]any) { m["known"] = endpointList{1, true, []endpoint{{ID: "s", Phase: "ASLEEP"}}} }},
		{"settings", func(m map[string]any) { delete(m, "settings") }},
		{"effect", func(m map[string]any) {
			m["settings"].(map[string]any)["categories"].([]any)[0].(map[string]any)["effect"] = "magic"
		}},
		{"Shards", func(m map[string]any) { m["settings"].(map[string]any)["domain"].(map[string]any)["slices"] = 0 }},
	} {
		m := base()
		c.change(m)
		text, err := json.Marshal(m)
		require.NoError(t, err)
		p := launch(t, text)
		select {
		case err := <-p.exited:
			assert.Error(t, err)
		case <-time.After(waitTimeout):
			assert.Fail(t, "the program did not exit", c.named)
		}
		assert.Contains(t, p.logged(), c.named)
	}
}
