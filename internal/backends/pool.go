package backends

import (
	"fmt"
	"math"
	"slices"

	"golang.org/x/sys/unix"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

// Options are the limits of the pool, from the settings.
type Options struct {
	MaxPartsPerCall      int     // parts in one call
	StreamsPerConnection int     // calls out on one connection
	DialTimeout          float64 // ms
	KeepAlive            float64 // ms after which a backend closes an idle connection
	MaxConnections       int     // connections to all backends together
	Resharding           bool    // slices move: a backend may say that it does not hold one

	FreeDescriptor func() bool // closes what can be spared where the process has no descriptor left; nil for nothing
}

const (
	idleCloseRatio = 0.9    // of the backend's idle time, after which we close: a close that crosses a part resets it
	idleCloseMarginMs = 1500.0 // ms: at least so long before the backend does
	maxUnparsedBytes   = 2 * maxFrameBytes

	maxFrameDurationMs = 300.0 // ms from a frame's first byte to its last
	maxAbandonedParts = 64    // parts given up on a connection that may still be answered
	immediateLossMs    = 5.0   // ms after which a connection that breaks did so under the part, not before it
	maxNonIdempotentIdleMs  = 250.0 // ms since a connection was last used, within which it may carry a part that must not
	// run twice: one that has gone dead unseen would lose it
)

// Core takes the outcomes.
type Core interface {
	AttemptEnded(a *core.Attempt, o scheduler.Outcome, value []byte)
	AttemptEndedLater(a *core.Attempt, o scheduler.Outcome)
}

// Pool holds the connections to all backends. It implements core.Backend.
type Pool struct {
	loop    *loop.Loop
	core    Core
	log     *logs.Log
	options       Options
	address func(node uint32) string
	backends   map[uint32]*backend
	unflushed   []*backend // sent to in this turn
	connectionCount   int
	idleRisk    idleRisk
	connectionLimit   connectionLimit
	timer   *loop.Timer
}

// NewPool makes a pool; address looks a node's address up.
func NewPool(l *loop.Loop, c Core, log *logs.Log, o Options, address func(uint32) string) *Pool {
	o.MaxPartsPerCall, o.StreamsPerConnection, o.MaxConnections = max(o.MaxPartsPerCall, 1), max(o.StreamsPerConnection, 1), max(o.MaxConnections, 1)
	p := &Pool{loop: l, core: c, log: log, options: o, address: address, backends: map[uint32]*backend{}}
	p.timer = l.NewTimer(p.enforceTimeouts)
	return p
}

type backend struct {
	replica uint32
	address   string
	connections  []*connection
	unplaced   []*core.Attempt // sent in this turn, not yet in calls
}

// usableConnections is how many connections take calls.
func (l *backend) usableConnections() (n int) {
	for _, c := range l.connections {
		if c.retiredFor == "" && c.pendingRejection == nil {
			n++
		}
	}
	return n
}

// call is one Q frame.
type call struct {
	connection  *connection
	parts []*part
	partsInFlight  int // parts out
	sentAt  float64
	endOffset   uint64  // the frame's last byte, counted on its connection; 0 until it is encoded
	idleBefore  float64 // ms that its connection had been idle
}

// part is a part that is out; it is the attempt's handle.
type part struct {
	attempt    *core.Attempt
	id   string
	call *call
	ended bool
}

// Send implements core.Backend.
func (p *Pool) Send(a *core.Attempt) {
	l := p.backends[a.Backend]
	if l == nil {
		l = &backend{replica: a.Backend}
		p.backends[a.Backend] = l
	}
	if len(l.unplaced) == 0 {
		p.unflushed = append(p.unflushed, l)
	}
	l.unplaced = append(l.unplaced, a)
}

// Flush implements core.Backend: the parts of this turn go out in calls.
func (p *Pool) Flush() {
	dirty := p.unflushed
	p.unflushed = nil
	for _, l := range dirty {
		turn := l.unplaced
		l.unplaced = nil
		if addr := p.address(l.replica); addr != l.address {
			// A new address: connections to the old one take nothing new.
			for _, c := range l.connections {
				c.retire(logs.BackendAddressChanged)
			}
			l.address = addr
		}
		for parts := range slices.Chunk(turn, p.options.MaxPartsPerCall) {
			p.placeCall(l, parts)
		}
		for _, c := range slices.Clone(l.connections) {
			c.write()
		}
	}
	p.armTimer()
}

// placeCall gives a call to a connection.
func (p *Pool) placeCall(l *backend, parts []*core.Attempt) {
	k := &call{sentAt: p.loop.Now()}
	for _, a := range parts {
		o := &part{attempt: a, id: partID(a), call: k}
		a.Handle = o
		k.parts = append(k.parts, o)
	}
	k.partsInFlight = len(k.parts)
	best := p.selectConnection(l, slices.ContainsFunc(parts, func(a *core.Attempt) bool { return a.NonIdempotent }))
	if best == nil {
		for _, o := range k.parts {
			o.ended = true
			p.core.AttemptEndedLater(o.attempt, scheduler.ConnectFailed)
		}
		return
	}
	if k.connection = best; best.established && len(best.calls) == 0 {
		k.idleBefore = p.loop.Now() - best.lastReceivedAt
	}
	best.calls, best.unencoded = append(best.calls, k), append(best.unencoded, k)
	best.idleCloseAt = math.Inf(1)
	for _, o := range k.parts {
		best.partsByID[o.id] = o
	}
}

// selectConnection is the connection for a call. Calls share one only when there are many: whatever comes spoilt or
// breaks off takes all with it that is out beside it. Of idle ones it takes the one used last, so that
// others can go. once tells that the call must not be lost with a connection that has gone dead while
// nobody looked.
func (p *Pool) selectConnection(l *backend, once bool) *connection {
	var best *connection
	now, most := p.loop.Now(), max(1, min(p.connectionLimit.current(p.loop.Now()), p.options.MaxConnections/max(len(p.backends), 1)))
	for _, c := range l.connections {
		unused := 0.0
		if c.established && len(c.calls) == 0 {
			unused = now - c.lastReceivedAt
		}
		if !p.idleRisk.allows(now, unused, maxLossRate) {
			c.retire(logs.BackendIdle)
		}
		if c.retiredFor != "" || c.pendingRejection != nil || len(c.calls)+len(c.abandoned) >= p.options.StreamsPerConnection ||
			once && (unused > maxNonIdempotentIdleMs || !p.idleRisk.allows(now, unused, maxNonIdempotentLossRate)) {
			continue
		}
		if best == nil || len(c.calls) < len(best.calls) ||
			len(c.calls) == len(best.calls) && c.lastReceivedAt > best.lastReceivedAt {
			best = c
		}
	}
	if best == nil || len(best.calls) > 0 && l.usableConnections() < most && p.connectionCount < p.options.MaxConnections {
		if c := p.openConnection(l); c != nil {
			return c
		}
	}
	return best
}

// Withdraw implements core.Backend.
func (p *Pool) Withdraw(a *core.Attempt) bool {
	if l := p.backends[a.Backend]; l != nil {
		if i := slices.Index(l.unplaced, a); i >= 0 {
			l.unplaced = slices.Delete(l.unplaced, i, i+1)
			return true
		}
	}
	o, _ := a.Handle.(*part)
	if o == nil || o.ended || o.call.endOffset > 0 {
		return false
	}
	o.ended = true
	o.call.connection.removePart(o) // not encoded: it is left out of the frame
	return true
}

// Abandon implements core.Backend.
func (p *Pool) Abandon(a *core.Attempt) (neverRan bool) {
	if p.Withdraw(a) {
		return true
	}
	o, _ := a.Handle.(*part)
	if o == nil || o.ended {
		return false
	}
	k, c := o.call, o.call.connection
	o.ended = true
	if c.abandoned[o.id] = true; c.lastReceivedAt < k.sentAt {
		// Nothing has come since the part went out: the connection may have gone dead unseen. A new one tells
		// whether the backend can be reached.
		c.retire(logs.BackendUnresponsive)
	}
	if len(c.abandoned) > maxAbandonedParts {
		c.retire(logs.BackendUnresponsive)
	}
	at := len(c.stream.Out)
	c.stream.Out = finishFrame(append(beginFrame(c.stream.Out, frameAbandon), o.id...), at)
	c.queuedBytes += uint64(len(c.stream.Out) - at)
	c.removePart(o)
	c.write()
	return false
}

// CloseIdleConnections implements core.Backend.
func (p *Pool) CloseIdleConnections(node uint32) {
	if l := p.backends[node]; l != nil {
		for _, c := range slices.Clone(l.connections) {
			if len(c.calls) == 0 {
				c.close(logs.BackendIdle, nil)
			}
		}
	}
}

// OpenConnections is how many connections there are.
func (p *Pool) OpenConnections() int { return p.connectionCount }

// Close closes what is open, at the end of the program.
func (p *Pool) Close() {
	for _, l := range p.backends {
		for _, c := range slices.Clone(l.connections) {
			c.close(logs.Shutdown, nil)
		}
	}
}

// evictIdleConnection closes the connection that has stood idle longest, so that another backend can be reached.
func (p *Pool) evictIdleConnection() bool {
	var idle *connection
	for _, l := range p.backends {
		for _, c := range l.connections {
			if len(c.calls) == 0 && c.established && (idle == nil || c.idleCloseAt < idle.idleCloseAt) {
				idle = c
			}
		}
	}
	if idle == nil {
		return false
	}
	idle.close(logs.BackendEvicted, nil)
	return true
}

// enforceTimeouts closes what is idle, gives up dials that take too long and parts that wait unwritten.
func (p *Pool) enforceTimeouts() {
	now := p.loop.Now()
	for _, l := range p.backends {
		for _, c := range slices.Clone(l.connections) {
			switch {
			case !c.established && now >= c.dialDeadline:
				c.close(logs.BackendDialTimeout, nil)
			case c.pendingRejection != nil && now >= c.rejectionDueAt:
				c.reportPendingRejection()
			case now >= c.frameDeadline:
				c.closeMalformed(nil, fmt.Errorf("%w: it does not come whole", errMalformedFrame))
			case len(c.calls) == 0 && c.retiredFor != "":
				c.close(c.retiredFor, nil)
			case len(c.calls) == 0 && now >= c.idleCloseAt:
				c.close(logs.BackendIdle, nil)
			case now >= c.startDeadline():
				c.endStalled(now)
			}
		}
		if len(l.connections) == 0 && len(l.unplaced) == 0 && p.address(l.replica) == "" {
			delete(p.backends, l.replica)
		}
	}
	p.armTimer()
}

// armTimer sets the pool's one timer.
func (p *Pool) armTimer() {
	next := math.Inf(1)
	for _, l := range p.backends {
		for _, c := range l.connections {
			if !c.established {
				next = min(next, c.dialDeadline)
			} else {
				next = min(next, c.idleCloseAt, c.frameDeadline)
			}
			if c.pendingRejection != nil {
				next = min(next, c.rejectionDueAt)
			}
			if c.retiredFor != "" && len(c.calls) == 0 {
				next = min(next, p.loop.Now())
			}
			next = min(next, c.startDeadline())
		}
	}
	p.timer.Set(next)
}

// partID is the part's name on the wire. Where slices move, one may be asked for several ranges of districts
// by one query, so the first district is part of the name.
func partID(a *core.Attempt) string {
	out := appendInt(append([]byte(a.Request), '.'), a.Shard)
	if a.Epoch > 0 {
		out = appendInt(append(out, '.'), a.Buckets.Start)
	}
	return string(out)
}

// openConnection opens a connection; nil if there can be none.
func (p *Pool) openConnection(l *backend) *connection {
	if p.connectionCount >= p.options.MaxConnections && !p.evictIdleConnection() || l.address == "" {
		return nil
	}
	fd, err := loop.ConnectFreeing(l.address, func() bool { return p.options.FreeDescriptor != nil && p.options.FreeDescriptor() || p.evictIdleConnection() })
	now := p.loop.Now()
	c := &connection{pool: p, backend: l, partsByID: map[string]*part{}, abandoned: map[string]bool{}, openedAt: now,
		dialDeadline: now + p.options.DialTimeout, lastReceivedAt: now, idleCloseAt: math.Inf(1), frameDeadline: math.Inf(1)}
	if err == nil {
		c.stream, err = loop.NewStream(p.loop, fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP, c)
	}
	if err != nil {
		p.log.ConnectionEnded(logs.BackendConnectFailed, l.address, 0, err)
		return nil
	}
	l.connections = append(l.connections, c)
	p.connectionCount++
	return c
}
