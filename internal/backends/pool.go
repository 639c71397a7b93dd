package backends

import (
	"slices"
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

// Core takes the outcomes.
type Core interface {
	AttemptEnded(a *core.Attempt, o scheduler.Outcome, value []byte)
	AttemptEndedLater(a *core.Attempt, o scheduler.Outcome)
}

// Pool holds the connections to all backends. It implements core.Backend.
type Pool struct {
	loop            *loop.Loop
	core            Core
	log             *logs.Log
	options         Options
	address         func(node uint32) string
	backends        map[uint32]*backend
	unflushed       []*backend // sent to in this turn
	connectionCount int
	idleRisk        idleRisk
	connectionLimit connectionLimit
	timer           *loop.Timer
}

// NewPool makes a pool; address looks a node's address up.
func NewPool(l *loop.Loop, c Core, log *logs.Log, o Options, address func(uint32) string) *Pool {
	o.MaxPartsPerCall, o.StreamsPerConnection, o.MaxConnections = max(o.MaxPartsPerCall, 1), max(o.StreamsPerConnection, 1), max(o.MaxConnections, 1)
	p := &Pool{loop: l, core: c, log: log, options: o, address: address, backends: map[uint32]*backend{}}
	p.timer = l.NewTimer(p.enforceTimeouts)
	return p
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
