package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/lab/loopback"
)

// scriptedDiscovery is discovery with raw answers: one function for each call, the last one for all that follow. Each
// gets the connection of the call.
type scriptedDiscovery struct {
	addr  string
	mu    sync.Mutex
	calls []discoveryCall
}

type discoveryCall struct {
	target string
	at     time.Time
}

func newScriptedDiscovery(t *testing.T, answers ...func(c *net.TCPConn)) *scriptedDiscovery {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	d := &scriptedDiscovery{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					d.mu.Lock()
					n := min(len(d.calls), len(answers)-1)
					d.calls = append(d.calls, discoveryCall{q.URL.RequestURI(), time.Now()})
					d.mu.Unlock()
					answers[n](c.(*net.TCPConn))
				}
			}()
		}
	}()
	return d
}

func (d *scriptedDiscovery) recordedCalls() []discoveryCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]discoveryCall(nil), d.calls...)
}

// waitForCalls waits for n calls and returns the target of the last one.
func (d *scriptedDiscovery) waitForCalls(t *testing.T, n int) string {
	require.Eventually(t, func() bool { return len(d.recordedCalls()) >= n }, waitTimeout, time.Millisecond, "call %d", n)
	return d.recordedCalls()[n-1].target
}

// keepOpen sends nothing and keeps the connection open.
func keepOpen(*net.TCPConn) {}

// listText returns a list in the format of discovery, indented.
func listText(revision int, complete bool, members []endpoint) string {
	b, _ := json.MarshalIndent(endpointList{revision, complete, members}, "", "    ")
	return string(b)
}

// respond returns an answer with header fields and a body, followed by further actions.
func respond(head, body string, more ...func(c *net.TCPConn)) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
		for _, f := range more {
			f(c)
		}
	}
}

func closeTCP(c *net.TCPConn) { _ = c.Close() }
func resetTCP(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }

func contentLength(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// startWithList starts a program with a known list, as one of a number of brokers, by default the first. It does not
// wait until it serves.
func startWithList(t *testing.T, d *scriptedDiscovery, known endpointList, brokers int, index ...int) *program {
	s := settings()
	s["balancers"] = brokers
	for _, i := range index {
		s["me"] = i
	}
	addr := freeAddress(t)
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": d.addr, "seed": "1",
		"known": known, "settings": s})
	require.NoError(t, err)
	p := launch(t, text)
	p.httpAddr = addr
	return p
}

// waitUntilServing waits until the program is healthy.
func waitUntilServing(t *testing.T, p *program) {
	require.Eventually(t, func() bool { return p.healthStatus() == 200 }, waitTimeout, time.Millisecond)
}

// secondDraining returns the endpoints with s-1 draining.
func secondDraining(backends *backendSet) []endpoint {
	ms := append([]endpoint(nil), backends.endpoints...)
	ms[1].Phase = "DRAINING"
	return ms
}

// TestEndpointListAnswers checks whether an endpoint list is applied, depending on how its answer is framed and ends.
// An answer that may be incomplete must not be applied.
func TestEndpointListAnswers(t *testing.T) {
	backends := startBackends(t, protocols[0], nil)
	body := listText(43, true, secondDraining(backends))
	pieces := func(c *net.TCPConn) {
		for _, b := range []byte("HTTP/1.1 200 OK\r\n" + contentLength(body) + "\r\n" + body) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
		}
	}
	for name, c := range map[string]struct {
		answer  func(c *net.TCPConn)
		applied bool
	}{
		"in pieces, indented":                 {pieces, true},
		"without a length, then a close":      {respond("", body, closeTCP), true},
		"without a length, then a reset":      {respond("", body, resetTCP), false},
		"half, without a length, and a close": {respond("", body[:300], closeTCP), false},
		"half of its length, then a close":    {respond(contentLength(body), body[:300], closeTCP), false},
		"half of its length, then a reset":    {respond(contentLength(body), body[:300], resetTCP), false},
		"half of its head, then a reset": {func(c *net.TCPConn) {
			_,
				_ = io.WriteString(c, "HTTP/1.1 2")
			resetTCP(c)
		}, false},
		"a close before its head": {closeTCP, false},
		"chunks without the last one": {respond("Transfer-Encoding: chunked\r\n",
			fmt.Sprintf("%x\r\n%s\r\n", len(body), body), closeTCP), false},
		"HTTP/1.0": {func(c *net.TCPConn) {
			_,
				_ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n"+body)
			closeTCP(c)
		}, true},
		"a failure without a length": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n\r\n"+body)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newScriptedDiscovery(t, c.answer, keepOpen)
			p := startWithList(t, d, endpointList{41, true, backends.endpoints}, 1)
			if !assert.Equal(t, map[bool]string{true: "43", false: "41"}[c.applied],
				strings.Split(strings.TrimPrefix(d.waitForCalls(t, 2), "/catalog/members?index="), "&")[0]) {
				t.Log(p.logged())
			}
			assert.Less(t, d.recordedCalls()[1].at.Sub(d.recordedCalls()[0].at), 1500*time.Millisecond,
				"the next call came late")
		})
	}
}

// TestOlderListDoesNotUndoDrain has the only backend drain, and discovery then answer with an older, complete list.
// The backend must get nothing more until it has restarted.
func TestOlderListDoesNotUndoDrain(t *testing.T) {
	backends := startBackends(t, protocols[0], nil)
	newer, older := listText(43, true, secondDraining(backends)[1:2]), listText(40, true, backends.endpoints[1:2])
	restartedBackend := backends.endpoints[1]
	restartedBackend.UpSinceMS = time.Now().Add(-time.Hour).UnixMilli()
	restarted := listText(40, true, []endpoint{restartedBackend})
	release := make(chan struct{})
	d := newScriptedDiscovery(t, respond(contentLength(newer), newer), respond(contentLength(older), older),
		func(c *net.TCPConn) {
			<-release
			respond(contentLength(restarted), restarted)(c)
		}, keepOpen)
	p := startWithList(t, d, endpointList{41, true, backends.endpoints[1:2]}, 1)
	waitUntilServing(t, p)
	d.waitForCalls(t, 3)
	informedAt := time.Now()
	require.Eventually(t, func() bool { return time.Since(informedAt) > time.Second }, waitTimeout, time.Millisecond)
	for i := range 20 {
		requireOutcome(t, p, fmt.Sprint("drains", i), "quote", "rejected")
	}
	assert.Zero(t, attemptsSince(backends, "s-1", informedAt.Add(time.Second)))
	close(release)
	d.waitForCalls(t, 4)
	requireOutcome(t, p, "restarted", "quote", "served")
}

// TestDiscoveryCallsAfterFailures fails calls for the list in several ways. The next call must follow so soon that a
// change is known 6 s after the service had it and was reachable, in a fleet of thirty too; a broker restarted
// without a list must be ready within 10 s.
func TestDiscoveryCallsAfterFailures(t *testing.T) {
	backends := startBackends(t, protocols[0], nil)
	body := listText(43, true, backends.endpoints)
	reject := func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }
	for name, failCall := range map[string]func(*net.TCPConn){"rejected": reject, "reset": resetTCP, "ended": closeTCP,
		"stalls": keepOpen, "malformed": respond(contentLength("{}x"), "{}x")} {
		for _, brokers := range []int{1, 30} {
			t.Run(fmt.Sprint(name, " to one of ", brokers), func(t *testing.T) {
				t.Parallel()
				d := newScriptedDiscovery(t, failCall, failCall, failCall, respond(contentLength(body), body), keepOpen)
				if name == "stalls" {
					d = newScriptedDiscovery(t, failCall, respond(contentLength(body), body), keepOpen)
				}
				at := time.Now()
				p := startWithList(t, d, endpointList{}, brokers)
				waitUntilServing(t, p)
				assert.Less(t, time.Since(at), 10*time.Second)
				calls := d.recordedCalls()
				for i := 1; i < len(calls)-1; i++ {
					assert.Less(t, calls[i].at.Sub(calls[i-1].at), 5500*time.Millisecond)
					if name != "stalls" {
						assert.Less(t, calls[i].at.Sub(calls[i-1].at), 1700*time.Millisecond)
					}
				}
			})
		}
	}
}

// TestDescriptorsReservedForDiscovery has idle clients take all descriptors that clients may have while discovery is
// down. Once discovery is back the program must reach it and the backends, serve new clients and not spin.
func TestDescriptorsReservedForDiscovery(t *testing.T) {
	backends := startBackends(t, protocols[0], nil)
	discoveryAddr := freeAddress(t)
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": freeAddress(t), "discovery": discoveryAddr,
		"seed": "1", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    endpointList{41, true, backends.endpoints},
		"settings": settings()})
	require.NoError(t, err)
	p := launchCommand(t, config, func(c *exec.Cmd) {
		c.Path, c.Args = "/bin/sh", []string{"sh", "-c", "ulimit -n 64 && exec " + programPath}
	})
	var parsed struct{ Listen string }
	require.NoError(t, json.Unmarshal(config, &parsed))
	p.httpAddr = parsed.Listen
	waitUntilServing(t, p)
	fill := func() {
		// One client at a time takes a descriptor until none is left. Descriptors of 64 and above were inherited from
		// the parents of the test.
		for n, checksWhileFull := 0, 0; n < 80 && checksWhileFull < 20; {
			if openDescriptors(t, p.Process.Pid, 64) == 64 { // the call for the list takes one from time to time
				checksWhileFull++
				continue
			}
			c := dial(t, p)
			_, _ = io.WriteString(c, "GET /_health HTTP/1.1\r\n\r\n")
			requireAnswer(t, c, 200, false)
			n, checksWhileFull = n+1, 0
		}
	}
	fill()
	ln, err := net.Listen("tcp", discoveryAddr)
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	reached := make(chan struct{})
	go func() {
		if _, err := ln.Accept(); err == nil {
			close(reached)
		}
	}()
	select {
	case <-reached:
	case <-time.After(3 * time.Second): // less than the 5 s after which idle clients are closed
		require.Fail(t, "discovery was not reached", p.logged())
	}
	fill()
	requireOutcome(t, p, "new", "quote", "served")
	before := cpuTime(t, p.Process.Pid)
	at := time.Now()
	require.Eventually(t, func() bool { return time.Since(at) > 300*time.Millisecond }, waitTimeout, 20*time.Millisecond)
	assert.Less(t, cpuTime(t, p.Process.Pid)-before, 100*time.Millisecond, "the event loop spins")
	assert.LessOrEqual(t, openDescriptors(t, p.Process.Pid, 64), 64)
}
