package clients

import (
	"cmp"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

const (
	overloadRetryAfterMs = 1000.0 // ms after which who found no memory may come again
	maxLingerBytes       = 1 << 20
)

// reject answers what cannot be read on from, and closes.
func (c *connection) reject(status int, err error) {
	c.stream.In, c.parsedBytes, c.rejectErr = nil, 0, err
	r := response{status: status, body: errorBody(err), close: true}
	if status == 503 {
		r.retryAfterMs = overloadRetryAfterMs
	}
	c.respond(r)
}

// disconnected ends a connection that its client has left.
func (c *connection) disconnected(err error) {
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
	if c.clientEnded {
		c.close(why, nil)
		return
	}
	_ = unix.Shutdown(c.stream.FD, unix.SHUT_WR)
	c.lingerCode, c.activeAtMs, c.stream.In = why, c.server.loop.Now(), nil
	c.updateBufferedBytes()
	c.stream.SetEvents(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.discardInput()
}

// discardInput throws away what has come. What goes beyond a bound stays unread, so that its sender waits: the
// answer has its time to arrive all the same.
func (c *connection) discardInput() {
	n, eof, err := c.stream.DiscardInput()
	if c.discardedBytes += n; eof || err != nil {
		c.close(c.lingerCode, nil)
	} else if c.discardedBytes > maxLingerBytes {
		c.stream.SetEvents(unix.EPOLLRDHUP)
	}
}

func (c *connection) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.connections, c)
	c.stream.Close()
	c.updateBufferedBytes()
	code = cmp.Or(c.lingerCode, code)
	if c.timedOut {
		code, err = logs.ClientRequestTimeout, c.rejectErr
	} else if c.rejectErr != nil {
		code, err = logs.ClientMalformed, c.rejectErr
	}
	c.server.log.ConnectionEnded(code, c.peer, c.answered, err)
}
