package httpfront

import (
	"net/http"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

const (
	// maxOutputBytes is the size in bytes of unsent answers at which no further request is served. It protects memory
	// from clients that send requests and do not read the answers.
	maxOutputBytes = 64 << 10

	// overloadRetryAfterMs is the Retry-After in milliseconds of a request that this package rejects with 503.
	overloadRetryAfterMs = 1000.0
)

// respond appends a response to the output. It answers the oldest request that has no answer yet.
func (c *connection) respond(response httpResponse) {
	c.answeredCount++
	c.activeAtMs = c.server.loop.Now()
	// Requests that have already been read behind this one are answered before the connection ends.
	isLastRead := len(c.stream.In) == c.incoming.servingBytes
	shouldClose := c.server.listenerClosedAtMs > 0 || c.server.closeAfterResponse
	c.ending.closeAfterOutput = c.ending.closeAfterOutput || response.closeConnection || shouldClose && isLastRead
	response.closeConnection = c.ending.closeAfterOutput
	c.stream.Out = response.appendTo(c.stream.Out)
}

// reject answers a request with an error and makes this the last answer of the connection. It is for requests after
// which no other can be read, because the request's end is unknown or its client broke the contract.
func (c *connection) reject(err error) {
	c.stream.In = nil
	c.incoming.servingBytes = 0
	c.ending.rejectErr = err
	response := errorResponse(err)
	response.closeConnection = true
	if response.status == http.StatusServiceUnavailable {
		response.retryAfterMs = overloadRetryAfterMs
	}
	c.respond(response)
}

// flush sends the output, and queues the requests that had to wait until the client read it. If nothing is left to do,
// it then ends a connection that is to be closed. Otherwise it sets the events to wait for. It may close the
// connection.
func (c *connection) flush() {
	if c.ending.closed || c.ending.isLingering() {
		return
	}
	if err := c.stream.Flush(); err != nil {
		c.handleDisconnect(err)
		return
	}
	c.queueTurn()
	c.updateBufferedBytes()
	isDone := len(c.stream.Out) == 0 && !c.isServing() && !c.canServe()
	if isDone && (c.ending.closeAfterOutput || c.ending.receivedEOF) {
		c.linger(logs.ClientClosed)
		return
	}
	c.stream.SetEvents(c.wantedEvents())
}

// wantedEvents returns the epoll events that the connection waits for. It waits for input only while there is space
// for it, which protects memory from endless pipelining. While a query is served there always is (see readInput), so
// that a disconnect of the client is noticed. The end of the client's side is awaited also while no input is.
func (c *connection) wantedEvents() uint32 {
	events := uint32(0)
	if (c.hasInputSpace() || c.ending.closeAfterOutput) && !c.ending.receivedEOF {
		events |= unix.EPOLLIN
	}
	if !c.ending.peerClosed {
		events |= unix.EPOLLRDHUP
	}
	if len(c.stream.Out) > 0 {
		events |= unix.EPOLLOUT
	}
	return events
}

// hasInputSpace reports whether more input may be buffered. Behind input in which requests may be complete, less is
// buffered than for one request of the maximum size.
func (c *connection) hasInputSpace() bool {
	maxBytes := maxInputBytes
	if c.turnQueued {
		maxBytes = maxWaitingBytes
	}
	return len(c.stream.In) < maxBytes && len(c.stream.Out) < maxOutputBytes
}
