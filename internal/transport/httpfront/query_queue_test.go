package httpfront

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// queryOfSize returns a valid query with a body of about sizeBytes.
func queryOfSize(id string, sizeBytes int) string {
	body := strings.Replace(queryBody, "text", strings.Repeat("x", sizeBytes-len(queryBody)), 1)
	return fmt.Sprintf("POST /search HTTP/1.1\r\nX-Request-Id: %s\r\nX-Tenant: a\r\nX-Deadline: 1.5\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestLargeQueriesAreRejectedBeyondBufferLimit checks that large queries are answered 503 once the connections buffer
// too much, and that a small one is served nevertheless.
func TestLargeQueriesAreRejectedBeyondBufferLimit(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 8, MaxBufferedBytes: 80_000})
	var large []net.Conn
	for range 4 {
		large = append(large, f.dial(t))
	}
	small := f.dial(t)
	f.onLoop(func() { // all input is read at once
		for i, connection := range large {
			send(t, connection, queryOfSize(fmt.Sprintf("large-%d", i), 50_000))
		}
		send(t, small, query)
	})
	assert.Equal(t, "id-1", f.waitRequest(t, f.submitted).ID, "the small query is submitted first")
	rejected := 0
	for _, connection := range large {
		answered := make([]byte, 12)
		f.onLoop(func() {
			if count, _, err := peek(t, connection, answered); err == nil && count > 0 {
				rejected++
				assert.Equal(t, "HTTP/1.1 503", string(answered))
			}
		})
	}
	assert.Positive(t, rejected)
	assert.Less(t, rejected, len(large))
	for range len(large) - rejected {
		f.waitRequest(t, f.submitted)
	}
}

// peek reads what has arrived on a client's connection and leaves it there.
func peek(t *testing.T, connection net.Conn, buffer []byte) (count int, from unix.Sockaddr, err error) {
	t.Helper()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		count, from, err = unix.Recvfrom(int(fd), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}))
	return count, from, err
}

// TestQueuedQueryOfDisconnectedClientIsDropped checks that a query whose client disconnects before it is parsed is not
// submitted.
func TestQueuedQueryOfDisconnectedClientIsDropped(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 8, MaxBufferedBytes: 1 << 20})
	leaving, staying := f.dial(t), f.dial(t)
	f.onLoop(func() { // all input is read at once
		send(t, leaving, strings.Replace(query, "id-1", "id-2", 1))
		require.NoError(t, leaving.Close())
		send(t, staying, query)
	})
	assert.Equal(t, "id-1", f.waitRequest(t, f.submitted).ID)
	f.waitLog(t, `"code":"C03"`)
	assert.Empty(t, f.submitted)
	assert.Empty(t, f.disconnected)
}

// fillQueue queues work of the same size class as query that takes a time in ms, and does so before any query that
// arrives later. It must be called on the loop.
func (f *serverFixture) fillQueue(durationMs float64) {
	const pieceMs = 10.0
	for range int(durationMs / pieceMs) {
		f.loop.Enqueue(len(query), func() {
			for end := f.loop.ReadClock() + pieceMs; f.loop.ReadClock() < end; {
				continue
			}
		})
	}
}

// TestQueuedQueryIsAnsweredWhenItsTimeIsUp checks that a query gets its final answer soon after its client's time, also
// if it could not be parsed by then, and that it is not submitted later.
func TestQueuedQueryIsAnsweredWhenItsTimeIsUp(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 8, MaxBufferedBytes: 1 << 20})
	connection := f.dial(t)
	sentAt := time.Now()
	f.onLoop(func() {
		f.fillQueue(1500)
		send(t, connection, strings.Replace(query, "Deadline: 1.5", "Deadline: 0.3\r\nConnection: close", 1))
	})
	answer := readAll(t, connection)
	elapsed := time.Since(sentAt)
	assert.True(t, strings.HasPrefix(answer, "HTTP/1.1 503"), answer)
	assert.Contains(t, answer, "Retry-After: ")
	assert.GreaterOrEqual(t, elapsed, 300*time.Millisecond)
	assert.Less(t, elapsed, 800*time.Millisecond, "half a second after its time a query without an answer is lost")
	done := make(chan struct{})
	f.onLoop(func() { f.loop.Enqueue(len(query), func() { close(done) }) })
	<-done
	assert.Empty(t, f.submitted)
}

// TestTimeOfQueuedQueryCountsFromItsArrival checks that the time in the queue counts against the client's timeout.
func TestTimeOfQueuedQueryCountsFromItsArrival(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 8, MaxBufferedBytes: 1 << 20})
	connection := f.dial(t)
	var arrivedAt float64
	f.onLoop(func() {
		arrivedAt = f.loop.ReadClock()
		f.fillQueue(500)
		send(t, connection, query)
	})
	submitted := f.waitRequest(t, f.submitted)
	assert.InDelta(t, arrivedAt+1000, submitted.Deadline, 200, "the class's deadline after the arrival")
}
