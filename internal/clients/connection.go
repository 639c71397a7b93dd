package clients

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/core"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

// connection is a client's connection.
type connection struct {
	server    *Server
	s         *loop.Stream
	peer      string
	open      *core.Request // the request being answered; the next ones wait in the buffer
	reading   int           // bytes in the buffer of the request that is just being taken
	last      bool          // the connection ends once all is written; what still comes is thrown away
	ended     bool          // the client has ended its side
	closed    bool
	more      bool      // read-ahead requests are about to be parsed
	cont      bool      // 100 Continue has been sent for the request that is coming
	malformed error     // why it was rejected
	late      bool      // its request did not come whole in time
	ends      logs.Code // why we have ended our side; empty before. What still comes is thrown away
	parser    requestParser
	served    int
	thrown    int     // bytes thrown away
	held      int     // bytes that the server counts for it
	began     float64 // when the request that is coming began; at first the connect
	since     float64 // of the last answer, or of the connect
}

// quiet tells that nothing is under way on the connection.
func (c *connection) quiet() bool {
	return c.open == nil && len(c.s.In) == 0 && len(c.s.Out) == 0 && c.ends == "" && !c.closed
}

// halfRead tells that nothing is under way but a request that has not come whole.
func (c *connection) halfRead() bool {
	return c.open == nil && len(c.s.In) > 0 && len(c.s.Out) == 0 && c.ends == "" && !c.more
}

// Ready implements loop.Handler.
func (c *connection) Ready(events uint32) {
	if c.ends != "" {
		c.discard()
		return
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && events&unix.EPOLLIN == 0 {
		c.gone(loop.SocketError(c.s.FD))
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 && !c.ended {
		if len(c.s.In) == 0 && c.served > 0 {
			c.began = c.server.loop.Now()
		}
		eof, err := c.read()
		if err != nil {
			c.gone(err)
			return
		}
		c.ended = eof
		if c.parse(); c.closed {
			return
		}
		if eof && c.finish() {
			return
		}
	}
	c.write()
}

// count brings the server's count of bytes held up to date.
func (c *connection) count() {
	n := 0
	if !c.closed {
		n = cap(c.s.In) + cap(c.s.Out)
	}
	c.server.held += n - c.held
	c.held = n
}
