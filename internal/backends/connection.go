package backends

import (
	"math"
	"slices"
	"ternstage/internal/logs"
	"ternstage/internal/loop"

	"golang.org/x/sys/unix"
)

// connection is a connection to a backend.
type connection struct {
	pool             *Pool
	backend          *backend
	stream           *loop.Stream
	established      bool
	closed           bool
	retiredFor       logs.Code // takes nothing new, and why; empty if it does
	calls            []*call
	unencoded        []*call // of calls: those not yet encoded
	partsByID        map[string]*part
	abandoned        map[string]bool // parts given up, whose answers may still come
	queuedBytes      uint64          // bytes handed to the stream so far
	served           int
	peerEnded        bool  // the backend has ended it: what is read now was its last
	pendingRejection *part // answered busy, the first here: told once it is known whether the connection ends with it
	rejectionDueAt   float64
	openedAt         float64
	lastReceivedAt   float64 // when bytes last came, or it came up
	dialDeadline     float64
	idleCloseAt      float64 // when it is closed as idle
	frameDeadline    float64 // when a frame that is not whole is taken for one that never will be
}

// Ready implements loop.Handler.
func (c *connection) Ready(events uint32) {
	if !c.established {
		if err := loop.SocketError(c.stream.FD); err != nil {
			c.close(logs.BackendConnectFailed, err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.established, c.lastReceivedAt = true, c.pool.loop.Now()
		c.startIdle()
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 && !c.read() {
		return
	}
	c.write()
	c.pool.armTimer()
}

// read takes answers; false if the connection has ended. What came whole before the end counts.
func (c *connection) read() bool {
	for {
		held := len(c.stream.In)
		eof, err := c.stream.Read(maxUnparsedBytes)
		if len(c.stream.In) > held {
			c.lastReceivedAt = c.pool.loop.Now()
		}
		c.peerEnded = eof || err != nil
		full := len(c.stream.In) == maxUnparsedBytes // more may be waiting; a long frame in part alone is no reason to go on
		if !c.handleFrames() {
			return false
		}
		switch {
		case err != nil:
			c.close(logs.BackendReset, err)
			return false
		case eof:
			c.close(logs.BackendClosed, nil)
			return false
		case !full:
			return true
		}
	}
}

func (c *connection) handleFrames() bool {
	at := 0
	for {
		letter, rest, size, err := nextFrame(c.stream.In[at:])
		var o *part
		if err == nil && size > 0 {
			o, err = c.handleAnswer(letter, rest)
		}
		if err != nil {
			c.closeMalformed(o, err)
			return false
		}
		if size == 0 {
			break
		}
		at += size
		c.frameDeadline = math.Inf(1)
	}
	if c.stream.Consume(at); len(c.stream.In) > 0 {
		c.frameDeadline = min(c.frameDeadline, c.pool.loop.Now()+maxFrameDurationMs)
	}
	return true
}

// write encodes the waiting calls, at the last moment so that d is what remains, and writes.
func (c *connection) write() {
	if c.closed || !c.established {
		return
	}
	now := c.pool.loop.Now()
	c.expireUnencoded(now)
	for {
		if err := c.stream.Flush(); err != nil {
			c.close(logs.BackendReset, err)
			return
		}
		if len(c.stream.Out) > 0 || len(c.unencoded) == 0 {
			break
		}
		k := c.unencoded[0]
		c.unencoded = c.unencoded[1:]
		c.stream.Out = beginFrame(c.stream.Out, frameQuery)
		for _, o := range k.parts {
			if !o.ended {
				c.stream.Out = appendPart(c.stream.Out, o.id, o.attempt, int(math.Ceil(max(o.attempt.Deadline-now, 1))), o.attempt.Query)
			}
		}
		c.stream.Out = finishFrame(c.stream.Out, 0)
		c.queuedBytes += uint64(len(c.stream.Out))
		k.endOffset = c.queuedBytes
	}
	want := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(c.stream.Out) > 0 {
		want |= unix.EPOLLOUT
	}
	c.stream.SetEvents(want)
}

// removePart takes a part off the connection, and its call when that was the last.
func (c *connection) removePart(o *part) {
	if c.partsByID[o.id] == o {
		delete(c.partsByID, o.id)
	}
	k := o.call
	if k.partsInFlight--; k.partsInFlight > 0 {
		return
	}
	is := func(x *call) bool { return x == k }
	c.calls, c.unencoded = slices.DeleteFunc(c.calls, is), slices.DeleteFunc(c.unencoded, is)
	c.startIdle()
}

// startIdle notes since when the connection stands idle.
func (c *connection) startIdle() {
	c.idleCloseAt = math.Inf(1)
	if len(c.calls) == 0 {
		if c.backend.usableConnections() > c.pool.connectionLimit.current(c.pool.loop.Now()) {
			c.retire(logs.BackendConnectionLimit)
		}
		k := c.pool.options.KeepAlive
		c.idleCloseAt = c.pool.loop.Now() + max(min(k*idleCloseRatio, k-idleCloseMarginMs), 0)
	}
}

// retire lets the connection end with what is out on it.
func (c *connection) retire(why logs.Code) {
	if c.retiredFor == "" {
		c.retiredFor = why
	}
}
