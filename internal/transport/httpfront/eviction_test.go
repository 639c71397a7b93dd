package httpfront

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEvictionOrder checks the order in which connections are evicted, and that one with an open request is not.
func TestEvictionOrder(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	requestHealth := func(connection net.Conn) {
		send(t, connection, "GET /_health HTTP/1.0\r\n\r\n")
		readAll(t, connection)
	}
	busy, idle, idleLater, delivered, delivering := f.dial(t), f.dial(t), f.dial(t), f.dial(t), f.dial(t)
	send(t, busy, query)
	f.waitRequest(t, f.submitted)
	requestHealth(delivered)
	time.Sleep(2 * answerDeliveryMs * time.Millisecond)
	requestHealth(delivering)
	for i, c := range []net.Conn{delivered, idle, idleLater, delivering} {
		f.onLoop(func() { assert.True(t, f.server.FreeDescriptor(), i) })
		_, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, 4-i, f.connectionCount())
		require.Eventually(t, func() bool {
			_, err := io.WriteString(c, "x")
			return err != nil
		}, waitTimeout, time.Millisecond, "connection %d is not closed", i)
	}
	f.onLoop(func() { assert.False(t, f.server.FreeDescriptor()) })
	f.waitLog(t, `"code":"C05"`)
}

// TestUnreadRequestIsNotEvicted guards against losing a request that has arrived on an idle connection but that the
// server has not read yet.
func TestUnreadRequestIsNotEvicted(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	connection := f.dial(t)
	f.onLoop(func() {
		send(t, connection, "GET /_health HTTP/1.0\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		assert.False(t, f.server.FreeDescriptor())
	})
	assert.Contains(t, readAll(t, connection), "HTTP/1.1 200 OK\r\n")
}

// TestAcceptEvictsAtLimit checks that at the connection limit a new connection evicts an idle one.
func TestAcceptEvictsAtLimit(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 2, MaxBufferedBytes: 1 << 20})
	idle := f.dial(t)
	next, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = next.Close() })
	assert.Empty(t, readAll(t, idle))
	send(t, next, "GET /_health HTTP/1.0\r\n\r\n")
	assert.Contains(t, readAll(t, next), "HTTP/1.1 200 OK\r\n")
}
