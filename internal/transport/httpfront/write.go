package httpfront

import (
	"net/http"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

const (
	// maxOutputBytes is the size in bytes of unsent answers from which on no request is served: guards memory against
	// clients that send requests and do not take answers.
	maxOutputBytes = 64 << 10

	// overloadRetryAfterMs is the Retry-After in milliseconds of a rejection with 503.
	overloadRetryAfterMs = 1000.0
)

// respond appends the answer to the request that was served last to the output.
func (c *connection) respond(response httpResponse) {
	c.answered++
	c.activeAtMs = c.server.loop.Now()
	// Requests that were read behind this one are answered before the connection ends.
	isLastRead := len(c.stream.In) == c.incoming.servingBytes
	closing := c.server.listenerClosedAtMs > 0 || c.server.closeAfterResponse
	c.ending.afterOutput = c.ending.afterOutput || response.close || closing && isLastRead
	response.close = c.ending.afterOutput
	c.stream.Out = response.appendTo(c.stream.Out)
}

// reject answers a request behind which none can be read, as its end is unknown or the client broke its contract, and
// makes the answer the last of the connection.
func (c *connection) reject(err error) {
	c.stream.In = nil
	c.incoming.servingBytes = 0
	c.ending.rejectErr = err
	response := errorResponse(err)
	response.close = true
	if response.status == http.StatusServiceUnavailable {
		response.retryAfterMs = overloadRetryAfterMs
	}
	c.respond(response)
}

// flush sends the output, and serves requests that waited for the client to take it. Then it ends the connection if
// nothing is left to do on it, or sets the events to wait for. Afterwards the connection may be closed.
func (c *connection) flush() {
	if c.ending.closed || c.ending.lingering() {
		return
	}
	for {
		if err := c.stream.Flush(); err != nil {
			c.disconnected(err)
			return
		}
		if len(c.stream.Out) > 0 || c.servePosted || !c.canServe() {
			break
		}
		inputBytes := len(c.stream.In)
		c.serveBuffered()
		if c.ending.closed || c.ending.lingering() {
			return
		}
		served := len(c.stream.In) < inputBytes || len(c.stream.Out) > 0
		if !served {
			break
		}
	}
	c.updateBufferedBytes()
	noneLeft := len(c.stream.Out) == 0 && c.open == nil && !c.servePosted
	if noneLeft && (c.ending.afterOutput || c.ending.byClient) {
		c.linger(logs.ClientClosed)
		return
	}
	c.stream.SetEvents(c.wantedEvents())
}

// wantedEvents returns the epoll events that the connection waits for. Input is wanted while there is space for it:
// guards memory against endless pipelining. With an open request there always is (see readInput), so that a client that
// disconnects is seen.
func (c *connection) wantedEvents() uint32 {
	events := uint32(0)
	hasSpace := len(c.stream.In) < maxInputBytes && len(c.stream.Out) < maxOutputBytes
	if (hasSpace || c.ending.afterOutput) && !c.ending.byClient {
		events = unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if len(c.stream.Out) > 0 {
		events |= unix.EPOLLOUT
	}
	return events
}
