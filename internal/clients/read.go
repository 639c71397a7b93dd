package clients

import (
	"errors"

	"ternstage/internal/logs"
)

const (
	maxInputBytes = maxHeaderBytes + maxBodyBytes + 8<<10 // bytes a connection holds unparsed; 8 KiB for the sizes of chunks
)

// read takes what has come; eof tells that the client has ended its side. What comes behind an open request
// is held up to a bound: beyond it that request is the connection's last, and the rest is thrown away. Guards
// memory against floods, and the nodes against work for a client whose end stands unread behind one.
func (c *connection) read() (eof bool, err error) {
	if !c.last {
		eof, err = c.s.Read(maxInputBytes)
		if eof || err != nil || c.open == nil || len(c.s.In) < maxInputBytes {
			return eof, err
		}
		c.last, c.s.In = true, nil
	}
	_, eof, err = c.s.DiscardInput()
	return eof, err
}

// finish deals with the end of the client's side; true if the connection has ended. A client that ends its
// side while a request is open has gone: that it closed cannot be told from an end of its sending alone.
func (c *connection) finish() bool {
	switch {
	case c.open != nil:
		c.gone(nil)
	case len(c.s.Out) == 0:
		c.close(logs.ClientLeftIdle, nil)
	default:
		c.last = true
		return false
	}
	return true
}

// parse takes the next request, if none is being answered and the client reads what it is answered.
func (c *connection) parse() {
	for c.open == nil && !c.last && !c.closed && len(c.s.In) > 0 && len(c.s.Out) < maxOutputBytes {
		m, size, err := c.parser.next(c.s.In)
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
			if len(c.s.In) >= maxInputBytes {
				c.reject(413, errBodyTooLarge)
			} else if c.server.held > c.server.budget {
				c.reject(503, errBufferLimit)
			} else if m := c.parser.m; m != nil && m.expect && !c.cont {
				c.cont = true
				c.s.Out = append(c.s.Out, "HTTP/1.1 100 Continue\r\n\r\n"...)
			}
			return
		}
		c.cont, c.reading = false, size
		c.serve(m)
		if c.reading = 0; c.closed || c.malformed != nil {
			return // a rejected request has emptied the buffer: guards against consuming it twice
		}
		c.s.Consume(size)
		c.began = c.server.loop.Now()
	}
}
