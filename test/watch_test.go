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

// rawList is a list service whose answers the test writes byte by byte: one function for each call, the last for all that
// follow. Each is given the connection and the call's target.
type rawList struct {
	addr  string
	mu    sync.Mutex
	calls []listCall
}

type listCall struct {
	target string
	at     time.Time
}

func newRawList(t *testing.T, answers ...func(c *net.TCPConn)) *rawList {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	d := &rawList{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					d.mu.Lock()
					n := min(len(d.calls), len(answers)-1)
					d.calls = append(d.calls, listCall{q.URL.RequestURI(), time.Now()})
					d.mu.Unlock()
					answers[n](c.(*net.TCPConn))
				}
			}()
		}
	}()
	return d
}

func (d *rawList) called() []listCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]listCall(nil), d.calls...)
}

// wait waits for so many calls, and gives the last one's target.
func (d *rawList) wait(t *testing.T, n int) string {
	require.Eventually(t, func() bool { return len(d.called()) >= n }, patience, time.Millisecond, "call %d", n)
	return d.called()[n-1].target
}

// hold answers nothing and keeps the connection.
func hold(*net.TCPConn) {}

// text is a list in discovery's form, indented.
func text(revision int, complete bool, members []member) string {
	b, _ := json.MarshalIndent(list{revision, complete, members}, "", "    ")
	return string(b)
}

// write sends an answer with these fields of its head, and then does more.
func write(head, body string, more ...func(c *net.TCPConn)) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
		for _, f := range more {
			f(c)
		}
	}
}

func finish(c *net.TCPConn) { _ = c.Close() }
func reset(c *net.TCPConn)  { _, _ = c.SetLinger(0), c.Close() }

func lengthOf(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// listed starts a program with these nodes, which asks the stand-in for the list, as one of so many brokers.
func listed(t *testing.T, d *rawList, known list, brokers int) *program {
	s := settings()
	s["balancers"] = brokers
	addr := freeAddress(t)
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": d.addr, "seed": "1",
		"known": known, "settings": s})
	require.NoError(t, err)
	p := launch(t, text)
	p.addr = addr
	return p
}

func ready(t *testing.T, p *program) {
	require.Eventually(t, func() bool { return p.health() == 200 }, patience, time.Millisecond)
}

// drained1 are the members with s-1 draining.
func drained1(ns *nodes) []member {
	ms := append([]member(nil), ns.members...)
	ms[1].Phase = "DRAINING"
	return ms
}

// TestListForms: what an answer of the list service means by how it ends, and by how it comes.
func TestListForms(t *testing.T) {
	ns := startNodes(t, wires[0], nil)
	body := text(43, true, drained1(ns))
	pieces := func(c *net.TCPConn) {
		for _, b := range []byte("HTTP/1.1 200 OK\r\n" + lengthOf(body) + "\r\n" + body) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
		}
	}
	for name, c := range map[string]struct {
		answer func(c *net.TCPConn)
		taken  bool
	}{
		"in pieces, indented":                 {pieces, true},
		"without a length, then a close":      {write("", body, finish), true},
		"without a length, then a reset":      {write("", body, reset), false},
		"half, without a length, and a close": {write("", body[:300], finish), false},
		"half of its length, then a close":    {write(lengthOf(body), body[:300], finish), false},
		"half of its length, then a reset":    {write(lengthOf(body), body[:300], reset), false},
		"half of its head, then a reset":      {func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 2"); reset(c) }, false},
		"a close before its head":             {finish, false},
		"chunks without the last one":         {write("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(body), body), finish), false},
		"HTTP/1.0":                            {func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n"+body); finish(c) }, true},
		"a failure without a length": {func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n\r\n"+body)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newRawList(t, c.answer, hold)
			p := listed(t, d, list{41, true, ns.members}, 1)
			if !assert.Equal(t, map[bool]string{true: "43", false: "41"}[c.taken],
				strings.Split(strings.TrimPrefix(d.wait(t, 2), "/catalog/members?index="), "&")[0]) {
				t.Log(p.logged())
			}
			assert.Less(t, d.called()[1].at.Sub(d.called()[0].at), 1500*time.Millisecond, "and asked again soon")
		})
	}
}

// TestOlderListUndoesNothing: the only node drains, and then the service answers from an older list, whole. The node gets
// nothing more all the same, until it has started anew.
func TestOlderListUndoesNothing(t *testing.T) {
	ns := startNodes(t, wires[0], nil)
	newer, older := text(43, true, drained1(ns)[1:2]), text(40, true, ns.members[1:2])
	again := ns.members[1]
	again.UpSinceMS = time.Now().Add(-time.Hour).UnixMilli()
	restarted := text(40, true, []member{again})
	let := make(chan struct{})
	d := newRawList(t, write(lengthOf(newer), newer), write(lengthOf(older), older), func(c *net.TCPConn) {
		<-let
		write(lengthOf(restarted), restarted)(c)
	}, hold)
	p := listed(t, d, list{41, true, ns.members[1:2]}, 1)
	ready(t, p)
	d.wait(t, 3)
	told := time.Now()
	require.Eventually(t, func() bool { return time.Since(told) > time.Second }, patience, time.Millisecond)
	for i := range 20 {
		asked(t, p, fmt.Sprint("drains", i), "quote", "refused")
	}
	assert.Zero(t, sentTo(ns, "s-1", told.Add(time.Second)))
	close(let)
	d.wait(t, 4)
	asked(t, p, "anew", "quote", "served")
}

// TestCallsAfterFailures: whatever a call for the list comes to, the next one follows so soon that a change is known 6 s
// after the service had it and could be reached, in a fleet of thirty too; a restarted broker with nothing known is ready
// within 10 s.
func TestCallsAfterFailures(t *testing.T) {
	ns := startNodes(t, wires[0], nil)
	body := text(43, true, ns.members)
	refuse := func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }
	for name, fails := range map[string]func(*net.TCPConn){"refused": refuse, "reset": reset, "ended": finish,
		"hangs": hold, "spoilt": write(lengthOf("{}x"), "{}x")} {
		for _, brokers := range []int{1, 30} {
			t.Run(fmt.Sprint(name, " to one of ", brokers), func(t *testing.T) {
				t.Parallel()
				d := newRawList(t, fails, fails, fails, write(lengthOf(body), body), hold)
				if name == "hangs" {
					d = newRawList(t, fails, write(lengthOf(body), body), hold)
				}
				at := time.Now()
				p := listed(t, d, list{}, brokers)
				ready(t, p)
				assert.Less(t, time.Since(at), 10*time.Second)
				calls := d.called()
				for i := 1; i < len(calls)-1; i++ {
					assert.Less(t, calls[i].at.Sub(calls[i-1].at), 5500*time.Millisecond)
					if name != "hangs" {
						assert.Less(t, calls[i].at.Sub(calls[i-1].at), 1700*time.Millisecond)
					}
				}
			})
		}
	}
}

// TestDescriptorsKeptBack: idle clients take all descriptors that the process has while the list service is down. Once it
// is back it is reached, and so are the nodes; new clients are served, and the loop does not spin.
func TestDescriptorsKeptBack(t *testing.T) {
	ns := startNodes(t, wires[0], nil)
	free := freeAddress(t)
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": freeAddress(t), "discovery": free, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": list{41, true, ns.members},
		"settings": settings()})
	require.NoError(t, err)
	p := launchBy(t, config, func(c *exec.Cmd) {
		c.Path, c.Args = "/bin/sh", []string{"sh", "-c", "ulimit -n 64 && exec " + built}
	})
	var f struct{ Listen string }
	require.NoError(t, json.Unmarshal(config, &f))
	p.addr = f.Listen
	ready(t, p)
	fill := func() {
		// One by one: the last takes the last descriptor that clients may have, and no more come. Those of over 64 are
		// what the test's own parents have left open.
		for n, stays := 0, 0; n < 80 && stays < 20; {
			if sockets(t, p.Process.Pid, 64) == 64 { // the call for the list has one now and then
				stays++
				continue
			}
			c := dial(t, p)
			_, _ = io.WriteString(c, "GET /_health HTTP/1.1\r\n\r\n")
			answeredWhole(t, c, 200, false)
			n, stays = n+1, 0
		}
	}
	fill()
	ln, err := net.Listen("tcp", free)
	require.NoError(t, err)
	defer ln.Close()
	reached := make(chan struct{})
	go func() {
		if _, err := ln.Accept(); err == nil {
			close(reached)
		}
	}()
	select {
	case <-reached:
	case <-time.After(3 * time.Second): // idle clients are closed after 5 s: it does not wait for that
		require.Fail(t, "the list service is not reached", p.logged())
	}
	fill()
	asked(t, p, "new", "quote", "served")
	before := cpu(t, p.Process.Pid)
	at := time.Now()
	require.Eventually(t, func() bool { return time.Since(at) > 300*time.Millisecond }, patience, 20*time.Millisecond)
	assert.Less(t, cpu(t, p.Process.Pid)-before, 100*time.Millisecond, "the loop spins")
	assert.LessOrEqual(t, sockets(t, p.Process.Pid, 64), 64)
}
