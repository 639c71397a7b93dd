package backends

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"golang.org/x/sys/unix"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

// connection is a connection to a backend.
type connection struct {
	pool    *Pool
	backend    *backend
	stream       *loop.Stream
	established      bool
	closed  bool
	retiredFor logs.Code // takes nothing new, and why; empty if it does
	calls   []*call
	unencoded []*call // of calls: those not yet encoded
	partsByID    map[string]*part
	abandoned   map[string]bool // parts given up, whose answers may still come
	queuedBytes  uint64          // bytes handed to the stream so far
	served  int
	peerEnded   bool // the backend has ended it: what is read now was its last
	pendingRejection   *part // answered busy, the first here: told once it is known whether the connection ends with it
	rejectionDueAt float64
	openedAt  float64
	lastReceivedAt   float64 // when bytes last came, or it came up
	dialDeadline  float64
	idleCloseAt  float64 // when it is closed as idle
	frameDeadline   float64 // when a frame that is not whole is taken for one that never will be
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

// handleAnswer takes one frame of the backend. Where it cannot be used it names the part that it was for, if it can.
func (c *connection) handleAnswer(letter byte, rest []byte) (*part, error) {
	if letter != frameAnswer {
		// No probe is sent, so nothing but answers can be good; an E says that we were not understood.
		return nil, fmt.Errorf("%w: letter %q: %.100q", errMalformedFrame, letter, rest)
	}
	a, err := parseAnswer(rest, c.pool.options.Resharding)
	o := c.partsByID[a.partID]
	switch {
	case err != nil:
		return o, err
	case o == nil && c.abandoned[a.partID]:
		delete(c.abandoned, a.partID)
		return nil, nil // given up before: a late answer is ignored
	case o == nil || o.call.endOffset == 0 || o == c.pendingRejection:
		// A second copy, or somebody else's: the part that it stands for will never be answered here.
		return nil, fmt.Errorf("%w: part %.100q is not out", errMalformedFrame, a.partID)
	}
	if c.pendingRejection != nil {
		c.reportPendingRejection() // it answers more: it is held
	}
	if a.status == statusRejected && c.served == 0 && !c.peerEnded {
		c.pendingRejection, c.rejectionDueAt = o, c.lastReceivedAt+immediateLossMs
		return o, nil
	}
	o.ended = true
	if k := o.call; k.idleBefore > 0 {
		c.pool.idleRisk.record(c.lastReceivedAt, k.idleBefore, false)
	}
	c.removePart(o)
	c.served++
	switch a.status {
	case statusOK:
		c.pool.core.AttemptEnded(o.attempt, scheduler.Succeeded, slices.Clone(a.value))
	case statusFailed:
		c.pool.core.AttemptEnded(o.attempt, scheduler.Failed, nil)
	case statusRejected:
		if c.served == 1 && c.peerEnded {
			c.rejectedByLimit(o)
		}
		c.pool.core.AttemptEnded(o.attempt, scheduler.Rejected, nil)
	case statusNotHolder:
		o.attempt.BackendEpoch = a.epoch
		c.pool.core.AttemptEnded(o.attempt, scheduler.NotHolder, nil)
	}
	return o, nil
}

// rejectedByLimit notes that the backend holds no more connections: it answered the first part on this one with busy
// and ended it. That says nothing of its queue.
func (c *connection) rejectedByLimit(o *part) {
	c.pool.connectionLimit.connectionRejected(c.pool.loop.Now(), c.openedAt)
	o.attempt.ConnectionOnly = true
}

// reportPendingRejection tells the first part's end as a full queue's: the connection has not ended with it.
func (c *connection) reportPendingRejection() {
	o := c.pendingRejection
	c.pendingRejection = nil
	if c.served++; !o.ended {
		o.ended = true
		c.removePart(o)
		c.pool.core.AttemptEnded(o.attempt, scheduler.Rejected, nil)
	}
}

// closeMalformed closes a connection on which something came that cannot be used: nothing good comes on it any
// more. The part that was answered so, or else the one that has waited longest, has failed and may have
// run; so may the others have, of which nothing is said against the backend.
func (c *connection) closeMalformed(o *part, err error) {
	for i := 0; o == nil && i < len(c.calls); i++ {
		for _, x := range c.calls[i].parts {
			if o == nil && !x.ended && x.call.endOffset > 0 {
				o = x
			}
		}
	}
	if o != nil && !o.ended {
		o.ended = true
		c.pool.core.AttemptEnded(o.attempt, scheduler.Failed, nil)
	}
	c.close(logs.BackendMalformedFrame, err)
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

// retire lets the connection end with what is out on it.
func (c *connection) retire(why logs.Code) {
	if c.retiredFor == "" {
		c.retiredFor = why
	}
}

// startDeadline is when the first part that is not wholly written has to be, if any is.
func (c *connection) startDeadline() float64 {
	by := math.Inf(1)
	if len(c.unencoded) == 0 && (len(c.calls) == 0 || len(c.stream.Out) == 0) {
		return by // all is written, as nearly always
	}
	for _, k := range c.calls {
		if k.endOffset > 0 && k.endOffset <= c.stream.BytesWritten {
			continue
		}
		for _, o := range k.parts {
			if !o.ended || k.endOffset > 0 {
				by = min(by, o.attempt.StartBy)
			}
		}
	}
	return by
}

// endStalled gives up parts whose time to begin is over; the connection gets no new ones. A frame that is written
// in part can only be taken back by closing the connection.
func (c *connection) endStalled(now float64) {
	for _, k := range c.calls {
		if k.endOffset > c.stream.BytesWritten && slices.ContainsFunc(k.parts, func(o *part) bool { return now >= o.attempt.StartBy }) {
			c.close(logs.BackendWriteStalled, nil)
			return
		}
	}
	c.retire(logs.BackendWriteStalled)
	c.expireUnencoded(now)
}

// expireUnencoded takes out of the waiting calls what may not begin any more.
func (c *connection) expireUnencoded(now float64) {
	for _, k := range slices.Clone(c.unencoded) {
		for _, o := range k.parts {
			if !o.ended && now >= o.attempt.StartBy {
				o.ended = true
				c.removePart(o)
				c.pool.core.AttemptEndedLater(o.attempt, scheduler.ConnectFailed)
			}
		}
	}
}

// isConnectionOnly tells that only this connection broke and the backend stands: another to it does, or it broke as soon
// as it was used again, where the end of a process would have shown while it was idle. The latter also
// tells for how long connections may be idle. Guards backends against being held for lost, and for cold once
// they serve again.
func (c *connection) isConnectionOnly(code logs.Code) bool {
	if code != logs.BackendReset && code != logs.BackendClosed && code != logs.BackendConnectFailed {
		return false
	}
	now := c.pool.loop.Now()
	if len(c.calls) == 1 && c.calls[0].endOffset > 0 {
		if k := c.calls[0]; now-k.sentAt < immediateLossMs && k.idleBefore > immediateLossMs {
			c.pool.idleRisk.record(now, k.idleBefore, true)
			return true
		}
	}
	return slices.ContainsFunc(c.backend.connections, func(x *connection) bool { return x != c && x.established && x.stream.PeerOpen() })
}

// close ends the connection and every part out on it: one whose frame was not wholly written never ran, any
// other may have.
func (c *connection) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.stream.Close()
	c.pool.connectionCount--
	alone := c.isConnectionOnly(code)
	broken := scheduler.ConnectionReset
	if code == logs.BackendMalformedFrame || code == logs.BackendUnresponsive {
		broken = scheduler.Cancelled // it is we who end it
	}
	c.backend.connections = slices.DeleteFunc(c.backend.connections, func(x *connection) bool { return x == c })
	c.pool.log.ConnectionEnded(code, c.backend.address, c.served, err)
	for _, k := range c.calls {
		outcome := scheduler.ConnectFailed
		if k.endOffset > 0 && k.endOffset <= c.stream.BytesWritten {
			outcome = broken
		}
		for _, o := range k.parts {
			if !o.ended {
				end := outcome
				if o.ended, o.attempt.ConnectionOnly = true, alone; o == c.pendingRejection {
					if end = scheduler.Rejected; code == logs.BackendClosed || code == logs.BackendReset {
						c.rejectedByLimit(o)
					}
				}
				c.pool.core.AttemptEndedLater(o.attempt, end)
			}
		}
	}
	c.calls, c.unencoded = nil, nil
}

func appendInt(out []byte, n int) []byte { return strconv.AppendInt(out, int64(n), 10) }
