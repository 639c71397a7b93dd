package httpfront

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/core"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// connection is a client's connection. It serves one request at a time, in the order of arrival.
//
// A connection first serves requests. After its last answer, or when a time limit has passed, it lingers (see
// linger). When it is closed, it is removed from Server.connections.
type connection struct {
	server *Server
	stream *loop.Stream // holds input that is not parsed and output that is not sent
	peer   string       // address, for the log

	incoming    incomingRequest
	turnQueued  bool          // serveNext is in the loop's queue
	queuedQuery *queuedQuery  // has arrived and waits in the loop's queue; later requests wait in the input
	openRequest *core.Request // submitted and not answered; later requests wait in the input

	answeredCount int     // requests
	activeAtMs    float64 // time of the last answer or of the start of lingering; before both, of the accept
	bufferedBytes int     // counted in Server.bufferedBytes

	ending connectionEnding
}

// incomingRequest is the state of the request at the beginning of the input.
type incomingRequest struct {
	parser       requestParser
	beganAtMs    float64      // time of its first byte; for the first request, of the accept
	receivedAtMs float64      // time at which input was last read
	continueSent bool         // 100 Continue was sent for it
	isIncomplete bool         // the input that has arrived is parsed, and the request's rest is missing
	parsed       *httpRequest // it, while it is not a query and waits for its turn; nil at other times
	parsedBytes  int          // size of parsed in the input
	servingBytes int          // its size while it is being served and is still in the input; 0 at other times
}

// connectionEnding records how and why a connection ends.
type connectionEnding struct {
	// closeAfterOutput reports whether the connection ends once its output is sent. Further input is discarded.
	closeAfterOutput bool
	// peerClosed reports whether the client has ended its side, that is, whether its FIN has been received. Input may
	// be left to read. The client of a query counts as disconnected.
	peerClosed bool
	// receivedEOF reports whether the input has been read to its end.
	receivedEOF bool
	// lingerCode is the reason why the connection lingers; empty if it does not.
	lingerCode     logs.Code
	discardedBytes int // while lingering
	// rejectErr is the error of a rejected request after which no other can be read; nil if there is none.
	rejectErr error
	timedOut  bool // the rejected request did not arrive in time
	closed    bool
}

// isLingering reports whether the sending side is shut down and the connection waits for the client to end its side.
func (e *connectionEnding) isLingering() bool { return e.lingerCode != "" }

// isServing reports whether a query has arrived and has not been answered.
func (c *connection) isServing() bool { return c.queuedQuery != nil || c.openRequest != nil }

// isIdle reports whether the connection serves clients but has no request, buffered input or unsent output.
func (c *connection) isIdle() bool {
	return !c.isServing() && len(c.stream.In) == 0 && len(c.stream.Out) == 0 &&
		!c.ending.isLingering() && !c.ending.closed
}

// hasPartialRequest reports whether the only thing in progress is a request of which the rest has not arrived.
func (c *connection) hasPartialRequest() bool {
	return !c.isServing() && !c.turnQueued && len(c.stream.In) > 0 && len(c.stream.Out) == 0 && !c.ending.isLingering()
}

// Ready implements loop.Handler. It reads input, queues the requests in it and sends output.
func (c *connection) Ready(events uint32) {
	if c.ending.isLingering() {
		c.discardInput()
		return
	}
	// If input is left, reading it reports the error.
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && events&unix.EPOLLIN == 0 {
		c.handleDisconnect(loop.SocketError(c.stream.FD))
		return
	}
	if events&unix.EPOLLRDHUP != 0 {
		c.ending.peerClosed = true
	}
	if events&unix.EPOLLIN != 0 && !c.ending.receivedEOF {
		c.receive()
	}
	if c.ending.peerClosed && c.isServing() {
		c.handleDisconnect(nil)
	}
	c.flush()
}

// updateBufferedBytes updates the connection's share of Server.bufferedBytes. It counts the capacities of the
// buffers, since these are what the process has allocated.
func (c *connection) updateBufferedBytes() {
	bufferedBytes := 0
	if !c.ending.closed {
		bufferedBytes = cap(c.stream.In) + cap(c.stream.Out)
		if c.queuedQuery != nil {
			bufferedBytes += c.queuedQuery.bufferedBytes
		}
	}
	c.server.bufferedBytes += bufferedBytes - c.bufferedBytes
	c.bufferedBytes = bufferedBytes
}
