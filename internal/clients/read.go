package clients

import "ternstage/internal/logs"

const (
	maxInputBytes = maxHeaderBytes + maxBodyBytes + 8<<10 // bytes a connection holds unparsed; 8 KiB for the sizes of chunks
)

// readInput takes what has come; eof tells that the client has ended its side. What comes behind an open request
// is held up to a bound: beyond it that request is the connection's last, and the rest is thrown away. Guards
// memory against floods, and the nodes against work for a client whose end stands unread behind one.
func (c *connection) readInput() (eof bool, err error) {
	if !c.ending.afterOutput {
		eof, err = c.stream.Read(maxInputBytes)
		if eof || err != nil || c.open == nil || len(c.stream.In) < maxInputBytes {
			return eof, err
		}
		c.ending.afterOutput, c.stream.In = true, nil
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
		c.ending.afterOutput = true
		return false
	}
	return true
}

// serveBuffered takes the next request, if none is being answered and the client reads what it is answered.
func (c *connection) serveBuffered() {
	for c.open == nil && !c.ending.afterOutput && !c.ending.closed && len(c.stream.In) > 0 && len(c.stream.Out) < maxOutputBytes {
		m, size, err := c.incoming.parser.next(c.stream.In)
		switch {
		case err != nil:
			c.reject(err)
			return
		case size == 0:
			if len(c.stream.In) >= maxInputBytes {
				c.reject(errBodyTooLarge)
			} else if c.server.bufferedBytes > c.server.maxBufferedBytes {
				c.reject(errBufferLimit)
			} else if m := c.incoming.parser.request; m != nil && m.expectContinue && !c.incoming.continueSent {
				c.incoming.continueSent = true
				c.stream.Out = append(c.stream.Out, "HTTP/1.1 100 Continue\r\n\r\n"...)
			}
			return
		}
		c.incoming.continueSent, c.incoming.servingBytes = false, size
		c.route(m)
		if c.incoming.servingBytes = 0; c.ending.closed || c.ending.rejectErr != nil || c.ending.lingering() {
			return // a request that was rejected or answered as the last has emptied the buffer
		}
		c.stream.Consume(size)
		c.incoming.beganAtMs = c.server.loop.Now()
	}
}
