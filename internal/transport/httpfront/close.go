package httpfront

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

// maxLingerBytes is the number of discarded bytes after which a lingering connection is no longer read. Once the
// kernel's buffers are full, the client can send no more until the connection is closed after lingerTimeoutMs.
const maxLingerBytes = 1 << 20

// handleDisconnect closes a connection that the client has closed or reset. If a request is open, it informs core.
func (c *connection) handleDisconnect(err error) {
	code := logs.ClientDisconnectedIdle
	if c.queuedQuery != nil {
		code = logs.ClientDisconnectedInRequest
		c.queuedQuery.drop()
		c.queuedQuery = nil
	}
	if request := c.openRequest; request != nil {
		code = logs.ClientDisconnectedInRequest
		c.openRequest = nil
		c.server.core.ClientDisconnected(request)
	}
	c.close(code, err)
}

// linger shuts down the sending side of the connection, and closes the connection once the client has ended its side.
// code is the reason to log. Closing a connection with unread input would reset it, and the client could lose the
// answer (RFC 9112, 9.6), so input is read and discarded until then. No request in it is served, as no answer could
// be sent.
func (c *connection) linger(code logs.Code) {
	if c.ending.receivedEOF {
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

// discardInput discards the input of a lingering connection, and closes the connection if the client has ended its
// side.
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

// close closes the connection and logs the reason. That is the error of a rejected request if there is one, else the
// code given to linger, else code and err. A repeated call does nothing.
func (c *connection) close(code logs.Code, err error) {
	if c.ending.closed {
		return
	}
	c.ending.closed = true
	delete(c.server.connections, c)
	c.stream.Close()
	c.stream.In = nil // the loop's queue may refer to the connection
	c.stream.Out = nil
	c.updateBufferedBytes()
	switch {
	case c.ending.timedOut:
		code = logs.ClientRequestTimeout
		err = c.ending.rejectErr
	case c.ending.rejectErr != nil:
		code = logs.ClientMalformed
		err = c.ending.rejectErr
	case c.ending.isLingering():
		code = c.ending.lingerCode
	}
	c.server.log.ConnectionEnded(code, c.peer, c.answeredCount, err)
}
