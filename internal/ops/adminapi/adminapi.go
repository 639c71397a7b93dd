// Package adminapi is the operators' admin API: a second listener on the loop, HTTP/1.1 with one call per
// connection, whose answers say yes (2xx) or no (4xx, 5xx). What a call changes is decided elsewhere
// (Calls); the API reads calls within bounds, answers each within a second whatever the caller does, and
// closes.
package adminapi

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/loop"
	"ternstage/internal/ops/maintenance"
)

// Operations carries out what operators ask. Each is called on the loop and must not wait.
type Operations interface {
	// Ready tells whether the process is ready to serve.
	Ready() bool
	Suspend(id string) maintenance.CallResult
	Resume(id string) maintenance.CallResult
	Drain() maintenance.CallResult
	Activate() maintenance.CallResult
}

// Bounds of the API.
const (
	MaxConnections = 64      // connections at once; at the bound the oldest that has not called is answered no
	MaxHeaderBytes = 4 << 10 // bytes of a call's head
	MaxBodyBytes   = 4 << 10 // bytes of a body, which no call needs and which is thrown away
	AnswerWithinMs = 800.0   // ms after the connect by which a call that has not come whole is answered no
	LingerMs       = 1000.0  // ms after the answer in which what a caller still sends is thrown away
	tendStep       = 50.0    // ms between looks at the connections
	readSize       = MaxHeaderBytes + MaxBodyBytes
)

var (
	errLate    = errors.New("the call did not come whole within 0.8 s")
	errCrowded = errors.New("too many callers at once")
	errHead    = fmt.Errorf("head over %d bytes", MaxHeaderBytes)
	errBody    = fmt.Errorf("body over %d bytes", MaxBodyBytes)
	errCall    = errors.New("malformed call")
)

// Server listens for operators.
type Server struct {
	loop    *loop.Loop
	calls   Operations
	log     *logs.Log
	fd      int
	conns   map[*conn]struct{}
	timer   *loop.Timer
	address string
	resting bool // the listener is not watched, for want of descriptors
}

// Listen listens for operators on an address.
func Listen(l *loop.Loop, calls Operations, log *logs.Log, address string) (*Server, error) {
	fd, err := loop.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	d := &Server{loop: l, calls: calls, log: log, fd: fd, conns: map[*conn]struct{}{}, address: address}
	d.timer = l.NewTimer(d.tend)
	if err := l.Add(fd, unix.EPOLLIN, d); err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	return d, nil
}

// Ready implements loop.Handler: callers wait to be taken.
func (d *Server) Ready(uint32) {
	for range MaxConnections {
		fd, err := loop.Accept(d.fd)
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
			return
		}
		if err != nil {
			// No descriptor: the caller waits in the kernel's queue, and the listener is left alone for a
			// while, as it stays ready and would have the loop spin.
			d.loop.SetEvents(d.fd, 0)
			d.resting = true
			d.timer.SetEarlier(d.loop.Now() + tendStep)
			return
		}
		if len(d.conns) >= MaxConnections {
			d.makeRoom()
		}
		c := &conn{server: d, since: d.loop.Now(), peer: peerOf(fd)}
		s, err := loop.NewStream(d.loop, fd, unix.EPOLLIN|unix.EPOLLRDHUP, c)
		if err != nil {
			continue
		}
		c.s = s
		d.conns[c] = struct{}{}
		d.timer.SetEarlier(d.loop.Now() + tendStep)
	}
}

// makeRoom closes a connection that has had its answer, or else answers no to the one that came first.
func (d *Server) makeRoom() {
	var o *conn
	for c := range d.conns {
		if c.answered {
			c.close(logs.OperatorDone, nil)
			return
		}
		if o == nil || c.since < o.since {
			o = c
		}
	}
	o.fail(503, errCrowded, logs.OperatorLimit)
	o.close(logs.OperatorLimit, errCrowded)
}

// tend answers calls that take too long and closes what lingers.
func (d *Server) tend() {
	now := d.loop.Now()
	if d.resting && d.fd >= 0 {
		d.resting = false
		d.loop.SetEvents(d.fd, unix.EPOLLIN)
	}
	for c := range d.conns {
		switch {
		case c.answered && now-c.answeredAt > LingerMs:
			c.close(logs.OperatorDone, nil)
		case !c.answered && now-c.since > AnswerWithinMs:
			c.fail(408, errLate, logs.OperatorTimeout)
		}
	}
	if len(d.conns) > 0 {
		d.timer.Set(now + tendStep)
	}
}

// Close closes the API and every connection at it.
func (d *Server) Close() {
	for c := range d.conns {
		c.close(logs.Shutdown, nil)
	}
	if d.fd >= 0 {
		d.loop.Close(d.fd)
		d.fd = -1
	}
}

// route answers a call that has come whole.
func (d *Server) route(method, path string) maintenance.CallResult {
	const leafs = "/v1/leafs/"
	put := func(do func() maintenance.CallResult) maintenance.CallResult {
		if method != "PUT" {
			return maintenance.CallResult{Status: 405, Reason: "PUT only"}
		}
		return do()
	}
	switch {
	case path == "/v1/readyz":
		if method != "GET" && method != "HEAD" {
			return maintenance.CallResult{Status: 405, Reason: "GET only"}
		}
		if d.calls.Ready() {
			return maintenance.CallResult{Status: 200, Reason: "ready"}
		}
		return maintenance.CallResult{Status: 503, Reason: "not ready"}
	case path == "/v1/aggregator/drain":
		return put(d.calls.Drain)
	case path == "/v1/aggregator/activate":
		return put(d.calls.Activate)
	case strings.HasPrefix(path, leafs):
		id, verb, ok := strings.Cut(path[len(leafs):], "/")
		switch {
		case ok && verb == "suspend":
			return put(func() maintenance.CallResult { return d.calls.Suspend(id) })
		case ok && verb == "resume":
			return put(func() maintenance.CallResult { return d.calls.Resume(id) })
		}
	}
	return maintenance.CallResult{Status: 404, Reason: "no such call: " + strconv.Quote(path)}
}

// conn is one caller.
type conn struct {
	server     *Server
	s          *loop.Stream
	since      float64
	answered   bool
	answeredAt float64
	closed     bool
	code       logs.Code // why it ends, where a no said so
	err        error
	peer       string
	logged     bool // its call has had its line
}

// Ready implements loop.Handler.
func (c *conn) Ready(events uint32) {
	if c.answered {
		c.discard()
		return
	}
	eof, err := c.s.Read(readSize + 1)
	if err != nil {
		c.close(logs.OperatorDisconnected, err)
		return
	}
	method, path, size, err := head(c.s.In)
	switch {
	case err != nil:
		c.fail(statusOf(err), err, logs.OperatorMalformed)
	case size > 0 && len(c.s.In) >= size:
		c.answer(method, path, c.server.route(method, path))
	case eof:
		c.close(logs.OperatorDisconnected, nil)
	}
}

// answer writes the verdict and ends our side.
// The call is the connection's one line in the log, in place of the line of its end.
func (c *conn) answer(method, path string, v maintenance.CallResult) {
	c.server.log.Info("operator call", zap.String("code", string(logs.OperatorDone)), zap.String("peer", c.peer),
		zap.String("method", method), zap.String("path", path), zap.Int("status", v.Status),
		zap.String("reason", v.Reason), zap.Bool("changed", v.Changed))
	c.logged = true
	c.reply(v.Status, v.Reason)
}

// fail answers no to what cannot be a call.
func (c *conn) fail(status int, err error, code logs.Code) {
	c.code, c.err = code, err
	c.reply(status, err.Error())
}

func (c *conn) reply(status int, reason string) {
	body := fmt.Sprintf("{\"ok\":%t,\"reason\":%s}\n", status >= 200 && status < 300, strconv.Quote(reason))
	c.s.Out = fmt.Appendf(c.s.Out[:0], "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s", status, statusText(status), len(body), body)
	c.answered, c.answeredAt, c.s.In = true, c.server.loop.Now(), nil
	if err := c.s.Flush(); err != nil || len(c.s.Out) > 0 {
		// An answer of a few hundred bytes that the kernel does not take at once goes to a caller that
		// does not read: it is not waited for.
		c.close(logs.OperatorDisconnected, err)
		return
	}
	_ = unix.Shutdown(c.s.FD, unix.SHUT_WR)
	c.s.SetEvents(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.discard()
}

// discard throws away what the caller still sends, so that our close does not become a reset that takes
// the answer with it; the caller's close ends the connection.
func (c *conn) discard() {
	if _, eof, err := c.s.DiscardInput(); eof || err != nil {
		c.close(logs.OperatorDone, nil)
	}
}

func (c *conn) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.conns, c)
	c.s.Close()
	if c.code != "" {
		code, err = c.code, c.err
	}
	if !c.logged || code != logs.OperatorDone {
		c.server.log.ConnectionEnded(code, c.peer, 1, err)
	}
}

// head reads the head of a call: size is that of the head and body together, 0 while they have not come.
func head(in []byte) (method, path string, size int, err error) {
	end := bytes.Index(in, []byte("\r\n\r\n"))
	if end < 0 {
		if len(in) > MaxHeaderBytes {
			return "", "", 0, errHead
		}
		return "", "", 0, nil
	}
	if end > MaxHeaderBytes {
		return "", "", 0, errHead
	}
	line, fields, _ := strings.Cut(string(in[:end]), "\r\n")
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" || !strings.HasPrefix(parts[1], "/") {
		return "", "", 0, fmt.Errorf("%w: request line %q", errCall, line)
	}
	method, path = parts[0], parts[1]
	path, _, _ = strings.Cut(path, "?")
	body := 0
	for _, f := range strings.Split(fields, "\r\n") {
		name, value, ok := strings.Cut(f, ":")
		if !ok {
			return "", "", 0, fmt.Errorf("%w: field %q", errCall, f)
		}
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
			if err != nil {
				return "", "", 0, fmt.Errorf("%w: Content-Length %q", errCall, strings.TrimSpace(value))
			}
			if n > MaxBodyBytes {
				return "", "", 0, errBody
			}
			body = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return "", "", 0, fmt.Errorf("%w: Transfer-Encoding %q", errCall, strings.TrimSpace(value))
			}
			body = -1
		}
	}
	if body >= 0 {
		return method, path, end + 4 + body, nil
	}
	// A body in chunks, as some clients send an empty one: thrown away once its last chunk has come.
	last := bytes.Index(in[end+2:], []byte("\r\n0\r\n\r\n"))
	switch {
	case last >= 0 && last <= MaxBodyBytes:
		return method, path, end + 2 + last + 7, nil
	case len(in)-end-4 > MaxBodyBytes:
		return "", "", 0, errBody
	}
	return "", "", 0, nil
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, errHead):
		return 431
	case errors.Is(err, errBody):
		return 413
	}
	return 400
}

func statusText(status int) string {
	switch status {
	case 200:
		return "OK"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 413:
		return "Content Too Large"
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 503:
		return "Service Unavailable"
	case 507:
		return "Insufficient Storage"
	}
	return "Status"
}

func peerOf(fd int) string {
	sa, err := unix.Getpeername(fd)
	if a, ok := sa.(*unix.SockaddrInet4); ok && err == nil {
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()
	}
	return ""
}
