package loop

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// handlerFunc adapts a function to Handler.
type handlerFunc func(events uint32)

func (f handlerFunc) Ready(events uint32) { f(events) }

func newLoop(t *testing.T) *Loop {
	t.Helper()
	l, err := New()
	require.NoError(t, err)
	return l
}

// connectedPair returns the two ends of a socket pair, which are closed when the test ends.
func connectedPair(t *testing.T) (local, remote int) {
	t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = unix.Close(fds[0])
		_ = unix.Close(fds[1])
	})
	return fds[0], fds[1]
}

func writeByte(t *testing.T, fd int) {
	t.Helper()
	_, err := unix.Write(fd, []byte("x"))
	require.NoError(t, err)
}

// TestAllEventsHandledBeforeRound checks that the single round of a wake-up runs after all ready descriptors have
// been handled, even if there are more of them than one batch holds. Every peer has disconnected.
func TestAllEventsHandledBeforeRound(t *testing.T) {
	l := newLoop(t)
	const connections = 3*eventsPerBatch + 5
	handled := map[int]bool{}
	rounds := 0
	for range connections {
		local, remote := connectedPair(t)
		require.NoError(t, l.Add(local, unix.EPOLLIN|unix.EPOLLRDHUP, handlerFunc(func(uint32) {
			handled[local] = true
			l.Close(local)
		})))
		require.NoError(t, unix.Shutdown(remote, unix.SHUT_WR))
	}
	l.OnWakeUpEnd(func() {
		rounds++
		assert.Len(t, handled, connections)
		l.Stop()
	})
	require.NoError(t, l.Run())
	assert.Equal(t, 1, rounds)
}

// TestEventDuringSlowHandler checks that the loop polls again before the round if a handler was slow: a client
// disconnects while the handler of another connection runs for longer than maxClockAgeMs.
func TestEventDuringSlowHandler(t *testing.T) {
	l := newLoop(t)
	slow, slowRemote := connectedPair(t)
	disconnecting, client := connectedPair(t)
	disconnected := false
	require.NoError(t, l.Add(disconnecting, unix.EPOLLIN|unix.EPOLLRDHUP, handlerFunc(func(uint32) {
		disconnected = true
		l.Close(disconnecting)
	})))
	require.NoError(t, l.Add(slow, unix.EPOLLIN, handlerFunc(func(uint32) {
		l.Close(slow)
		busyUntil := l.ReadClock() + 1.5*maxClockAgeMs
		for l.ReadClock() < busyUntil {
			continue
		}
		require.NoError(t, unix.Shutdown(client, unix.SHUT_RDWR))
	})))
	writeByte(t, slowRemote)
	l.OnWakeUpEnd(func() {
		assert.True(t, disconnected)
		l.Stop()
	})
	require.NoError(t, l.Run())
}
