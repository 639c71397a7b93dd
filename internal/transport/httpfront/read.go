package httpfront

import "ternstage/internal/logs"

const (
	// maxInputBytes is the maximum size in bytes of the input that a connection buffers: one request of the maximum
	// size, and the framing of its chunks.
	maxInputBytes = maxHeaderBytes + maxBodyBytes + maxFramingBytes

	// maxFramingBytes is the maximum size in bytes of what frames the chunks of a body. More is answered 413.
	maxFramingBytes = 8 << 10

	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

// receive reads what has arrived and serves it. Afterwards the connection may be closed.
func (c *connection) receive() {
	if len(c.stream.In) == 0 && c.answered > 0 {
		c.incoming.beganAtMs = c.server.loop.Now()
	}
	eof, err := c.readInput()
	if err != nil {
		c.disconnected(err)
		return
	}
	c.ending.byClient = eof
	c.serveBuffered()
	if eof && !c.ending.closed {
		c.inputEnded()
	}
}

// readInput reads what has arrived, up to maxInputBytes. eof tells that the client has ended its side.
//
// If the input fills up behind an open request, that is made the last of the connection, and the rest is discarded:
// only a client that is read can be seen to disconnect. That protects memory from floods, and backends from work for a
// client that has left.
func (c *connection) readInput() (eof bool, err error) {
	if !c.ending.afterOutput {
		eof, err = c.stream.Read(maxInputBytes)
		if eof || err != nil || c.open == nil || len(c.stream.In) < maxInputBytes {
			return eof, err
		}
		c.ending.afterOutput = true
		c.stream.In = nil
	}
	_, eof, err = c.stream.DiscardInput()
	return eof, err
}

// inputEnded handles the end of the client's side. While a request is open the client is taken to have disconnected: a
// close cannot be told from a shutdown of its sending side alone.
func (c *connection) inputEnded() {
	switch {
	case c.open != nil:
		c.disconnected(nil)
	case len(c.stream.Out) == 0:
		c.close(logs.ClientDisconnectedIdle, nil)
	default:
		c.ending.afterOutput = true
	}
}

// serveBuffered serves the requests in the input, up to one that core has to answer or that has not arrived. Afterwards
// the connection may be closed.
func (c *connection) serveBuffered() {
	for c.canServe() {
		request, sizeBytes, err := c.incoming.parser.next(c.stream.In)
		if err != nil {
			c.reject(err)
			return
		}
		if sizeBytes == 0 {
			c.awaitRest()
			return
		}
		c.incoming.continueSent = false
		c.incoming.servingBytes = sizeBytes
		c.route(request)
		c.incoming.servingBytes = 0
		if c.ending.closed || c.ending.lingering() || c.ending.rejectErr != nil {
			return // the input was emptied, and there is nothing to consume
		}
		c.stream.Consume(sizeBytes)
		c.incoming.beganAtMs = c.server.loop.Now()
	}
}

// canServe reports whether the next request may be served: none is open, and the client takes its answers.
func (c *connection) canServe() bool {
	return c.open == nil && !c.ending.afterOutput && !c.ending.closed &&
		len(c.stream.In) > 0 && len(c.stream.Out) < maxOutputBytes
}

// awaitRest handles a request that has not arrived: it is rejected for want of space, or asked for if its client waits
// for 100 Continue (RFC 9110, 10.1.1).
func (c *connection) awaitRest() {
	header := c.incoming.parser.request
	switch {
	case len(c.stream.In) >= maxInputBytes:
		c.reject(errBodyTooLarge)
	case c.server.bufferedBytes > c.server.maxBufferedBytes:
		c.reject(errBufferLimit)
	case header != nil && header.expectContinue && !c.incoming.continueSent:
		c.incoming.continueSent = true
		c.stream.Out = append(c.stream.Out, continueResponse...)
	}
}
