package backendpool

import (
	"io"
	"math"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/lab/loopback"
)

// TestPartNotSentAfterStartBy checks that a part whose connection is established only after the part's StartBy ends
// as ConnectFailed at StartBy and that nothing of it is sent. After StartBy the backend may have been drained, or may
// no longer know the idempotency key.
func TestPartNotSentAfterStartBy(t *testing.T) {
	listener, drain, err := loopback.Full()
	require.NoError(t, err)
	closeAfter(t, listener)
	pool, recorder := newRecordingPool(t, listener.Addr().String())
	beginAt := pool.loop.ReadClock()
	pool.Send(&core.Attempt{Request: "a", Backend: 1, Deadline: beginAt + 5000, StartBy: beginAt + 60})
	pool.Flush()
	require.NoError(t, pool.loop.Run())
	assert.Equal(t, []scheduler.Outcome{scheduler.ConnectFailed}, recorder.outcomes)
	assert.InDelta(t, beginAt+80, recorder.lastAt, 25)
	received := make(chan []byte)
	go func() {
		drain()
		connection, err := listener.Accept()
		if err == nil {
			received <- readAll(connection)
		}
	}()
	pool.Close()
	select {
	case bytes := <-received:
		assert.Empty(t, bytes)
	case <-time.After(1500 * time.Millisecond): // the connection was closed before it was established
	}
}

// readAll returns the bytes that are received on a connection within 3 s.
func readAll(connection net.Conn) []byte {
	_ = connection.SetReadDeadline(time.Now().Add(3 * time.Second))
	bytes, _ := io.ReadAll(connection)
	return bytes
}

// TestPartlyWrittenFrameClosesConnection checks that a connection is closed if the backend has not read a whole frame
// by the part's StartBy. Otherwise the part would begin whenever the backend continues to read.
func TestPartlyWrittenFrameClosesConnection(t *testing.T) {
	const queryBytes = 16 << 20 // larger than the kernel's buffers
	listener := listen(t)
	pool, recorder := newRecordingPool(t, listener.Addr().String())
	now := pool.loop.ReadClock()
	pool.Send(&core.Attempt{Request: "a", Backend: 1, Deadline: now + 5000, StartBy: now + 100,
		Payload: make([]byte, queryBytes)})
	pool.Flush()
	connection, err := listener.Accept()
	require.NoError(t, err)
	closeAfter(t, connection)
	require.NoError(t, pool.loop.Run())
	assert.Equal(t, []scheduler.Outcome{scheduler.ConnectFailed}, recorder.outcomes)
	assert.Less(t, recorder.lastAt, now+300)
	// The read below ends only if the pool has closed the connection, so the test must not reach it otherwise.
	require.Zero(t, pool.OpenConnections())
	receivedBytes, _ := io.Copy(io.Discard, connection)
	assert.Less(t, receivedBytes, int64(queryBytes))
}

func TestConnectionWithoutCallsHasNoStartDeadline(t *testing.T) {
	assert.True(t, math.IsInf(new(connection).startDeadline(), 1))
}
