package backendpool

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
)

// newAttempt returns an attempt for backend 1 whose Deadline and StartBy are in 5 s.
func newAttempt(pool *Pool, request string) *core.Attempt {
	endAt := pool.loop.ReadClock() + 5000
	return &core.Attempt{Request: request, Backend: 1, Deadline: endAt, StartBy: endAt}
}

// runUntilReceived runs the loop until the backend has received a query frame whose first part has the ID id. It
// returns the backend's side of the connection.
func runUntilReceived(t *testing.T, pool *Pool, listener net.Listener, id string) net.Conn {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		defer pool.loop.Post(pool.loop.Stop)
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		if got, err := readPartID(connection); err == nil && got == id {
			accepted <- connection
		}
	}()
	require.NoError(t, pool.loop.Run())
	require.Len(t, accepted, 1, "no query frame with %s first was received", id)
	connection := <-accepted
	closeAfter(t, connection)
	return connection
}

func TestUnplacedAttemptWithdrawn(t *testing.T) {
	pool, recorder := newRecordingPool(t, listen(t).Addr().String())
	attempt := newAttempt(pool, "a")
	pool.Send(attempt)
	assert.True(t, pool.Withdraw(attempt))
	assert.False(t, pool.Withdraw(attempt), "already withdrawn")
	pool.Flush()
	assert.Zero(t, pool.OpenConnections())
	assert.Empty(t, recorder.outcomes)
}

func TestUnencodedAttemptAbandoned(t *testing.T) {
	listener := listen(t)
	pool, recorder := newRecordingPool(t, listener.Addr().String())
	pool.options.MaxPartsPerCall = 2
	abandoned, kept := newAttempt(pool, "a"), newAttempt(pool, "b")
	pool.Send(abandoned)
	pool.Send(kept)
	pool.Flush()
	assert.True(t, pool.Abandon(abandoned), "never ran, because its connection is not established")
	runUntilReceived(t, pool, listener, "b.0")
	assert.Empty(t, recorder.outcomes)
	assert.False(t, pool.Withdraw(kept), "already encoded")
}

func TestEncodedAttemptAbandoned(t *testing.T) {
	listener := listen(t)
	pool, recorder := newRecordingPool(t, listener.Addr().String())
	attempt := newAttempt(pool, "a")
	pool.Send(attempt)
	pool.Flush()
	connection := runUntilReceived(t, pool, listener, "a.0")
	assert.False(t, pool.Withdraw(attempt))
	assert.False(t, pool.Abandon(attempt), "may have run")
	want := "\x00\x00\x00\x04Xa.0"
	got := make([]byte, len(want))
	_, err := io.ReadFull(connection, got)
	require.NoError(t, err)
	assert.Equal(t, want, string(got))
	c := pool.backends[1].connections[0]
	assert.Equal(t, map[string]bool{"a.0": true}, c.abandoned)
	assert.Empty(t, c.calls)
	part, err := c.handleFrame(frame{letter: frameAnswer, body: []byte("a.0 ok 1 -\nv")})
	require.NoError(t, err, "a late answer is ignored")
	assert.Nil(t, part)
	_, err = c.handleFrame(frame{letter: frameAnswer, body: []byte("a.0 ok 1 -\nv")})
	require.ErrorIs(t, err, errMalformedFrame, "a second answer is not ignored")
	assert.Empty(t, recorder.outcomes)
}
