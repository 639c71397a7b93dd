package adminapi

import (
	"fmt"
	"net/netip"
	"strconv"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/loop"
	"ternstage/internal/ops/maintenance"
)

// connection is one caller.
type connection struct {
	server       *Server
	stream       *loop.Stream
	acceptedAtMs float64
	answered     bool
	answeredAtMs float64
	closed       bool
	endCode      logs.Code // why it ends, where a no said so
	endErr       error
	peer         string
	logged       bool // its call has had its line
}

// Ready implements loop.Handler.
func (c *connection) Ready(events uint32) {
	if c.answered {
		c.discard()
		return
	}
	eof, err := c.stream.Read(maxReadBytes + 1)
	if err != nil {
		c.close(logs.OperatorDisconnected, err)
		return
	}
	method, path, size, err := parseRequest(c.stream.In)
	switch {
	case err != nil:
		c.fail(statusOf(err), err, logs.OperatorMalformed)
	case size > 0 && len(c.stream.In) >= size:
		c.answer(method, path, c.server.route(method, path))
	case eof:
		c.close(logs.OperatorDisconnected, nil)
	}
}

// answer writes the verdict and ends our side.
// The call is the connection's one line in the log, in place of the line of its end.
func (c *connection) answer(method, path string, v maintenance.CallResult) {
	c.server.log.Info("operator call", zap.String("code", string(logs.OperatorDone)), zap.String("peer", c.peer),
		zap.String("method", method), zap.String("path", path), zap.Int("status", v.Status),
		zap.String("reason", v.Reason), zap.Bool("changed", v.Changed))
	c.logged = true
	c.reply(v.Status, v.Reason)
}

// fail answers no to what cannot be a call.
func (c *connection) fail(status int, err error, code logs.Code) {
	c.endCode, c.endErr = code, err
	c.reply(status, err.Error())
}

func (c *connection) reply(status int, reason string) {
	body := fmt.Sprintf("{\"ok\":%t,\"reason\":%s}\n", status >= 200 && status < 300, strconv.Quote(reason))
	c.stream.Out = fmt.Appendf(c.stream.Out[:0], "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s", status, statusText(status), len(body), body)
	c.answered, c.answeredAtMs, c.stream.In = true, c.server.loop.Now(), nil
	if err := c.stream.Flush(); err != nil || len(c.stream.Out) > 0 {
		// An answer of a few hundred bytes that the kernel does not take at once goes to a caller that
		// does not read: it is not waited for.
		c.close(logs.OperatorDisconnected, err)
		return
	}
	_ = unix.Shutdown(c.stream.FD, unix.SHUT_WR)
	c.stream.SetEvents(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.discard()
}

// discard throws away what the caller still sends, so that our close does not become a reset that takes
// the answer with it; the caller's close ends the connection.
func (c *connection) discard() {
	if _, eof, err := c.stream.DiscardInput(); eof || err != nil {
		c.close(logs.OperatorDone, nil)
	}
}

func (c *connection) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.connections, c)
	c.stream.Close()
	if c.endCode != "" {
		code, err = c.endCode, c.endErr
	}
	if !c.logged || code != logs.OperatorDone {
		c.server.log.ConnectionEnded(code, c.peer, 1, err)
	}
}

func peerOf(fd int) string {
	sa, err := unix.Getpeername(fd)
	if a, ok := sa.(*unix.SockaddrInet4); ok && err == nil {
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()
	}
	return ""
}
