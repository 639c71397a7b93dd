package clients

import (
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
)

const (
	maxOutputBytes = 64 << 10 // bytes of answers that wait for the client, over which no more requests are read
)

func (c *connection) write() {
	if c.closed || c.ends != "" {
		return
	}
	for again := true; again; {
		if err := c.s.Flush(); err != nil {
			c.gone(err)
			return
		}
		// What was read ahead may have waited for the client to take its answers.
		if again = len(c.s.Out) == 0 && len(c.s.In) > 0 && c.open == nil && !c.more && !c.last; again {
			held := len(c.s.In)
			if c.parse(); c.closed {
				return
			}
			again = len(c.s.In) < held || len(c.s.Out) > 0
		}
	}
	c.count()
	if len(c.s.Out) == 0 && c.open == nil && !c.more && (c.last || c.ended) {
		c.linger(logs.ClientClosed)
		return
	}
	// Only so much is read ahead: guards memory against endless pipelining. With an open request there is
	// always more to read, as its client may go.
	want := uint32(0)
	if (len(c.s.In) < maxInputBytes && len(c.s.Out) < maxOutputBytes || c.last) && !c.ended {
		want = unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if len(c.s.Out) > 0 {
		want |= unix.EPOLLOUT
	}
	c.s.SetEvents(want)
}

// reply writes the answer to the request that was read last.
func (c *connection) reply(r response) {
	c.served++
	c.since = c.server.loop.Now()
	// Requests that were read behind this one are answered too before the program ends the connection.
	ending := (c.server.endingAt > 0 || c.server.closing) && len(c.s.In) == c.reading
	c.last = c.last || r.close || ending
	r.close = c.last
	c.s.Out = r.append(c.s.Out)
}
