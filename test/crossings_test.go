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

// The pairs of events of docs/design/crossings.md, each forced into its bad order: a stand-in holds one side back, or
// the program is stopped (SIGSTOP) while both happen, so that it finds them in one wake-up.

// passes sees the loop go round a good many times, for whatever it might still do by mistake.
func passes(t *testing.T, p *program) {
	for i := range 25 {
		asked(t, p, fmt.Sprintf("pass%d-%d", time.Now().UnixNano(), i), "quote", "served")
	}
}

// open sends a query, of as much time as its class has, over a connection of its own and leaves it open.
func open(t *testing.T, p *program, id, class string, shards ...int) *net.TCPConn {
	q := query{shards: shards}
	text := strings.Replace(strings.ReplaceAll(sized(id, q.text()), "quote", class), "0.9", "9", 1)
	c := dial(t, p)
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// to does that with the parts of one query, and serves all others.
func to(id string, d deed) func(sent, int) deed {
	return func(s sent, _ int) deed {
		if strings.HasPrefix(s.id, id+".") {
			return d
		}
		return serve
	}
}

// begun are the attempts of a query that reached nodes.
func begun(ns *nodes, id string) (n int) {
	for _, s := range ns.all() {
		if strings.HasPrefix(s.id, id+".") {
			n++
		}
	}
	return n
}

func waitBegun(t *testing.T, ns *nodes, id string, n int) {
	require.Eventually(t, func() bool { return begun(ns, id) >= n }, patience, time.Millisecond, id)
}

// stopped stops the program, has all of that happen, and lets it go on.
func stopped(p *program, happens func()) {
	require.NoError(p.t, p.Process.Signal(syscall.SIGSTOP))
	require.Eventually(p.t, p.allThreadsStopped, patience, time.Millisecond)
	happens()
	require.NoError(p.t, p.Process.Signal(syscall.SIGCONT))
}

// allThreadsStopped reports whether every thread of the program has stopped. The first thread, whose state is that of
// the process, may stop while the thread of the event loop still runs, takes an event and stops before it reads the clock.
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

// TestGoneUnsafe: a client goes while a part of it that must not run twice is out. The part is turned away afterwards, so
// that it never ran: for a client that stays it would go to another node, for one that has gone it does not.
func TestGoneUnsafe(t *testing.T) {
	for _, stays := range []bool{true, false} {
		ns, p := site(t, to("bind-1", busyOnceLet), options{})
		c := open(t, p, "bind-1", "bind", 1)
		waitBegun(t, ns, "bind-1", 1)
		if !stays {
			_ = c.Close()
			p.waitLog(`"code":"C03"`)
		}
		close(ns.let)
		if stays {
			waitBegun(t, ns, "bind-1", 2)
			continue
		}
		passes(t, p)
		assert.Equal(t, 1, begun(ns, "bind-1"))
		p.waitLog(`"id":"bind-1","end":"failed","class":1,"client_disconnected":true`)
	}
}

// TestGoneAtOnce: a client closes right behind its request, in the same wake-up. Nothing of it begins.
func TestGoneAtOnce(t *testing.T) {
	ns, p := site(t, nil, options{})
	for _, class := range []string{"quote", "bind"} {
		c := dial(t, p)
		stopped(p, func() {
			_, err := io.WriteString(c, strings.ReplaceAll(sized("at-once", good), "quote", class))
			require.NoError(t, err)
			_ = c.Close()
		})
		p.waitLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, c.LocalAddr()))
		passes(t, p)
		assert.Zero(t, begun(ns, "at-once"), class)
	}
}

// TestGoneWhileStopped: parts wait for a cold node to open, 1.5 s after the start. Meanwhile the program does not run, one
// client closes and another resets, and the time comes. What the program finds first is that its wait was interrupted.
func TestGoneWhileStopped(t *testing.T) {
	s := settings()
	for _, c := range s["categories"].([]any) {
		c.(map[string]any)["aim_ms"], c.(map[string]any)["deadline_ms"] = 5000, 8000
	}
	ns := startNodes(t, wires[0], nil, 0, 2, 3)
	ns.members[1].UpSinceMS = time.Now().UnixMilli()
	p := start(t, options{settings: s, members: ns.members[1:2]})
	at := time.Now()
	stays, goes, resets := open(t, p, "stays", "quote", 1), open(t, p, "goes", "quote", 1), open(t, p, "resets", "quote", 1)
	require.Eventually(t, func() bool { return taken(t, p) == 3 }, patience, time.Millisecond)
	stopped(p, func() {
		_ = goes.Close()
		_, _ = resets.SetLinger(0), resets.Close()
		time.Sleep(time.Until(at.Add(2 * time.Second))) // past the time at which the node opens
	})
	answeredWhole(t, stays, 200, false)
	p.waitLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, goes.LocalAddr()))
	p.waitLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, resets.LocalAddr()))
	passes(t, p)
	assert.Equal(t, []int{1, 0, 0}, []int{begun(ns, "stays"), begun(ns, "goes"), begun(ns, "resets")})
}

// taken is how many queries the program has taken of the tests' tenant.
func taken(t *testing.T, p *program) int {
	r, err := http.Get("http://" + p.addr + "/_contracts")
	require.NoError(t, err)
	defer r.Body.Close()
	var b struct{ Taken map[string]int }
	require.NoError(t, json.NewDecoder(r.Body).Decode(&b))
	return b.Taken["gangasagar-life"]
}

// TestGoneBehindFlood: a client sends far more than the program holds behind its request, and goes. Its end stands behind
// all that, and is seen all the same: the part that a node has swallowed is not moved to another.
func TestGoneBehindFlood(t *testing.T) {
	ns, p := site(t, to("flood", swallow), options{})
	c := open(t, p, "flood", "quote", 1)
	waitBegun(t, ns, "flood", 1)
	for range 64 {
		_, err := c.Write(bytes.Repeat([]byte("x"), 64<<10))
		require.NoError(t, err)
	}
	_ = c.Close()
	p.waitLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, c.LocalAddr()))
	passes(t, p)
	assert.Equal(t, 1, begun(ns, "flood"))
}

// TestStaysBehindFlood: the same client stays: its first request is answered, as the connection's last.
func TestStaysBehindFlood(t *testing.T) {
	ns, p := site(t, to("flood", serveOnceLet), options{})
	c := open(t, p, "flood", "quote", 1)
	waitBegun(t, ns, "flood", 1)
	_, err := c.Write(bytes.Repeat([]byte("x"), 4<<20))
	require.NoError(t, err)
	close(ns.let)
	answeredWhole(t, c, 200, true)
}

// answeredWhole reads an answer and, where the connection ends behind it, sees that it ends by a close and not a reset.
func answeredWhole(t *testing.T, c net.Conn, status int, last bool) {
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
		assert.NoError(t, err, "the connection is reset")
	}
}

// TestLateConnection: a connection to the only node comes up after 1 s, when the part that waited for it has been given
// up as its time to begin was over, or its client has gone. Nothing of that part begins on it; it is used for the next.
func TestLateConnection(t *testing.T) {
	for _, gone := range []bool{false, true} {
		ln, drain, err := loopback.Full()
		require.NoError(t, err)
		s := settings()
		s["limits"].(map[string]any)["dial_timeout_ms"] = 3000
		ns := startNodes(t, wires[0], nil, 1, 2, 3)
		ns.members[1].Address = ln.Addr().String()
		p := start(t, options{settings: s, members: ns.members[1:2]})
		c := open(t, p, "early", "quote", 1)
		if gone {
			require.Eventually(t, func() bool { return taken(t, p) == 1 }, patience, time.Millisecond)
			_ = c.Close()
			p.waitLog(fmt.Sprintf(`"code":"C03","peer":"%s"`, c.LocalAddr()))
		} else {
			answeredWhole(t, c, 503, false)
		}
		drain()
		t.Cleanup(frameNode(ns, "s-1", ln))
		require.Eventually(t, func() bool {
			return askHTTP(context.Background(), p, query{id: fmt.Sprint("late", time.Now().UnixNano()), class: "quote",
				tenant: "gangasagar-life", shards: []int{1}, wait: 900 * time.Millisecond}).end == "served"
		}, patience, 50*time.Millisecond)
		assert.Zero(t, begun(ns, "early"))
	}
}

// sockets is how many descriptors below a number a process has open.
func sockets(t *testing.T, pid, below int) (n int) {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	require.NoError(t, err)
	for _, f := range files {
		if x, err := strconv.Atoi(f.Name()); err == nil && x < below {
			n++
		}
	}
	return n
}

// TestDedupKey: the key by which nodes drop a client's repeats goes to them with each part; one that would break the
// frame's line is no key.
func TestDedupKey(t *testing.T) {
	s := settings()
	s["categories"].([]any)[0].(map[string]any)["effect"] = "idempotency_key"
	ns, p := site(t, first(fail), options{settings: s})
	with := func(key string) string {
		return strings.Replace(sized("keyed", good), "X-Class", "Idempotency-Key: "+key+"\r\nX-Class", 1)
	}
	assert.Equal(t, []int{200}, statuses(t, p, with("d3f98de5ee7a5332")))
	all := ns.all()
	require.Len(t, all, 2, "it failed once, and is dropped where it ran")
	for _, x := range all {
		assert.Regexp(t, `^Qkeyed\.1 1 d=[0-9]+,k=d3f98de5ee7a5332 8\nc41e77d0$`, string(x.raw))
	}
	for _, bad := range []string{"a b", "a,d=9", strings.Repeat("k", 129)} {
		assert.Equal(t, []int{400}, statuses(t, p, with(bad)), bad)
	}
}

// accepts is a listener that hands out what it accepts.
type accepts struct {
	net.Listener
	conns chan net.Conn
}

func (a *accepts) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err == nil {
		a.conns <- c
	}
	return c, err
}

// TestNodeClosesIdle: a node closes a connection, used a moment ago, in the same wake-up in which a part for it comes. The
// part goes out once, on a new connection.
func TestNodeClosesIdle(t *testing.T) {
	for _, class := range []string{"quote", "bind"} {
		ns := startNodes(t, wires[0], nil, 0, 1, 2, 3)
		ln, err := net.Listen("tcp", ns.members[1].Address)
		require.NoError(t, err)
		a := &accepts{ln, make(chan net.Conn, 16)}
		t.Cleanup(frameNode(ns, "s-1", a))
		p := start(t, options{members: ns.members[1:2]})
		asked(t, p, "before", "quote", "served")
		c := dial(t, p)
		stopped(p, func() {
			_, err := io.WriteString(c, strings.ReplaceAll(sized("crosses", good), "quote", class))
			require.NoError(t, err)
			_ = (<-a.conns).Close()
		})
		answeredWhole(t, c, 200, false)
		assert.Equal(t, 1, begun(ns, "crosses"), class)
	}
}

// TestNodeResetsUnderPart: a node resets the connection as a part has been written to it, unread. The part may have run: one
// that must not run twice fails, another goes again.
func TestNodeResetsUnderPart(t *testing.T) {
	for class, status := range map[string]int{"quote": 200, "bind": 502} {
		ns := startNodes(t, wires[0], nil, 0, 1, 2, 3)
		ln, err := net.Listen("tcp", ns.members[1].Address)
		require.NoError(t, err)
		defer ln.Close()
		p := start(t, options{members: ns.members[1:2]})
		c := open(t, p, "reset", class, 1)
		n, err := ln.Accept() // the part is written and lies unread: this close resets
		require.NoError(t, err)
		_, err = n.Read(make([]byte, 1))
		require.NoError(t, err)
		_ = n.Close()
		t.Cleanup(frameNode(ns, "s-1", ln))
		answeredWhole(t, c, status, false)
		assert.Equal(t, map[string]int{"quote": 1, "bind": 0}[class], begun(ns, "reset"))
	}
}

// TestHalfAnOldAnswer: a part was given up at a node and served by another when half a line of its answer comes, and no
// more. The connection is closed for it, and nothing else is hurt.
func TestHalfAnOldAnswer(t *testing.T) {
	ns, p := site(t, func(s sent, nth int) deed {
		if strings.HasPrefix(s.id, "moved.") && nth == 1 {
			return halfOnceLet
		}
		return serve
	}, options{})
	c := open(t, p, "moved", "quote", 1)
	answeredWhole(t, c, 200, false)
	assert.Equal(t, 2, begun(ns, "moved"))
	close(ns.let)
	p.waitLog(`"code":"L06"`)
	passes(t, p)
}

// TestOversizedBody: a client goes on sending a body far over the bound after it has its answer. None of that meets a
// reset, up to 1 MiB, and the connection ends by a close.
func TestOversizedBody(t *testing.T) {
	_, p := site(t, nil, options{})
	c, text := dial(t, p), sized("big", strings.Repeat("x", 900_000))
	for chunk := range slices.Chunk([]byte(text), 64<<10) {
		_, err := c.Write(chunk)
		require.NoError(t, err)
		require.Equal(t, 200, p.health()) // what was written before has been read
	}
	answeredWhole(t, c, 413, true)
}

// TestRepeatWhileOut: a client comes again with the same key while its first try is still out at a node, within the window
// in which nodes drop repeats and after it. Each try is a query of its own, and none is tried again past its own window.
func TestRepeatWhileOut(t *testing.T) {
	s := settings()
	class := s["categories"].([]any)[0].(map[string]any)
	class["effect"], class["dedup_window_ms"] = "idempotency_key", 300
	ns, p := site(t, to("first", swallow), options{settings: s})
	with := func(id string) *net.TCPConn {
		c := dial(t, p)
		_, err := io.WriteString(c, strings.Replace(sized(id, good), "X-Class", "Idempotency-Key: k1\r\nX-Class", 1))
		require.NoError(t, err)
		return c
	}
	first := with("first")
	waitBegun(t, ns, "first", 1)
	answeredWhole(t, with("within"), 200, false)
	at := ns.all()[0].at
	require.Eventually(t, func() bool { return time.Since(at) > 320*time.Millisecond }, patience, time.Millisecond)
	answeredWhole(t, with("after"), 200, false)
	answeredWhole(t, first, 504, false)
	for _, x := range ns.all() {
		if strings.HasPrefix(x.id, "first.") {
			assert.Less(t, x.at.Sub(at), 350*time.Millisecond)
		}
	}
	assert.Equal(t, []int{1, 1}, []int{begun(ns, "within"), begun(ns, "after")})
}
