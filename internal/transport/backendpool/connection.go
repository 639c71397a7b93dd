package backendpool

import (
	"math"
	"slices"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// maxUnparsedBytes bounds what is read and not yet parsed: one frame and the beginning of the next.
const maxUnparsedBytes = 2 * maxFrameBytes

// connection is one connection to a backend.
type connection struct {
	pool    *Pool
	backend *backendState
	stream  *loop.Stream

	established  bool
	closed       bool
	peerClosed   bool      // the backend ended or reset it: what is being parsed is the last that came
	retireReason logs.Code // why it takes no new calls; "" while it does

	calls         []*call          // in flight
	unencoded     []*call          // of calls: those whose frame is not yet in the output
	partsByID     map[string]*part // in flight
	abandoned     map[string]bool  // parts that are no longer wanted and may still be answered
	partsAnswered int              // parts that were answered, whatever the answer
	queuedBytes   uint64           // handed to the stream since the connection was opened

	// pendingRejection is the first part that was answered on this connection, if it was rejected. Its outcome is
	// reported once it is known whether the connection ends with it (see connection_limit.go), at rejectionDueAt at the
	// latest. It stays in calls until then.
	pendingRejection *part
	rejectionDueAt   float64

	openedAt       float64
	dialDeadline   float64 // when it must be established
	lastReceivedAt float64 // when bytes last came; before the first, when it was opened or established
	idleCloseAt    float64 // when it is closed as idle; +Inf while it has calls
	frameDeadline  float64 // when a partly received frame counts as malformed; +Inf without one
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
		c.established = true
		c.lastReceivedAt = c.pool.loop.Now()
		c.scheduleIdleClose()
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		open := c.read()
		if !open {
			return
		}
	}
	c.write()
	c.pool.armTimer()
}

// read takes answers and returns false if the connection has ended. Complete answers count even if the connection
// ended after them.
func (c *connection) read() (open bool) {
	for {
		unparsedBytes := len(c.stream.In)
		eof, err := c.stream.Read(maxUnparsedBytes)
		if len(c.stream.In) > unparsedBytes {
			c.lastReceivedAt = c.pool.loop.Now()
		}
		c.peerClosed = eof || err != nil
		bufferFull := len(c.stream.In) == maxUnparsedBytes // more may be waiting in the kernel
		ok := c.handleFrames()
		switch {
		case !ok:
			return false
		case err != nil:
			c.close(logs.BackendReset, err)
			return false
		case eof:
			c.close(logs.BackendClosed, nil)
			return false
		case !bufferFull:
			return true
		}
	}
}

// handleFrames handles the complete frames of the input. A malformed one closes the connection; then it returns false.
func (c *connection) handleFrames() (ok bool) {
	parsedBytes := 0
	for {
		frame, err := nextFrame(c.stream.In[parsedBytes:])
		if err != nil {
			c.closeMalformed(nil, err)
			return false
		}
		if frame.sizeBytes == 0 {
			break
		}
		part, err := c.handleFrame(frame)
		if err != nil {
			c.closeMalformed(part, err)
			return false
		}
		parsedBytes += frame.sizeBytes
		c.frameDeadline = math.Inf(1)
	}
	c.stream.Consume(parsedBytes)
	if len(c.stream.In) > 0 {
		c.frameDeadline = min(c.frameDeadline, c.pool.loop.Now()+maxFrameDurationMs)
	}
	return true
}

// write encodes the waiting calls and writes what the kernel takes. A call is encoded only when all before it is
// written, so that the time that it announces to the backend is what really remains.
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
		call := c.unencoded[0]
		c.unencoded = c.unencoded[1:]
		c.encode(call, now)
	}
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(c.stream.Out) > 0 {
		events |= unix.EPOLLOUT
	}
	c.stream.SetEvents(events)
}

// encode appends the frame of a call to the output, without the parts that have ended meanwhile.
func (c *connection) encode(call *call, now float64) {
	start := len(c.stream.Out)
	c.stream.Out = beginFrame(c.stream.Out, frameQuery)
	for _, part := range call.parts {
		if part.ended {
			continue
		}
		remainingMs := int(math.Ceil(max(part.attempt.Deadline-now, 1)))
		c.stream.Out = appendPart(c.stream.Out, part.id, part.attempt, remainingMs)
	}
	c.endFrame(start)
	call.endOffset = c.queuedBytes
}

// endFrame ends the frame that begins at this position of the output, and counts its bytes.
func (c *connection) endFrame(start int) {
	endFrame(c.stream.Out, start)
	c.queuedBytes += uint64(len(c.stream.Out) - start)
}

// isWritten reports whether the kernel has taken the call's frame completely: from then on its parts may run.
func (c *connection) isWritten(call *call) bool {
	return call.isEncoded() && call.endOffset <= c.stream.BytesWritten
}

// removePart takes a part off the connection, and its call with the last one.
func (c *connection) removePart(part *part) {
	if c.partsByID[part.id] == part {
		delete(c.partsByID, part.id)
	}
	call := part.call
	call.partsInFlight--
	if call.partsInFlight > 0 {
		return
	}
	c.calls = slices.DeleteFunc(c.calls, call.equals)
	c.unencoded = slices.DeleteFunc(c.unencoded, call.equals)
	c.scheduleIdleClose()
}

// retire ends the connection once it has no call in flight; it takes no new ones. The first reason counts.
func (c *connection) retire(reason logs.Code) {
	if c.retireReason == "" {
		c.retireReason = reason
	}
}
