package loop

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// newStreamPair returns a stream and the descriptor of its peer.
func newStreamPair(t *testing.T) (stream *Stream, remote int) {
	t.Helper()
	local, remote := connectedPair(t)
	stream, err := NewStream(newLoop(t), local, unix.EPOLLIN, handlerFunc(func(uint32) {}))
	require.NoError(t, err)
	return stream, remote
}

func TestStreamRead(t *testing.T) {
	stream, remote := newStreamPair(t)
	assert.False(t, stream.HasUnread())
	assert.True(t, stream.PeerOpen())
	_, err := unix.Write(remote, []byte("hello"))
	require.NoError(t, err)
	assert.True(t, stream.HasUnread())

	eof, err := stream.Read(3)
	require.NoError(t, err)
	assert.False(t, eof)
	assert.Equal(t, "hel", string(stream.In), "limited to 3 bytes")
	eof, err = stream.Read(100)
	require.NoError(t, err)
	assert.False(t, eof)
	assert.Equal(t, "hello", string(stream.In))

	require.NoError(t, unix.Shutdown(remote, unix.SHUT_WR))
	eof, err = stream.Read(100)
	require.NoError(t, err)
	assert.True(t, eof)
	assert.False(t, stream.PeerOpen())
}

func TestStreamConsume(t *testing.T) {
	stream := &Stream{In: []byte("hello")}
	stream.Consume(2)
	assert.Equal(t, "llo", string(stream.In))
	stream.Consume(3)
	assert.Empty(t, stream.In)
	assert.NotNil(t, stream.In, "a small buffer is kept")

	stream.In = make([]byte, maxIdleBufferBytes+1)
	stream.Consume(len(stream.In))
	assert.Nil(t, stream.In, "a large buffer is released")
}

func TestStreamDiscardInput(t *testing.T) {
	stream, remote := newStreamPair(t)
	dropped, eof, err := stream.DiscardInput()
	require.NoError(t, err)
	assert.Zero(t, dropped)
	assert.False(t, eof)

	_, err = unix.Write(remote, bytes.Repeat([]byte("x"), readBytes+1))
	require.NoError(t, err)
	require.NoError(t, unix.Shutdown(remote, unix.SHUT_WR))
	dropped, eof, err = stream.DiscardInput()
	require.NoError(t, err)
	assert.Equal(t, readBytes+1, dropped)
	assert.True(t, eof)
	assert.Empty(t, stream.In)
}

func TestStreamFlush(t *testing.T) {
	stream, remote := newStreamPair(t)
	const outBytes = 8 << 20 // larger than the kernel's send buffer
	stream.Out = bytes.Repeat([]byte("x"), outBytes)
	require.NoError(t, stream.Flush())
	require.NotEmpty(t, stream.Out, "the unwritten rest stays in Out")
	assert.EqualValues(t, outBytes-len(stream.Out), stream.BytesWritten)

	input := make([]byte, 1<<20)
	received := 0
	for received < outBytes {
		count, err := unix.Read(remote, input)
		require.NoError(t, err)
		received += count
		require.NoError(t, stream.Flush())
	}
	assert.Nil(t, stream.Out)
	assert.EqualValues(t, outBytes, stream.BytesWritten)

	require.NoError(t, unix.Close(remote))
	stream.Out = []byte("x")
	assert.ErrorIs(t, stream.Flush(), unix.EPIPE)
}
