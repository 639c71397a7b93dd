package httpfront

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEvictionOrder checks the order in which connections give up their descriptors, and that one with a request
// under way keeps its own.
func TestEvictionOrder(t *testing.T) {
	f := start(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	ask := func(connection net.Conn) {
		send(t, connection, "GET /_health HTTP/1.0\r\n\r\n")
		readAll(t, connection)
	}
	busy, idle, idleLater, endedLongAgo, endedLately := f.dial(t), f.dial(t), f.dial(t), f.dial(t), f.dial(t)
	send(t, busy, query)
	f.waitRequest(t, f.submitted)
	ask(endedLongAgo)
	time.Sleep(2 * answerDeliveryMs * time.Millisecond)
	ask(endedLately)
	for i, c := range []net.Conn{endedLongAgo, idle, idleLater, endedLately} {
		f.onLoop(func() { assert.True(t, f.server.FreeDescriptor(), i) })
		_, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, 4-i, f.count())
		require.Eventually(t, func() bool {
			_, err := io.WriteString(c, "x")
			return err != nil
		}, patience, time.Millisecond, "connection %d is not closed", i)
	}
	f.onLoop(func() { assert.False(t, f.server.FreeDescriptor()) })
	f.waitLog(t, `"code":"C05"`)
}

// TestUnreadRequestIsNotEvicted checks that a connection on which something has arrived that the server did not read
// yet is spared: a close would lose the request.
func TestUnreadRequestIsNotEvicted(t *testing.T) {
	f := start(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	connection := f.dial(t)
	f.onLoop(func() {
		send(t, connection, "GET /_health HTTP/1.0\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		assert.False(t, f.server.FreeDescriptor())
	})
	assert.Contains(t, readAll(t, connection), "HTTP/1.1 200 OK\r\n")
}

// TestAcceptEvictsAtTheLimit checks that the connection that reaches the maximum has an idle one closed.
func TestAcceptEvictsAtTheLimit(t *testing.T) {
	f := start(t, Options{MaxConnections: 2, MaxBufferedBytes: 1 << 20})
	idle := f.dial(t)
	next, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = next.Close() })
	assert.Empty(t, readAll(t, idle))
	send(t, next, "GET /_health HTTP/1.0\r\n\r\n")
	assert.Contains(t, readAll(t, next), "HTTP/1.1 200 OK\r\n")
}
