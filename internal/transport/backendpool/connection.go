package backendpool

import (
	"math"
	"slices"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// maxUnparsedBytes is the maximum size of the input that is read and not yet parsed. It is enough for one frame and
// the beginning of the next.
const maxUnparsedBytes = 2 * maxFrameBytes

// connection is one connection to a backend.
type connection struct {
	pool    *Pool
	backend *backendState
	stream  *loop.Stream

	established  bool
	closed       bool
	peerClosed   bool      // the backend closed or reset the connection: the input being parsed is the last
	retireReason logs.Code // why the connection takes no new calls; "" if it does

	calls         []*call          // in flight
	unencoded     []*call          // the calls in flight whose frame is not in the output yet
	partsByID     map[string]*part // in flight, by ID
	abandoned     map[string]bool  // IDs of abandoned parts that may still be answered
	partsAnswered int              // answers of any status
	queuedBytes   uint64           // appended to the output since the connection was opened

	// pendingRejection is the part that the first answer on this connection rejected. Its outcome is reported when it
	// is known whether the backend closes the connection after it (see connection_limit.go), at rejectionDueAt at the
	// latest. Until then its call stays in calls.
	pendingRejection *part
	rejectionDueAt   float64

	openedAt       float64
	dialDeadline   float64 // when the connection must be established
	lastReceivedAt float64 // when bytes were last received; initially when it was opened, then when established
	idleCloseAt    float64 // when the connection is closed as idle; +Inf while it has calls
	frameDeadline  float64 // when a partly received frame counts as malformed; +Inf if there is none
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

// read reads up to maxUnparsedBytes of input, handles its frames, and returns false if the connection was closed. It
// handles complete frames even if the backend closed or reset the connection after them. The loop reports input that is
// left as another event, so that a backend that sends continuously does not hold up other connections.
func (c *connection) read() (open bool) {
	unparsedBytes := len(c.stream.In)
	eof, err := c.stream.Read(maxUnparsedBytes)
	if len(c.stream.In) > unparsedBytes {
		c.lastReceivedAt = c.pool.loop.Now()
	}
	c.peerClosed = eof || err != nil
	if ok := c.handleFrames(); !ok {
		return false
	}
	switch {
	case err != nil:
		c.close(logs.BackendReset, err)
		return false
	case eof:
		c.close(logs.BackendClosed, nil)
		return false
	}
	return true
}

// handleFrames handles the complete frames in the input. If a frame is malformed, it closes the connection and
// returns false.
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

// write encodes calls and writes as much output as the kernel accepts. It encodes a call only after all earlier
// output has been written, so that the remaining time that the frame announces to the backend is accurate.
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

// encode appends the frame of a call to the output. It leaves out parts that have ended.
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

// endFrame completes the frame that begins at Out[start] and adds its size to queuedBytes.
func (c *connection) endFrame(start int) {
	endFrame(c.stream.Out, start)
	c.queuedBytes += uint64(len(c.stream.Out) - start)
}

// isWritten reports whether the kernel has accepted the call's whole frame. From then on its parts may run.
func (c *connection) isWritten(call *call) bool {
	return call.isEncoded() && call.endOffset <= c.stream.BytesWritten
}

// removePart removes a part from the connection. It removes the call with the call's last part.
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

// retire makes the connection take no new calls and be closed when no call is in flight. The reason of the first call
// of retire is kept.
func (c *connection) retire(reason logs.Code) {
	if c.retireReason == "" {
		c.retireReason = reason
	}
}
