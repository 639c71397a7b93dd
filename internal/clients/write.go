package clients

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

const (
	maxOutputBytes = 64 << 10 // bytes of answers that wait for the client, over which no more requests are read
)

func (c *connection) flush() {
	if c.ending.closed || c.ending.lingering() {
		return
	}
	for again := true; again; {
		if err := c.stream.Flush(); err != nil {
			c.disconnected(err)
			return
		}
		// What was read ahead may have waited for the client to take its answers.
		if again = len(c.stream.Out) == 0 && len(c.stream.In) > 0 && c.open == nil && !c.servePosted && !c.ending.afterOutput; again {
			held := len(c.stream.In)
			if c.serveBuffered(); c.ending.closed {
				return
			}
			again = len(c.stream.In) < held || len(c.stream.Out) > 0
		}
	}
	c.updateBufferedBytes()
	if len(c.stream.Out) == 0 && c.open == nil && !c.servePosted && (c.ending.afterOutput || c.ending.byClient) {
		c.linger(logs.ClientClosed)
		return
	}
	// Only so much is read ahead: guards memory against endless pipelining. With an open request there is
	// always more to read, as its client may go.
	want := uint32(0)
	if (len(c.stream.In) < maxInputBytes && len(c.stream.Out) < maxOutputBytes || c.ending.afterOutput) && !c.ending.byClient {
		want = unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if len(c.stream.Out) > 0 {
		want |= unix.EPOLLOUT
	}
	c.stream.SetEvents(want)
}

// respond writes the answer to the request that was read last.
func (c *connection) respond(r response) {
	c.answered++
	c.activeAtMs = c.server.loop.Now()
	// Requests that were read behind this one are answered too before the program ends the connection.
	ending := (c.server.listenerClosedAtMs > 0 || c.server.closeAfterResponse) && len(c.stream.In) == c.incoming.servingBytes
	c.ending.afterOutput = c.ending.afterOutput || r.close || ending
	r.close = c.ending.afterOutput
	c.stream.Out = r.appendTo(c.stream.Out)
}
