package clients

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/core"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

// connection is a client's connection.
type connection struct {
	server           *Server
	stream           *loop.Stream
	peer             string
	open             *core.Request // the request being answered; the next ones wait in the buffer
	parsedBytes      int           // bytes in the buffer of the request that is just being taken
	closeAfterOutput bool          // the connection ends once all is written; what still comes is thrown away
	clientEnded      bool          // the client has ended its side
	closed           bool
	servePosted      bool      // read-ahead requests are about to be parsed
	continueSent     bool      // 100 Continue has been sent for the request that is coming
	rejectErr        error     // why it was rejected
	timedOut         bool      // its request did not come whole in time
	lingerCode       logs.Code // why we have ended our side; empty before. What still comes is thrown away
	parser           requestParser
	answered         int
	discardedBytes   int     // bytes thrown away
	bufferedBytes    int     // bytes that the server counts for it
	requestBeganAtMs float64 // when the request that is coming began; at first the connect
	activeAtMs       float64 // of the last answer, or of the connect
}

// idle tells that nothing is under way on the connection.
func (c *connection) idle() bool {
	return c.open == nil && len(c.stream.In) == 0 && len(c.stream.Out) == 0 && c.lingerCode == "" && !c.closed
}

// hasPartialRequest tells that nothing is under way but a request that has not come whole.
func (c *connection) hasPartialRequest() bool {
	return c.open == nil && len(c.stream.In) > 0 && len(c.stream.Out) == 0 && c.lingerCode == "" && !c.servePosted
}

// Ready implements loop.Handler.
func (c *connection) Ready(events uint32) {
	if c.lingerCode != "" {
		c.discardInput()
		return
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && events&unix.EPOLLIN == 0 {
		c.disconnected(loop.SocketError(c.stream.FD))
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 && !c.clientEnded {
		if len(c.stream.In) == 0 && c.answered > 0 {
			c.requestBeganAtMs = c.server.loop.Now()
		}
		eof, err := c.readInput()
		if err != nil {
			c.disconnected(err)
			return
		}
		c.clientEnded = eof
		if c.serveBuffered(); c.closed {
			return
		}
		if eof && c.inputEnded() {
			return
		}
	}
	c.flush()
}

// updateBufferedBytes brings the server's count of bytes held up to date.
func (c *connection) updateBufferedBytes() {
	n := 0
	if !c.closed {
		n = cap(c.stream.In) + cap(c.stream.Out)
	}
	c.server.bufferedBytes += n - c.bufferedBytes
	c.bufferedBytes = n
}
