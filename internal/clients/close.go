package clients

import (
	"cmp"
	"net/http"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

const (
	overloadRetryAfterMs = 1000.0 // ms after which who found no memory may come again
	maxLingerBytes       = 1 << 20
)

// reject answers what cannot be read on from, and closes.
func (c *connection) reject(err error) {
	c.stream.In, c.incoming.servingBytes, c.ending.rejectErr = nil, 0, err
	r := errorResponse(err)
	r.close = true
	if r.status == http.StatusServiceUnavailable {
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
	if c.ending.byClient {
		c.close(why, nil)
		return
	}
	_ = unix.Shutdown(c.stream.FD, unix.SHUT_WR)
	c.ending.lingerCode, c.activeAtMs, c.stream.In = why, c.server.loop.Now(), nil
	c.updateBufferedBytes()
	c.stream.SetEvents(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.discardInput()
}

// discardInput throws away what has come. What goes beyond a bound stays unread, so that its sender waits: the
// answer has its time to arrive all the same.
func (c *connection) discardInput() {
	n, eof, err := c.stream.DiscardInput()
	if c.ending.discardedBytes += n; eof || err != nil {
		c.close(c.ending.lingerCode, nil)
	} else if c.ending.discardedBytes > maxLingerBytes {
		c.stream.SetEvents(unix.EPOLLRDHUP)
	}
}

func (c *connection) close(code logs.Code, err error) {
	if c.ending.closed {
		return
	}
	c.ending.closed = true
	delete(c.server.connections, c)
	c.stream.Close()
	c.updateBufferedBytes()
	code = cmp.Or(c.ending.lingerCode, code)
	if c.ending.timedOut {
		code, err = logs.ClientRequestTimeout, c.ending.rejectErr
	} else if c.ending.rejectErr != nil {
		code, err = logs.ClientMalformed, c.ending.rejectErr
	}
	c.server.log.ConnectionEnded(code, c.peer, c.answered, err)
}
