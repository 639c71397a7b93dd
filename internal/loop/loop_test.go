package loop

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

type handler func(events uint32)

func (h handler) Ready(events uint32) { h(events) }

// pair is two ends of a connection.
func pair(t *testing.T) (ours, theirs int) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = unix.Close(fds[0]), unix.Close(fds[1]) })
	return fds[0], fds[1]
}

// TestEventsOfAClosedDescriptor: of two connections that are ready in one wake-up, the first handler closes the other's
// and opens one of the same number. What was said of the old one is not told to the new one.
func TestEventsOfAClosedDescriptor(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	a, farA := pair(t)
	b, farB := pair(t)
	fresh, _ := pair(t)
	told := 0
	swap := func(other int) handler {
		return func(uint32) {
			if told++; told > 1 {
				return
			}
			l.Close(other)
			require.NoError(t, unix.Dup2(fresh, other))
			require.NoError(t, l.Add(other, unix.EPOLLIN, handler(func(uint32) { assert.Fail(t, "it is told of the old one") })))
		}
	}
	require.NoError(t, l.Add(a, unix.EPOLLIN, swap(b)))
	require.NoError(t, l.Add(b, unix.EPOLLIN, swap(a)))
	for _, far := range []int{farA, farB} {
		_, err = unix.Write(far, []byte("x"))
		require.NoError(t, err)
	}
	require.NoError(t, l.gather(0))
	assert.Equal(t, 1, told)
}

// TestAllEventsBeforeTheDecision: more connections are ready than one batch holds, and the last of them says that its
// client has gone. The one decision of the wake-up comes after all of them.
func TestAllEventsBeforeTheDecision(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	const many = 3*eventsPerBatch + 5
	told, turns := map[int]bool{}, 0
	for range many {
		ours, theirs := pair(t)
		require.NoError(t, l.Add(ours, unix.EPOLLIN|unix.EPOLLRDHUP, handler(func(uint32) {
			told[ours] = true
			l.Close(ours)
		})))
		require.NoError(t, unix.Shutdown(theirs, unix.SHUT_WR))
	}
	l.OnRoundEnd(func() {
		turns++
		assert.Len(t, told, many)
		l.Stop()
	})
	require.NoError(t, l.Run())
	assert.Equal(t, 1, turns)
}

// TestWhatCameDuringTheWakeUp: handling one event takes long, and meanwhile a client goes. It is read before the decision.
func TestWhatCameDuringTheWakeUp(t *testing.T) {
	l, err := New()
	require.NoError(t, err)
	slow, far := pair(t)
	goes, client := pair(t)
	gone := false
	require.NoError(t, l.Add(goes, unix.EPOLLIN|unix.EPOLLRDHUP, handler(func(uint32) { gone = true; l.Close(goes) })))
	require.NoError(t, l.Add(slow, unix.EPOLLIN, handler(func(uint32) {
		l.Close(slow)
		for at := l.ReadClock(); l.ReadClock() < at+1.5*maxRoundAgeMs; {
		}
		require.NoError(t, unix.Shutdown(client, unix.SHUT_RDWR))
	})))
	_, err = unix.Write(far, []byte("x"))
	require.NoError(t, err)
	l.OnRoundEnd(func() {
		assert.True(t, gone)
		l.Stop()
	})
	require.NoError(t, l.Run())
}
