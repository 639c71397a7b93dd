package loop

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestStaleEventOfReusedDescriptor checks that a handler is not called with an event of the descriptor that had its
// number before. Two connections are ready in one wake-up; the handler of the first closes the other connection and
// registers a new one under the same descriptor number.
func TestStaleEventOfReusedDescriptor(t *testing.T) {
	l := newLoop(t)
	first, firstRemote := connectedPair(t)
	second, secondRemote := connectedPair(t)
	fresh, _ := connectedPair(t)
	calls := 0
	mustNotBeCalled := handlerFunc(func(uint32) { assert.Fail(t, "called with an event of the closed descriptor") })
	replace := func(other int) handlerFunc {
		return func(uint32) {
			calls++
			if calls > 1 {
				return
			}
			l.Close(other)
			require.NoError(t, unix.Dup2(fresh, other))
			require.NoError(t, l.Add(other, unix.EPOLLIN, mustNotBeCalled))
		}
	}
	require.NoError(t, l.Add(first, unix.EPOLLIN, replace(second)))
	require.NoError(t, l.Add(second, unix.EPOLLIN, replace(first)))
	writeByte(t, firstRemote)
	writeByte(t, secondRemote)
	require.NoError(t, l.poll(0))
	assert.Equal(t, 1, calls)
}
