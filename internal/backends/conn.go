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

// conn is a connection to a backend.
type conn struct {
	pool    *Pool
	node    *node
	s       *loop.Stream
	up      bool
	closed  bool
	retired logs.Code // takes nothing new, and why; empty if it does
	calls   []*call
	waiting []*call // of calls: those not yet encoded
	byID    map[string]*out
	given   map[string]bool // parts given up, whose answers may still come
	queued  uint64          // bytes handed to the stream so far
	served  int
	ended   bool // the backend has ended it: what is read now was its last
	first   *out // answered busy, the first here: told once it is known whether the connection ends with it
	firstBy float64
	opened  float64
	heard   float64 // when bytes last came, or it came up
	dialBy  float64
	idleAt  float64 // when it is closed as idle
	cutAt   float64 // when a frame that is not whole is taken for one that never will be
}

// Ready implements loop.Handler.
func (c *conn) Ready(events uint32) {
	if !c.up {
		if err := loop.SocketError(c.s.FD); err != nil {
			c.close(logs.BackendConnectFailed, err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		c.up, c.heard = true, c.pool.loop.Now()
		c.rest()
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 && !c.read() {
		return
	}
	c.write()
	c.pool.plan()
}

// read takes answers; false if the connection has ended. What came whole before the end counts.
func (c *conn) read() bool {
	for {
		held := len(c.s.In)
		eof, err := c.s.Read(maxRead)
		if len(c.s.In) > held {
			c.heard = c.pool.loop.Now()
		}
		c.ended = eof || err != nil
		full := len(c.s.In) == maxRead // more may be waiting; a long frame in part alone is no reason to go on
		if !c.parse() {
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

func (c *conn) parse() bool {
	at := 0
	for {
		letter, rest, size, err := next(c.s.In[at:])
		var o *out
		if err == nil && size > 0 {
			o, err = c.frame(letter, rest)
		}
		if err != nil {
			c.spoilt(o, err)
			return false
		}
		if size == 0 {
			break
		}
		at += size
		c.cutAt = math.Inf(1)
	}
	if c.s.Consume(at); len(c.s.In) > 0 {
		c.cutAt = min(c.cutAt, c.pool.loop.Now()+wholeMost)
	}
	return true
}

// frame takes one frame of the backend. Where it cannot be used it names the part that it was for, if it can.
func (c *conn) frame(letter byte, rest []byte) (*out, error) {
	if letter != frameAnswer {
		// No probe is sent, so nothing but answers can be good; an E says that we were not understood.
		return nil, fmt.Errorf("%w: letter %q: %.100q", errFrame, letter, rest)
	}
	a, err := parseAnswer(rest, c.pool.o.Resharding)
	o := c.byID[a.id]
	switch {
	case err != nil:
		return o, err
	case o == nil && c.given[a.id]:
		delete(c.given, a.id)
		return nil, nil // given up before: a late answer is ignored
	case o == nil || o.call.end == 0 || o == c.first:
		// A second copy, or somebody else's: the part that it stands for will never be answered here.
		return nil, fmt.Errorf("%w: part %.100q is not out", errFrame, a.id)
	}
	if c.first != nil {
		c.notCrowded() // it answers more: it is held
	}
	if a.end == endBusy && c.served == 0 && !c.ended {
		c.first, c.firstBy = o, c.heard+atOnce
		return o, nil
	}
	o.over = true
	if k := o.call; k.idle > 0 {
		c.pool.risk.note(c.heard, k.idle, false)
	}
	c.done(o)
	c.served++
	switch a.end {
	case endOK:
		c.pool.core.AttemptEnded(o.a, scheduler.Succeeded, slices.Clone(a.value))
	case endErr:
		c.pool.core.AttemptEnded(o.a, scheduler.Failed, nil)
	case endBusy:
		if c.served == 1 && c.ended {
			c.crowded(o)
		}
		c.pool.core.AttemptEnded(o.a, scheduler.Rejected, nil)
	case endGone:
		o.a.BackendEpoch = a.epoch
		c.pool.core.AttemptEnded(o.a, scheduler.NotHolder, nil)
	}
	return o, nil
}

// crowded notes that the backend holds no more connections: it answered the first part on this one with busy
// and ended it. That says nothing of its queue.
func (c *conn) crowded(o *out) {
	c.pool.limit.turnedAway(c.pool.loop.Now(), c.opened)
	o.a.ConnectionOnly = true
}

// notCrowded tells the first part's end as a full queue's: the connection has not ended with it.
func (c *conn) notCrowded() {
	o := c.first
	c.first = nil
	if c.served++; !o.over {
		o.over = true
		c.done(o)
		c.pool.core.AttemptEnded(o.a, scheduler.Rejected, nil)
	}
}

// spoilt closes a connection on which something came that cannot be used: nothing good comes on it any
// more. The part that was answered so, or else the one that has waited longest, has failed and may have
// run; so may the others have, of which nothing is said against the backend.
func (c *conn) spoilt(o *out, err error) {
	for i := 0; o == nil && i < len(c.calls); i++ {
		for _, x := range c.calls[i].parts {
			if o == nil && !x.over && x.call.end > 0 {
				o = x
			}
		}
	}
	if o != nil && !o.over {
		o.over = true
		c.pool.core.AttemptEnded(o.a, scheduler.Failed, nil)
	}
	c.close(logs.BackendMalformedFrame, err)
}

// done takes a part off the connection, and its call when that was the last.
func (c *conn) done(o *out) {
	if c.byID[o.id] == o {
		delete(c.byID, o.id)
	}
	k := o.call
	if k.left--; k.left > 0 {
		return
	}
	is := func(x *call) bool { return x == k }
	c.calls, c.waiting = slices.DeleteFunc(c.calls, is), slices.DeleteFunc(c.waiting, is)
	c.rest()
}

// rest notes since when the connection stands idle.
func (c *conn) rest() {
	c.idleAt = math.Inf(1)
	if len(c.calls) == 0 {
		if c.node.usable() > c.pool.limit.now(c.pool.loop.Now()) {
			c.retire(logs.BackendConnectionLimit)
		}
		k := c.pool.o.KeepAlive
		c.idleAt = c.pool.loop.Now() + max(min(k*idleShare, k-idleSpare), 0)
	}
}

// write encodes the waiting calls, at the last moment so that d is what remains, and writes.
func (c *conn) write() {
	if c.closed || !c.up {
		return
	}
	now := c.pool.loop.Now()
	c.expire(now)
	for {
		if err := c.s.Flush(); err != nil {
			c.close(logs.BackendReset, err)
			return
		}
		if len(c.s.Out) > 0 || len(c.waiting) == 0 {
			break
		}
		k := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.s.Out = begin(c.s.Out, frameQuery)
		for _, o := range k.parts {
			if !o.over {
				c.s.Out = appendPart(c.s.Out, o.id, o.a, int(math.Ceil(max(o.a.Deadline-now, 1))), o.a.Query)
			}
		}
		c.s.Out = finish(c.s.Out, 0)
		c.queued += uint64(len(c.s.Out))
		k.end = c.queued
	}
	want := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(c.s.Out) > 0 {
		want |= unix.EPOLLOUT
	}
	c.s.SetEvents(want)
}

// retire lets the connection end with what is out on it.
func (c *conn) retire(why logs.Code) {
	if c.retired == "" {
		c.retired = why
	}
}

// sendBy is when the first part that is not wholly written has to be, if any is.
func (c *conn) sendBy() float64 {
	by := math.Inf(1)
	if len(c.waiting) == 0 && (len(c.calls) == 0 || len(c.s.Out) == 0) {
		return by // all is written, as nearly always
	}
	for _, k := range c.calls {
		if k.end > 0 && k.end <= c.s.BytesWritten {
			continue
		}
		for _, o := range k.parts {
			if !o.over || k.end > 0 {
				by = min(by, o.a.StartBy)
			}
		}
	}
	return by
}

// stuck gives up parts whose time to begin is over; the connection gets no new ones. A frame that is written
// in part can only be taken back by closing the connection.
func (c *conn) stuck(now float64) {
	for _, k := range c.calls {
		if k.end > c.s.BytesWritten && slices.ContainsFunc(k.parts, func(o *out) bool { return now >= o.a.StartBy }) {
			c.close(logs.BackendWriteStalled, nil)
			return
		}
	}
	c.retire(logs.BackendWriteStalled)
	c.expire(now)
}

// expire takes out of the waiting calls what may not begin any more.
func (c *conn) expire(now float64) {
	for _, k := range slices.Clone(c.waiting) {
		for _, o := range k.parts {
			if !o.over && now >= o.a.StartBy {
				o.over = true
				c.done(o)
				c.pool.core.AttemptEndedLater(o.a, scheduler.ConnectFailed)
			}
		}
	}
}

// alone tells that only this connection broke and the backend stands: another to it does, or it broke as soon
// as it was used again, where the end of a process would have shown while it was idle. The latter also
// tells for how long connections may be idle. Guards backends against being held for lost, and for cold once
// they serve again.
func (c *conn) alone(code logs.Code) bool {
	if code != logs.BackendReset && code != logs.BackendClosed && code != logs.BackendConnectFailed {
		return false
	}
	now := c.pool.loop.Now()
	if len(c.calls) == 1 && c.calls[0].end > 0 {
		if k := c.calls[0]; now-k.sent < atOnce && k.idle > atOnce {
			c.pool.risk.note(now, k.idle, true)
			return true
		}
	}
	return slices.ContainsFunc(c.node.conns, func(x *conn) bool { return x != c && x.up && x.s.PeerOpen() })
}

// close ends the connection and every part out on it: one whose frame was not wholly written never ran, any
// other may have.
func (c *conn) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.s.Close()
	c.pool.conns--
	alone := c.alone(code)
	broken := scheduler.ConnectionReset
	if code == logs.BackendMalformedFrame || code == logs.BackendUnresponsive {
		broken = scheduler.Cancelled // it is we who end it
	}
	c.node.conns = slices.DeleteFunc(c.node.conns, func(x *conn) bool { return x == c })
	c.pool.log.ConnectionEnded(code, c.node.addr, c.served, err)
	for _, k := range c.calls {
		outcome := scheduler.ConnectFailed
		if k.end > 0 && k.end <= c.s.BytesWritten {
			outcome = broken
		}
		for _, o := range k.parts {
			if !o.over {
				end := outcome
				if o.over, o.a.ConnectionOnly = true, alone; o == c.first {
					if end = scheduler.Rejected; code == logs.BackendClosed || code == logs.BackendReset {
						c.crowded(o)
					}
				}
				c.pool.core.AttemptEndedLater(o.a, end)
			}
		}
	}
	c.calls, c.waiting = nil, nil
}

func appendInt(out []byte, n int) []byte { return strconv.AppendInt(out, int64(n), 10) }
