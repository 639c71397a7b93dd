package httpfront

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/core"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// connection is a client's connection. It serves one request at a time, in the order of arrival.
//
// It leaves Server.connections when it is closed. Until then its life is: serving, then, after a last answer or a time
// limit, lingering.
type connection struct {
	server *Server
	stream *loop.Stream // holds input that is not parsed and output that is not sent
	peer   string       // address, for the log

	incoming incomingRequest
	open     *core.Request // submitted and not answered: requests behind it wait in the input
	// servePosted: the rest of the input is served by a function that was posted to the loop, and by nothing else.
	servePosted bool

	answered      int     // requests
	activeAtMs    float64 // the last answer or the shutdown of our side; before both, the accept
	bufferedBytes int     // counted in Server.bufferedBytes

	ending connectionEnding
}

// incomingRequest is the request at the beginning of the input.
type incomingRequest struct {
	parser       requestParser
	beganAtMs    float64 // its first byte; of the first request, the accept
	continueSent bool    // 100 Continue was sent for it
	servingBytes int     // its size while it is being served and is still in the input; 0 at other times
}

// connectionEnding is how and why a connection ends.
type connectionEnding struct {
	// afterOutput: the connection ends once its output is sent, and further input is discarded.
	afterOutput bool
	// byClient: the client has ended its side.
	byClient bool
	// lingerCode is why we have shut down our side; empty before. Further input is discarded.
	lingerCode     logs.Code
	discardedBytes int // while lingering
	// rejectErr is why a request was rejected such that none can be read behind it; nil without such a one.
	rejectErr error
	timedOut  bool // that request did not arrive in time
	closed    bool
}

// lingering reports whether our side is shut down, and the connection waits for the client to end its own.
func (e *connectionEnding) lingering() bool { return e.lingerCode != "" }

// idle reports whether nothing is under way on the connection.
func (c *connection) idle() bool {
	return c.open == nil && len(c.stream.In) == 0 && len(c.stream.Out) == 0 && !c.ending.lingering() && !c.ending.closed
}

// hasPartialRequest reports whether nothing is under way but a request that has not arrived.
func (c *connection) hasPartialRequest() bool {
	return c.open == nil && len(c.stream.In) > 0 && len(c.stream.Out) == 0 && !c.ending.lingering() && !c.servePosted
}

// Ready implements loop.Handler.
func (c *connection) Ready(events uint32) {
	if c.ending.lingering() {
		c.discardInput()
		return
	}
	// With input left the error shows when that is read.
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && events&unix.EPOLLIN == 0 {
		c.disconnected(loop.SocketError(c.stream.FD))
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 && !c.ending.byClient {
		c.receive()
		if c.ending.closed {
			return
		}
	}
	c.flush()
}

// updateBufferedBytes updates the sum that Server.maxBufferedBytes bounds. It counts capacities, which are what the
// process holds.
func (c *connection) updateBufferedBytes() {
	bufferedBytes := 0
	if !c.ending.closed {
		bufferedBytes = cap(c.stream.In) + cap(c.stream.Out)
	}
	c.server.bufferedBytes += bufferedBytes - c.bufferedBytes
	c.bufferedBytes = bufferedBytes
}
