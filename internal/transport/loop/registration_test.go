package loop

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestStaleEventOfReusedDescriptor: of two connections that are ready in one wake-up, the first handler closes the other
// and registers a new one under the same number. The new one is not called with the event of the old one.
func TestStaleEventOfReusedDescriptor(t *testing.T) {
	l := newLoop(t)
	first, firstRemote := connectedPair(t)
	second, secondRemote := connectedPair(t)
	fresh, _ := connectedPair(t)
	calls := 0
	mustNotBeCalled := handlerFunc(func(uint32) { assert.Fail(t, "it is called with the event of the old one") })
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
