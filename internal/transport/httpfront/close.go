package httpfront

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

// maxLingerBytes is the size in bytes of discarded input from which on a lingering connection is not read, so that its
// sender waits until lingerTimeoutMs is over.
const maxLingerBytes = 1 << 20

// disconnected closes a connection that its client has closed or reset, and tells core if a request is open.
func (c *connection) disconnected(err error) {
	code := logs.ClientDisconnectedIdle
	if request := c.open; request != nil {
		code = logs.ClientDisconnectedInRequest
		c.open = nil
		c.server.core.ClientDisconnected(request)
	}
	c.close(code, err)
}

// linger ends our side of the connection for the reason code, and the connection once the client has ended its side.
// Closing over unread input would reset the connection, and the client could lose the answer (RFC 9112, 9.6): until
// then input is discarded. None of it is served, as no answer could be sent.
func (c *connection) linger(code logs.Code) {
	if c.ending.byClient {
		c.close(code, nil)
		return
	}
	_ = unix.Shutdown(c.stream.FD, unix.SHUT_WR)
	c.ending.lingerCode = code
	c.activeAtMs = c.server.loop.Now()
	c.stream.In = nil
	c.updateBufferedBytes()
	c.stream.SetEvents(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.discardInput()
}

// discardInput discards what has arrived on a lingering connection, and closes it if the client has ended its side.
func (c *connection) discardInput() {
	discardedBytes, eof, err := c.stream.DiscardInput()
	c.ending.discardedBytes += discardedBytes
	if eof || err != nil {
		c.close(c.ending.lingerCode, nil)
		return
	}
	if c.ending.discardedBytes > maxLingerBytes {
		c.stream.SetEvents(unix.EPOLLRDHUP)
	}
}

// close closes the connection and logs why: that a request was rejected, else that our side was shut down before, else
// code and err. A repeated call does nothing.
func (c *connection) close(code logs.Code, err error) {
	if c.ending.closed {
		return
	}
	c.ending.closed = true
	delete(c.server.connections, c)
	c.stream.Close()
	c.updateBufferedBytes()
	switch {
	case c.ending.timedOut:
		code = logs.ClientRequestTimeout
		err = c.ending.rejectErr
	case c.ending.rejectErr != nil:
		code = logs.ClientMalformed
		err = c.ending.rejectErr
	case c.ending.lingering():
		code = c.ending.lingerCode
	}
	c.server.log.ConnectionEnded(code, c.peer, c.answered, err)
}
