package httpfront

import "ternstage/internal/logs"

const (
	// maxInputBytes is the maximum size in bytes of the input that a connection buffers: one request of the maximum
	// size, and the framing of its chunks.
	maxInputBytes = maxHeaderBytes + maxBodyBytes + maxFramingBytes

	// maxFramingBytes is the maximum size in bytes of the framing of a body's chunks. A request that exceeds it is
	// answered with 413.
	maxFramingBytes = 8 << 10

	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

// receive reads the input that has arrived and serves the requests in it. It may close the connection.
func (c *connection) receive() {
	if len(c.stream.In) == 0 && c.answeredCount > 0 {
		c.incoming.beganAtMs = c.server.loop.Now()
	}
	eof, err := c.readInput()
	if err != nil {
		c.handleDisconnect(err)
		return
	}
	c.ending.receivedEOF = eof
	c.serveBuffered()
	if eof && !c.ending.closed {
		c.handleEOF()
	}
}

// readInput reads the input that has arrived, up to maxInputBytes. eof reports whether the client has ended its side.
//
// If the input reaches maxInputBytes while a query is being served, that query becomes the last of the connection, and
// all other input is discarded, which bounds memory. The connection is still read, as a disconnect of the client is
// noticed only by reading. Noticing it spares backends work for a client that has disconnected.
func (c *connection) readInput() (eof bool, err error) {
	if !c.ending.closeAfterOutput {
		eof, err = c.stream.Read(maxInputBytes)
		if eof || err != nil || !c.isServing() || len(c.stream.In) < maxInputBytes {
			return eof, err
		}
		c.ending.closeAfterOutput = true
		c.stream.In = nil
	}
	_, eof, err = c.stream.DiscardInput()
	return eof, err
}

// handleEOF handles the end of the client's side. If a query is not answered yet, the client is assumed to have
// disconnected, since a close cannot be told from a shutdown of only the client's sending side.
func (c *connection) handleEOF() {
	switch {
	case c.isServing():
		c.handleDisconnect(nil)
	case len(c.stream.Out) == 0:
		c.close(logs.ClientDisconnectedIdle, nil)
	default:
		c.ending.closeAfterOutput = true
	}
}

// serveBuffered serves the requests in the input, up to the first query or the first request that has not arrived in
// full. It queues the query. It may close the connection.
func (c *connection) serveBuffered() {
	for c.canServe() {
		request, sizeBytes, err := c.incoming.parser.next(c.stream.In)
		if err != nil {
			c.reject(err)
			return
		}
		if sizeBytes == 0 {
			c.handleIncompleteRequest()
			return
		}
		c.incoming.continueSent = false
		if request.isQuery() {
			c.queueQuery(request, sizeBytes)
			continue
		}
		c.incoming.servingBytes = sizeBytes
		c.route(request)
		c.incoming.servingBytes = 0
		c.stream.Consume(sizeBytes)
		c.incoming.beganAtMs = c.server.loop.Now()
	}
}

// canServe reports whether the next request may be served: there is input, no query is being served, the connection is
// not ending, and the client reads its answers.
func (c *connection) canServe() bool {
	return !c.isServing() && !c.ending.closeAfterOutput && !c.ending.closed &&
		len(c.stream.In) > 0 && len(c.stream.Out) < maxOutputBytes
}

// handleIncompleteRequest handles a request that has not arrived in full. It rejects the request if there is no space
// for its rest, and sends 100 Continue once if the client waits for that (RFC 9110, 10.1.1).
func (c *connection) handleIncompleteRequest() {
	request := c.incoming.parser.request // nil until its header has arrived
	switch {
	case len(c.stream.In) >= maxInputBytes:
		c.reject(errBodyTooLarge)
	case c.server.bufferedBytes > c.server.maxBufferedBytes:
		c.reject(errBufferLimit)
	case request != nil && request.expectContinue && !c.incoming.continueSent:
		c.incoming.continueSent = true
		c.stream.Out = append(c.stream.Out, continueResponse...)
	}
}
