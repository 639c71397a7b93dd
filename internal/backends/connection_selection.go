package backends

import (
	"math"
	"ternstage/internal/logs"
	"ternstage/internal/loop"

	"golang.org/x/sys/unix"
)

// usableConnections is how many connections take calls.
func (l *backend) usableConnections() (n int) {
	for _, c := range l.connections {
		if c.retiredFor == "" && c.pendingRejection == nil {
			n++
		}
	}
	return n
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

// openConnection opens a connection; nil if there can be none.
func (p *Pool) openConnection(l *backend) *connection {
	if p.connectionCount >= p.options.MaxConnections && !p.evictIdleConnection() || l.address == "" {
		return nil
	}
	fd, err := loop.ConnectFreeing(l.address, func() bool {
		return p.options.FreeDescriptor != nil && p.options.FreeDescriptor() || p.evictIdleConnection()
	})
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
