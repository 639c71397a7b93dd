package backendpool

import (
	"math"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// selectConnection returns the connection for a call, nil if there is none. Calls share a connection only when the
// backend's connections are at their limit: a malformed frame or a reset ends all calls beside the one at fault. Among
// idle connections it prefers the one used last, so that the others reach their idle timeout. nonIdempotent tells that
// the call must not be lost with a connection that was dropped unseen while it was idle. Connections that are likely to
// have been dropped are retired.
func (p *Pool) selectConnection(backend *backendState, nonIdempotent bool) *connection {
	now := p.loop.Now()
	maxConnections := p.maxBackendConnections(now)
	var best *connection
	for _, candidate := range backend.connections {
		idleMs := candidate.idleMs(now)
		if !p.idleRisk.allows(now, idleMs, maxLossRate) {
			candidate.retire(logs.BackendIdle)
		}
		if !candidate.hasCapacity() || nonIdempotent && !p.idleRisk.allowsNonIdempotent(now, idleMs) {
			continue
		}
		if best == nil || candidate.isPreferredTo(best) {
			best = candidate
		}
	}
	canOpen := backend.usableConnections() < maxConnections && p.connectionCount < p.options.MaxConnections
	if best == nil || len(best.calls) > 0 && canOpen {
		opened := p.openConnection(backend)
		if opened != nil {
			return opened
		}
	}
	return best
}

// maxBackendConnections is the number of connections to one backend up to which calls do not share one.
func (p *Pool) maxBackendConnections(now float64) int {
	fairShare := p.options.MaxConnections / max(len(p.backends), 1)
	return max(1, min(p.connectionLimit.current(now), fairShare))
}

// usableConnections returns how many connections take calls, if they have the capacity.
func (b *backendState) usableConnections() int {
	usable := 0
	for _, c := range b.connections {
		if c.isUsable() {
			usable++
		}
	}
	return usable
}

// isUsable reports whether the connection takes calls, if it has the capacity.
func (c *connection) isUsable() bool { return c.retireReason == "" && c.pendingRejection == nil }

// hasCapacity reports whether the connection takes one more call. Abandoned parts count, as the backend may still
// work on them.
func (c *connection) hasCapacity() bool {
	return c.isUsable() && len(c.calls)+len(c.abandoned) < c.pool.options.StreamsPerConnection
}

// isPreferredTo reports whether a call is better placed on c than on other.
func (c *connection) isPreferredTo(other *connection) bool {
	if len(c.calls) != len(other.calls) {
		return len(c.calls) < len(other.calls)
	}
	return c.lastReceivedAt > other.lastReceivedAt
}

// idleMs is how long an established connection without calls has received nothing; 0 for any other.
func (c *connection) idleMs(now float64) float64 {
	if !c.established || len(c.calls) > 0 {
		return 0
	}
	return now - c.lastReceivedAt
}

// openConnection begins to open a connection; it returns nil if there can be none. At the limit of all connections
// the one that has been idle longest makes way.
func (p *Pool) openConnection(backend *backendState) *connection {
	if p.connectionCount >= p.options.MaxConnections {
		evicted := p.evictIdleConnection()
		if !evicted {
			return nil
		}
	}
	if backend.address == "" {
		return nil
	}
	c, err := p.dial(backend)
	if err != nil {
		p.log.ConnectionEnded(logs.BackendConnectFailed, backend.address, 0, err)
		return nil
	}
	backend.connections = append(backend.connections, c)
	p.connectionCount++
	return c
}

// dial starts to connect to a backend. Its error is that of the socket.
func (p *Pool) dial(backend *backendState) (*connection, error) {
	fd, err := loop.ConnectFreeing(backend.address, p.freeDescriptor)
	if err != nil {
		return nil, err
	}
	now := p.loop.Now()
	c := &connection{
		pool:           p,
		backend:        backend,
		partsByID:      map[string]*part{},
		abandoned:      map[string]bool{},
		openedAt:       now,
		dialDeadline:   now + p.options.DialTimeoutMs,
		lastReceivedAt: now,
		idleCloseAt:    math.Inf(1),
		frameDeadline:  math.Inf(1),
	}
	c.stream, err = loop.NewStream(p.loop, fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP, c)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// freeDescriptor closes something that can be spared when the process is out of file descriptors, and reports whether
// it did.
func (p *Pool) freeDescriptor() bool {
	if p.options.FreeDescriptor != nil && p.options.FreeDescriptor() {
		return true
	}
	return p.evictIdleConnection()
}

// evictIdleConnection closes the connection that has been idle longest, so that another backend can be reached. It
// returns false if none is idle.
func (p *Pool) evictIdleConnection() bool {
	var longestIdle *connection
	for _, backend := range p.backends {
		for _, c := range backend.connections {
			if len(c.calls) > 0 || !c.established {
				continue
			}
			if longestIdle == nil || c.idleCloseAt < longestIdle.idleCloseAt {
				longestIdle = c
			}
		}
	}
	if longestIdle == nil {
		return false
	}
	longestIdle.close(logs.BackendEvicted, nil)
	return true
}
