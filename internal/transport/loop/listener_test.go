package loop

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ternstage/internal/lab/loopback"
)

// TestListenConnectAccept checks that Connect and Accept establish a connection. Accept returns EAGAIN before.
func TestListenConnectAccept(t *testing.T) {
	address, err := loopback.Free()
	require.NoError(t, err)
	listener, err := Listen(address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(listener) })
	_, err = Accept(listener)
	require.ErrorIs(t, err, unix.EAGAIN, "no connection queued")

	client, err := Connect(address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(client) })
	var server int
	require.Eventually(t, func() bool {
		server, err = Accept(listener)
		return err == nil
	}, time.Second, time.Millisecond)
	t.Cleanup(func() { _ = unix.Close(server) })
	assert.NoError(t, SocketError(client))
}

func TestInherit(t *testing.T) {
	listening, err := net.Listen("tcp4", loopback.Own())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listening.Close() })
	file, err := listening.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	address, err := Inherit(int(file.Fd()))
	require.NoError(t, err)
	assert.Equal(t, listening.Addr().String(), address)
}

func TestInheritRejects(t *testing.T) {
	openSocketOf := func(family, socketType int) func(t *testing.T) int {
		return func(t *testing.T) int {
			t.Helper()
			fd, err := unix.Socket(family, socketType, 0)
			require.NoError(t, err)
			t.Cleanup(func() { _ = unix.Close(fd) })
			return fd
		}
	}
	for name, c := range map[string]struct {
		open func(t *testing.T) int
		want string
	}{
		"negative": {func(*testing.T) int { return -1 }, "not a descriptor"},
		"file": {func(t *testing.T) int {
			t.Helper()
			file, err := os.Open(os.DevNull)
			require.NoError(t, err)
			t.Cleanup(func() { _ = file.Close() })
			return int(file.Fd())
		}, "not a socket"},
		"UDP":           {openSocketOf(unix.AF_INET, unix.SOCK_DGRAM), "a socket of type 2, not TCP"},
		"Unix domain":   {openSocketOf(unix.AF_UNIX, unix.SOCK_STREAM), "not an IPv4 socket"},
		"not listening": {openSocketOf(unix.AF_INET, unix.SOCK_STREAM), "a TCP socket that does not listen"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Inherit(c.open(t))
			assert.ErrorContains(t, err, c.want)
		})
	}
}
