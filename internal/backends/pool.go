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
	idleShare = 0.9    // of the backend's idle time, after which we close: a close that crosses a part resets it
	idleSpare = 1500.0 // ms: at least so long before the backend does
	maxRead   = 2 * maxFrame

	wholeMost = 300.0 // ms from a frame's first byte to its last
	givenMost = 64    // parts given up on a connection that may still be answered
	atOnce    = 5.0   // ms after which a connection that breaks did so under the part, not before it
	freshFor  = 250.0 // ms since a connection was last used, within which it may carry a part that must not
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
	o       Options
	address func(node uint32) string
	nodes   map[uint32]*node
	dirty   []*node // sent to in this turn
	conns   int
	risk    idleRisk
	limit   connLimit
	timer   *loop.Timer
}

// NewPool makes a pool; address looks a node's address up.
func NewPool(l *loop.Loop, c Core, log *logs.Log, o Options, address func(uint32) string) *Pool {
	o.MaxPartsPerCall, o.StreamsPerConnection, o.MaxConnections = max(o.MaxPartsPerCall, 1), max(o.StreamsPerConnection, 1), max(o.MaxConnections, 1)
	p := &Pool{loop: l, core: c, log: log, o: o, address: address, nodes: map[uint32]*node{}}
	p.timer = l.NewTimer(p.tend)
	return p
}

type node struct {
	number uint32
	addr   string
	conns  []*conn
	turn   []*core.Attempt // sent in this turn, not yet in calls
}

// usable is how many connections take calls.
func (l *node) usable() (n int) {
	for _, c := range l.conns {
		if c.retired == "" && c.first == nil {
			n++
		}
	}
	return n
}

// call is one Q frame.
type call struct {
	conn  *conn
	parts []*out
	left  int // parts out
	sent  float64
	end   uint64  // the frame's last byte, counted on its connection; 0 until it is encoded
	idle  float64 // ms that its connection had been idle
}

// out is a part that is out; it is the attempt's handle.
type out struct {
	a    *core.Attempt
	id   string
	call *call
	over bool
}

// Send implements core.Backend.
func (p *Pool) Send(a *core.Attempt) {
	l := p.nodes[a.Backend]
	if l == nil {
		l = &node{number: a.Backend}
		p.nodes[a.Backend] = l
	}
	if len(l.turn) == 0 {
		p.dirty = append(p.dirty, l)
	}
	l.turn = append(l.turn, a)
}

// Flush implements core.Backend: the parts of this turn go out in calls.
func (p *Pool) Flush() {
	dirty := p.dirty
	p.dirty = nil
	for _, l := range dirty {
		turn := l.turn
		l.turn = nil
		if addr := p.address(l.number); addr != l.addr {
			// A new address: connections to the old one take nothing new.
			for _, c := range l.conns {
				c.retire(logs.BackendAddressChanged)
			}
			l.addr = addr
		}
		for parts := range slices.Chunk(turn, p.o.MaxPartsPerCall) {
			p.place(l, parts)
		}
		for _, c := range slices.Clone(l.conns) {
			c.write()
		}
	}
	p.plan()
}

// place gives a call to a connection.
func (p *Pool) place(l *node, parts []*core.Attempt) {
	k := &call{sent: p.loop.Now()}
	for _, a := range parts {
		o := &out{a: a, id: partID(a), call: k}
		a.Handle = o
		k.parts = append(k.parts, o)
	}
	k.left = len(k.parts)
	best := p.choose(l, slices.ContainsFunc(parts, func(a *core.Attempt) bool { return a.NonIdempotent }))
	if best == nil {
		for _, o := range k.parts {
			o.over = true
			p.core.AttemptEndedLater(o.a, scheduler.ConnectFailed)
		}
		return
	}
	if k.conn = best; best.up && len(best.calls) == 0 {
		k.idle = p.loop.Now() - best.heard
	}
	best.calls, best.waiting = append(best.calls, k), append(best.waiting, k)
	best.idleAt = math.Inf(1)
	for _, o := range k.parts {
		best.byID[o.id] = o
	}
}

// choose is the connection for a call. Calls share one only when there are many: whatever comes spoilt or
// breaks off takes all with it that is out beside it. Of idle ones it takes the one used last, so that
// others can go. once tells that the call must not be lost with a connection that has gone dead while
// nobody looked.
func (p *Pool) choose(l *node, once bool) *conn {
	var best *conn
	now, most := p.loop.Now(), max(1, min(p.limit.now(p.loop.Now()), p.o.MaxConnections/max(len(p.nodes), 1)))
	for _, c := range l.conns {
		unused := 0.0
		if c.up && len(c.calls) == 0 {
			unused = now - c.heard
		}
		if !p.risk.fits(now, unused, riskMost) {
			c.retire(logs.BackendIdle)
		}
		if c.retired != "" || c.first != nil || len(c.calls)+len(c.given) >= p.o.StreamsPerConnection ||
			once && (unused > freshFor || !p.risk.fits(now, unused, riskOnce)) {
			continue
		}
		if best == nil || len(c.calls) < len(best.calls) ||
			len(c.calls) == len(best.calls) && c.heard > best.heard {
			best = c
		}
	}
	if best == nil || len(best.calls) > 0 && l.usable() < most && p.conns < p.o.MaxConnections {
		if c := p.dial(l); c != nil {
			return c
		}
	}
	return best
}

// Withdraw implements core.Backend.
func (p *Pool) Withdraw(a *core.Attempt) bool {
	if l := p.nodes[a.Backend]; l != nil {
		if i := slices.Index(l.turn, a); i >= 0 {
			l.turn = slices.Delete(l.turn, i, i+1)
			return true
		}
	}
	o, _ := a.Handle.(*out)
	if o == nil || o.over || o.call.end > 0 {
		return false
	}
	o.over = true
	o.call.conn.done(o) // not encoded: it is left out of the frame
	return true
}

// Abandon implements core.Backend.
func (p *Pool) Abandon(a *core.Attempt) (neverRan bool) {
	if p.Withdraw(a) {
		return true
	}
	o, _ := a.Handle.(*out)
	if o == nil || o.over {
		return false
	}
	k, c := o.call, o.call.conn
	o.over = true
	if c.given[o.id] = true; c.heard < k.sent {
		// Nothing has come since the part went out: the connection may have gone dead unseen. A new one tells
		// whether the backend can be reached.
		c.retire(logs.BackendUnresponsive)
	}
	if len(c.given) > givenMost {
		c.retire(logs.BackendUnresponsive)
	}
	at := len(c.s.Out)
	c.s.Out = finish(append(begin(c.s.Out, frameAbandon), o.id...), at)
	c.queued += uint64(len(c.s.Out) - at)
	c.done(o)
	c.write()
	return false
}

// CloseIdleConnections implements core.Backend.
func (p *Pool) CloseIdleConnections(node uint32) {
	if l := p.nodes[node]; l != nil {
		for _, c := range slices.Clone(l.conns) {
			if len(c.calls) == 0 {
				c.close(logs.BackendIdle, nil)
			}
		}
	}
}

// OpenConnections is how many connections there are.
func (p *Pool) OpenConnections() int { return p.conns }

// Close closes what is open, at the end of the program.
func (p *Pool) Close() {
	for _, l := range p.nodes {
		for _, c := range slices.Clone(l.conns) {
			c.close(logs.Shutdown, nil)
		}
	}
}

// makeRoom closes the connection that has stood idle longest, so that another backend can be reached.
func (p *Pool) makeRoom() bool {
	var idle *conn
	for _, l := range p.nodes {
		for _, c := range l.conns {
			if len(c.calls) == 0 && c.up && (idle == nil || c.idleAt < idle.idleAt) {
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

// tend closes what is idle, gives up dials that take too long and parts that wait unwritten.
func (p *Pool) tend() {
	now := p.loop.Now()
	for _, l := range p.nodes {
		for _, c := range slices.Clone(l.conns) {
			switch {
			case !c.up && now >= c.dialBy:
				c.close(logs.BackendDialTimeout, nil)
			case c.first != nil && now >= c.firstBy:
				c.notCrowded()
			case now >= c.cutAt:
				c.spoilt(nil, fmt.Errorf("%w: it does not come whole", errFrame))
			case len(c.calls) == 0 && c.retired != "":
				c.close(c.retired, nil)
			case len(c.calls) == 0 && now >= c.idleAt:
				c.close(logs.BackendIdle, nil)
			case now >= c.sendBy():
				c.stuck(now)
			}
		}
		if len(l.conns) == 0 && len(l.turn) == 0 && p.address(l.number) == "" {
			delete(p.nodes, l.number)
		}
	}
	p.plan()
}

// plan sets the pool's one timer.
func (p *Pool) plan() {
	next := math.Inf(1)
	for _, l := range p.nodes {
		for _, c := range l.conns {
			if !c.up {
				next = min(next, c.dialBy)
			} else {
				next = min(next, c.idleAt, c.cutAt)
			}
			if c.first != nil {
				next = min(next, c.firstBy)
			}
			if c.retired != "" && len(c.calls) == 0 {
				next = min(next, p.loop.Now())
			}
			next = min(next, c.sendBy())
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

// dial opens a connection; nil if there can be none.
func (p *Pool) dial(l *node) *conn {
	if p.conns >= p.o.MaxConnections && !p.makeRoom() || l.addr == "" {
		return nil
	}
	fd, err := loop.ConnectFreeing(l.addr, func() bool { return p.o.FreeDescriptor != nil && p.o.FreeDescriptor() || p.makeRoom() })
	now := p.loop.Now()
	c := &conn{pool: p, node: l, byID: map[string]*out{}, given: map[string]bool{}, opened: now,
		dialBy: now + p.o.DialTimeout, heard: now, idleAt: math.Inf(1), cutAt: math.Inf(1)}
	if err == nil {
		c.s, err = loop.NewStream(p.loop, fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP, c)
	}
	if err != nil {
		p.log.ConnectionEnded(logs.BackendConnectFailed, l.addr, 0, err)
		return nil
	}
	l.conns = append(l.conns, c)
	p.conns++
	return c
}
