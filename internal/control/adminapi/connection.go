package adminapi

import (
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/decision/maintenance"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// connection is the connection of one caller. It carries one call, which is logged when it is answered. The end of
// the connection is logged as well, unless a call was answered and the connection then ended normally.
type connection struct {
	server       *Server
	stream       *loop.Stream
	peer         string // IP address and port, see peerAddress
	acceptedAtMs float64
	answered     bool
	answeredAtMs float64
	callLogged   bool
	closed       bool

	// Set by reject and logged when the connection ends, in place of the arguments of close.
	endCode logs.Code
	endErr  error
}

// Ready implements loop.Handler: it answers the call once it has arrived.
func (c *connection) Ready(uint32) {
	if c.answered {
		c.discardInput()
		return
	}
	eof, err := c.stream.Read(maxReadBytes)
	if err != nil {
		c.close(logs.OperatorDisconnected, err)
		return
	}
	request, err := parseRequest(c.stream.In)
	switch {
	case err != nil:
		c.reject(rejectionStatus(err), err, logs.OperatorMalformed)
	case request.hasArrived(len(c.stream.In)):
		c.answer(request, c.server.route(request.method, request.path))
	case eof:
		c.close(logs.OperatorDisconnected, nil)
	}
}

// answer logs a call that was routed and sends its result.
func (c *connection) answer(request request, result maintenance.CallResult) {
	c.server.log.Info("operator call", zap.String("code", string(logs.OperatorDone)), zap.String("peer", c.peer),
		zap.String("method", request.method), zap.String("path", request.path), zap.Int("status", result.Status),
		zap.String("reason", result.Reason), zap.Bool("changed", result.Changed))
	c.callLogged = true
	c.respond(result.Status, result.Reason)
}

// reject answers a caller whose call is malformed, incomplete or beyond a limit. code and err are logged when the
// connection ends.
func (c *connection) reject(status int, err error, code logs.Code) {
	c.endCode = code
	c.endErr = err
	c.respond(status, err.Error())
}

// respond sends the answer and shuts down the sending side of the connection. An answer fits into the kernel's send
// buffer: if it cannot be written at once, the caller is not reading and the connection is closed.
func (c *connection) respond(status int, reason string) {
	c.stream.Out = appendResponse(c.stream.Out[:0], status, reason)
	c.stream.In = nil
	c.answered = true
	c.answeredAtMs = c.server.loop.Now()
	err := c.stream.Flush()
	if err != nil || len(c.stream.Out) > 0 {
		c.close(logs.OperatorDisconnected, err)
		return
	}
	_ = unix.Shutdown(c.stream.FD, unix.SHUT_WR)
	c.stream.SetEvents(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.discardInput()
}

// discardInput discards further input until the caller closes the connection. Closing it with unread input would
// reset it, and the caller could lose the answer.
func (c *connection) discardInput() {
	_, eof, err := c.stream.DiscardInput()
	if eof || err != nil {
		c.close(logs.OperatorDone, nil)
	}
}

// close closes the connection and logs code and err, or those that reject has set. A repeated call does nothing.
func (c *connection) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.connections, c)
	c.stream.Close()
	if c.endCode != "" {
		code = c.endCode
		err = c.endErr
	}
	if !c.callLogged || code != logs.OperatorDone {
		c.server.log.ConnectionEnded(code, c.peer, 1, err)
	}
}

// peerAddress returns the IP address and port of the caller, or "" if it has disconnected or does not use IPv4.
func peerAddress(fd int) string {
	address, err := unix.Getpeername(fd)
	if err != nil {
		return ""
	}
	v4, ok := address.(*unix.SockaddrInet4)
	if !ok {
		return ""
	}
	return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port)).String()
}
