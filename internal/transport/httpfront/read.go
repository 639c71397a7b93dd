package httpfront

import "ternstage/internal/logs"

const (
	// maxInputBytes is the maximum size in bytes of the input that a connection buffers: one request of the maximum
	// size, and the framing of its chunks.
	maxInputBytes = maxHeaderBytes + maxBodyBytes + maxFramingBytes

	// readQuantumBytes is the maximum size in bytes of the input that is read for one event.
	readQuantumBytes = 64 << 10
	// minReadQuantumBytes is the same while the connections buffer more than the maximum, unless an equal share of the
	// maximum is larger. A request that has not arrived in full is then rejected.
	minReadQuantumBytes = 4 << 10
	// maxWaitingBytes is the size in bytes of the input from which no more is read while a complete request in it waits
	// to be served.
	maxWaitingBytes = 16 << 10

	// maxFramingBytes is the maximum size in bytes of the framing of a body's chunks. A request that exceeds it is
	// answered with 413.
	maxFramingBytes = 8 << 10

	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

// receive reads input that has arrived and queues the requests in it. It may close the connection.
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
	c.ending.peerClosed = c.ending.peerClosed || eof
	c.incoming.receivedAtMs = c.server.loop.Now()
	c.incoming.isIncomplete = false
	if !c.turnQueued && c.canServe() {
		c.parseRequest()
	}
	if eof && !c.ending.closed {
		c.handleEOF()
	}
}

// readInput reads up to a read quantum of the input that has arrived, and buffers up to maxInputBytes. eof reports
// whether the client has ended its side.
//
// If the input reaches maxInputBytes while a query is being served, that query becomes the last of the connection, and
// all other input is discarded, which bounds memory. The connection is still read, as a disconnect of the client is
// noticed only by reading. Noticing it spares backends work for a client that has disconnected.
func (c *connection) readInput() (eof bool, err error) {
	if !c.ending.closeAfterOutput {
		eof, err = c.stream.Read(min(len(c.stream.In)+c.server.readQuantum(), maxInputBytes))
		if eof || err != nil || !c.isServing() || len(c.stream.In) < maxInputBytes {
			return eof, err
		}
		c.ending.closeAfterOutput = true
		c.stream.In = nil
	}
	_, eof, err = c.stream.DiscardInput()
	return eof, err
}

// readQuantum returns the maximum size in bytes of the input that is read for one event.
func (s *Server) readQuantum() int {
	if s.bufferedBytes <= s.maxBufferedBytes {
		return readQuantumBytes
	}
	return min(max(minReadQuantumBytes, s.maxBufferedBytes/s.maxConnections), readQuantumBytes)
}

// handleEOF handles the end of the client's side. If a query is not answered yet, the client is assumed to have
// disconnected, since a close cannot be told from a shutdown of only the client's sending side. Other requests that
// have arrived are answered first.
func (c *connection) handleEOF() {
	switch {
	case c.isServing():
		c.handleDisconnect(nil)
	case c.canServe():
	case len(c.stream.Out) == 0:
		c.close(logs.ClientDisconnectedIdle, nil)
	default:
		c.ending.closeAfterOutput = true
	}
}

// parseRequest parses the request at the beginning of the input. It queues a query, and the service of any other
// request.
func (c *connection) parseRequest() {
	request, sizeBytes, err := c.incoming.parser.next(c.stream.In)
	switch {
	case err != nil:
		c.reject(err)
	case sizeBytes == 0:
		c.handleIncompleteRequest()
	case request.isQuery():
		c.incoming.continueSent = false
		c.queueQuery(request, sizeBytes)
	default:
		c.incoming.continueSent = false
		c.incoming.parsed = request
		c.incoming.parsedBytes = sizeBytes
		c.queueTurn()
	}
}

// queueTurn queues the service of the next request if there may be one in the input. Requests wait in the loop's queue
// rather than being served one after another at once: no connection gets more than one request served while others
// wait, however many its client has sent.
func (c *connection) queueTurn() {
	if c.turnQueued || !c.canServe() {
		return
	}
	c.turnQueued = true
	c.server.loop.Enqueue(len(c.stream.In), c.serveNext)
}

// serveNext serves the request at the beginning of the input, or queues it if it is a query. It may close the
// connection.
func (c *connection) serveNext() {
	c.turnQueued = false
	if !c.canServe() || c.ending.isLingering() {
		return
	}
	if c.incoming.parsed != nil {
		c.serveParsed()
	} else {
		c.parseRequest()
	}
	if c.ending.receivedEOF && !c.ending.closed {
		c.handleEOF()
	}
	c.flush()
}

// serveParsed answers the parsed request.
func (c *connection) serveParsed() {
	request := c.incoming.parsed
	c.incoming.parsed = nil
	c.incoming.servingBytes = c.incoming.parsedBytes
	c.route(request)
	c.stream.Consume(c.incoming.servingBytes)
	c.incoming.servingBytes = 0
	c.incoming.beganAtMs = c.server.loop.Now()
}

// canServe reports whether the next request may be served: there is input that is not parsed, no query is being
// served, the connection is not ending, and the client reads its answers.
func (c *connection) canServe() bool {
	return !c.isServing() && !c.ending.closeAfterOutput && !c.ending.closed && !c.incoming.isIncomplete &&
		len(c.stream.In) > 0 && len(c.stream.Out) < maxOutputBytes
}

// handleIncompleteRequest handles a request that has not arrived in full. It rejects the request if there is no space
// for its rest, and sends 100 Continue once if the client waits for that (RFC 9110, 10.1.1).
func (c *connection) handleIncompleteRequest() {
	c.incoming.isIncomplete = true
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
