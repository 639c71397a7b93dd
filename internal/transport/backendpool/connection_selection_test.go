package backendpool

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/logs"
)

func TestHasCapacity(t *testing.T) {
	pool := &Pool{options: Options{StreamsPerConnection: 2}}
	for _, c := range []struct {
		name       string
		connection connection
		want       bool
	}{
		{"new", connection{}, true},
		{"one call", connection{calls: make([]*call, 1)}, true},
		{"as many calls as streams", connection{calls: make([]*call, 2)}, false},
		{"a call and an abandoned part", connection{calls: make([]*call, 1), abandoned: map[string]bool{"a": true}}, false},
		{"retired", connection{retireReason: logs.BackendIdle}, false},
		{"a pending rejection", connection{pendingRejection: &part{}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.connection.pool = pool
			assert.Equal(t, c.want, c.connection.hasCapacity())
		})
	}
}

func TestIsPreferredTo(t *testing.T) {
	idle := &connection{lastReceivedAt: 10}
	recent := &connection{lastReceivedAt: 20}
	busy := &connection{lastReceivedAt: 30, calls: make([]*call, 1)}
	assert.True(t, recent.isPreferredTo(idle), "the idle connection used last")
	assert.False(t, idle.isPreferredTo(recent))
	assert.True(t, idle.isPreferredTo(busy), "the connection with fewer calls")
	assert.False(t, busy.isPreferredTo(recent))
	assert.False(t, idle.isPreferredTo(idle), "the first of equals")
}

func TestIdleMs(t *testing.T) {
	c := &connection{lastReceivedAt: 10}
	assert.Zero(t, c.idleMs(30), "not established")
	c.established = true
	assert.InDelta(t, 20, c.idleMs(30), 0)
	c.calls = make([]*call, 1)
	assert.Zero(t, c.idleMs(30), "in use")
}

func TestMaxBackendConnections(t *testing.T) {
	for _, c := range []struct{ maxConnections, backends, want int }{
		{8, 0, maxUnsharedConnections}, {8, 2, 4}, {8, 3, 2}, {8, 100, 1},
	} {
		pool := &Pool{options: Options{MaxConnections: c.maxConnections}, backends: map[uint32]*backendState{}}
		for replica := range c.backends {
			pool.backends[uint32(replica)] = &backendState{}
		}
		assert.Equal(t, c.want, pool.maxBackendConnections(0), "%d connections for %d backends", c.maxConnections,
			c.backends)
	}
}
