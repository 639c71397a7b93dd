package clients

import (
	"cmp"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

const (
	overloadRetryAfterMs  = 1000.0 // ms after which who found no memory may come again
	maxLingerBytes = 1 << 20
)

// reject answers what cannot be read on from, and closes.
func (c *connection) reject(status int, err error) {
	c.s.In, c.reading, c.malformed = nil, 0, err
	r := response{status: status, body: errorBody(err), close: true}
	if status == 503 {
		r.retryAfter = overloadRetryAfterMs
	}
	c.reply(r)
}

// gone ends a connection that its client has left.
func (c *connection) gone(err error) {
	code := logs.ClientLeftIdle
	if r := c.open; r != nil {
		c.open, code = nil, logs.ClientLeftRequest
		c.server.core.ClientDisconnected(r)
	}
	c.close(code, err)
}

// linger ends our side, and the connection once the client has ended its own. What the client still sends
// would turn our close into a reset that destroys the answer unread (RFC 9112, 9.6); it is thrown away, up to
// a bound, and none of it is served: an answer could not go out any more.
func (c *connection) linger(why logs.Code) {
	if c.ended {
		c.close(why, nil)
		return
	}
	_ = unix.Shutdown(c.s.FD, unix.SHUT_WR)
	c.ends, c.since, c.s.In = why, c.server.loop.Now(), nil
	c.count()
	c.s.SetEvents(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.discard()
}

// discard throws away what has come. What goes beyond a bound stays unread, so that its sender waits: the
// answer has its time to arrive all the same.
func (c *connection) discard() {
	n, eof, err := c.s.DiscardInput()
	if c.thrown += n; eof || err != nil {
		c.close(c.ends, nil)
	} else if c.thrown > maxLingerBytes {
		c.s.SetEvents(unix.EPOLLRDHUP)
	}
}

func (c *connection) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.conns, c)
	c.s.Close()
	c.count()
	code = cmp.Or(c.ends, code)
	if c.late {
		code, err = logs.ClientRequestTimeout, c.malformed
	} else if c.malformed != nil {
		code, err = logs.ClientMalformed, c.malformed
	}
	c.server.log.ConnectionEnded(code, c.peer, c.served, err)
}
