package clients

import (
	"errors"

	"ternstage/internal/logs"
)

const (
	maxInputBytes = maxHeaderBytes + maxBodyBytes + 8<<10 // bytes a connection holds unparsed; 8 KiB for the sizes of chunks
)

// readInput takes what has come; eof tells that the client has ended its side. What comes behind an open request
// is held up to a bound: beyond it that request is the connection's last, and the rest is thrown away. Guards
// memory against floods, and the nodes against work for a client whose end stands unread behind one.
func (c *connection) readInput() (eof bool, err error) {
	if !c.closeAfterOutput {
		eof, err = c.stream.Read(maxInputBytes)
		if eof || err != nil || c.open == nil || len(c.stream.In) < maxInputBytes {
			return eof, err
		}
		c.closeAfterOutput, c.stream.In = true, nil
	}
	_, eof, err = c.stream.DiscardInput()
	return eof, err
}

// inputEnded deals with the end of the client's side; true if the connection has ended. A client that ends its
// side while a request is open has gone: that it closed cannot be told from an end of its sending alone.
func (c *connection) inputEnded() bool {
	switch {
	case c.open != nil:
		c.disconnected(nil)
	case len(c.stream.Out) == 0:
		c.close(logs.ClientLeftIdle, nil)
	default:
		c.closeAfterOutput = true
		return false
	}
	return true
}

// serveBuffered takes the next request, if none is being answered and the client reads what it is answered.
func (c *connection) serveBuffered() {
	for c.open == nil && !c.closeAfterOutput && !c.closed && len(c.stream.In) > 0 && len(c.stream.Out) < maxOutputBytes {
		m, size, err := c.parser.next(c.stream.In)
		switch {
		case err != nil:
			status := 400
			if errors.Is(err, errBodyTooLarge) {
				status = 413
			} else if errors.Is(err, errHeaderTooLarge) {
				status = 431
			}
			c.reject(status, err)
			return
		case size == 0:
			if len(c.stream.In) >= maxInputBytes {
				c.reject(413, errBodyTooLarge)
			} else if c.server.bufferedBytes > c.server.maxBufferedBytes {
				c.reject(503, errBufferLimit)
			} else if m := c.parser.request; m != nil && m.expectContinue && !c.continueSent {
				c.continueSent = true
				c.stream.Out = append(c.stream.Out, "HTTP/1.1 100 Continue\r\n\r\n"...)
			}
			return
		}
		c.continueSent, c.parsedBytes = false, size
		c.route(m)
		if c.parsedBytes = 0; c.closed || c.rejectErr != nil {
			return // a rejected request has emptied the buffer: guards against consuming it twice
		}
		c.stream.Consume(size)
		c.requestBeganAtMs = c.server.loop.Now()
	}
}
