package listenerhandover

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ternstage/internal/lab/loopback"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Free()
	require.NoError(t, err)
	return address
}

// TestQueuedConnectionOutlivesOffer checks that a connection that waits in the queue is accepted by the successor after
// the old process has closed its listener.
func TestQueuedConnectionOutlivesOffer(t *testing.T) {
	directory := filepath.Join(t.TempDir(), strings.Repeat("x", 120)) // longer than a Unix socket's address
	require.NoError(t, os.Mkdir(directory, 0o700))
	address := freeAddress(t)
	old, taken, err := Listen(directory, address)
	require.NoError(t, err)
	require.False(t, taken)
	offer, err := NewOffer(directory, old)
	require.NoError(t, err)
	client, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	next, taken, err := Listen(directory, address)
	require.NoError(t, err)
	defer func() { _ = next.Close() }()
	require.True(t, taken)
	offer.Close()
	require.NoError(t, old.Close())
	accepted, err := next.Accept()
	require.NoError(t, err)
	assert.Equal(t, client.LocalAddr().String(), accepted.RemoteAddr().String())
	_ = accepted.Close()
	sockets, err := filepath.Glob(filepath.Join(directory, socketPattern))
	require.NoError(t, err)
	assert.Empty(t, sockets)
}

// TestAddressOfAnotherProgram checks that an address that another program has is an error, also beside an offer of a
// listener on another address and the socket of a process that was killed.
func TestAddressOfAnotherProgram(t *testing.T) {
	directory := t.TempDir()
	killed, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(directory, socketPrefix+"1-1"+socketSuffix)})
	require.NoError(t, err)
	killed.SetUnlinkOnClose(false)
	require.NoError(t, killed.Close())
	offered, _, err := Listen(directory, freeAddress(t))
	require.NoError(t, err)
	offer, err := NewOffer(directory, offered)
	require.NoError(t, err)
	defer offer.Close()
	foreign, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	defer func() { _ = foreign.Close() }()
	_, _, err = Listen(directory, foreign.Addr().String())
	require.ErrorIs(t, err, unix.EADDRINUSE)
	assert.ErrorContains(t, err, foreign.Addr().String())
	assert.NoFileExists(t, filepath.Join(directory, socketPrefix+"1-1"+socketSuffix))
}
