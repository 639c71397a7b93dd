package backendpool

import (
	"math"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// selectConnection returns the connection for a call, or nil if there is none. Calls share a connection only if the
// backend's connections are at their limit, because a malformed frame or a reset on a shared connection ends all its
// calls. Among idle connections it selects the one used last, so that the others reach their idle timeout.
//
// nonIdempotent means that the call must not be placed on a connection that may have been dropped silently while it
// was idle. selectConnection retires connections that are likely to have been dropped.
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

// maxBackendConnections returns the number of connections to one backend up to which calls do not share a connection.
func (p *Pool) maxBackendConnections(now float64) int {
	fairShare := p.options.MaxConnections / max(len(p.backends), 1)
	return max(1, min(p.connectionLimit.current(now), fairShare))
}

// usableConnections returns the number of connections that take calls, whether or not they have capacity left.
func (b *backendState) usableConnections() int {
	usable := 0
	for _, c := range b.connections {
		if c.isUsable() {
			usable++
		}
	}
	return usable
}

// isUsable reports whether the connection takes calls, whether or not it has capacity left.
func (c *connection) isUsable() bool { return c.retireReason == "" && c.pendingRejection == nil }

// hasCapacity reports whether the connection takes one more call. Abandoned parts use capacity, because the backend
// may still work on them.
func (c *connection) hasCapacity() bool {
	return c.isUsable() && len(c.calls)+len(c.abandoned) < c.pool.options.StreamsPerConnection
}

// isPreferredTo reports whether to place a call on c rather than on other: c has fewer calls, or as many and
// received something later.
func (c *connection) isPreferredTo(other *connection) bool {
	if len(c.calls) != len(other.calls) {
		return len(c.calls) < len(other.calls)
	}
	return c.lastReceivedAt > other.lastReceivedAt
}

// idleMs returns the time since an established connection without calls last received anything. It returns 0 for any
// other connection.
func (c *connection) idleMs(now float64) float64 {
	if !c.established || len(c.calls) > 0 {
		return 0
	}
	return now - c.lastReceivedAt
}

// openConnection starts to open a connection. It returns nil if that is not possible. If the pool has MaxConnections,
// it first evicts the connection that has been idle longest.
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

// dial starts to connect to a backend and registers the connection with the loop.
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

// freeDescriptor closes a file descriptor that is not needed when the process is out of descriptors. It reports
// whether it did.
func (p *Pool) freeDescriptor() bool {
	if p.options.FreeDescriptor != nil && p.options.FreeDescriptor() {
		return true
	}
	return p.evictIdleConnection()
}

// evictIdleConnection closes the connection that has been idle longest, to make room for a connection to another
// backend. It returns false if no connection is idle.
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
