package loop

import (
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ternstage/internal/lab/loopback"
)

// TestConnectFreeingOutOfDescriptors checks that ConnectFreeing asks once for a descriptor to be freed when the
// process is out of descriptors, and that it connects if one was freed.
func TestConnectFreeingOutOfDescriptors(t *testing.T) {
	listener, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var before unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &before))
	spare, err := os.Open(os.DevNull) // takes the lowest free number, so a limit right above it leaves none free
	require.NoError(t, err)
	limit := unix.Rlimit{Cur: uint64(spare.Fd()) + 1, Max: before.Max}
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit))
	defer func() { require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &before)) }()
	address := listener.Addr().String()
	_, err = Connect(address)
	require.ErrorIs(t, err, unix.EMFILE)

	asked := 0
	_, err = ConnectFreeing(address, func() bool {
		asked++
		return false
	})
	require.ErrorIs(t, err, unix.EMFILE)
	fd, err := ConnectFreeing(address, func() bool {
		asked++
		return spare.Close() == nil
	})
	require.NoError(t, err)
	assert.Equal(t, 2, asked)
	_ = unix.Close(fd)
}

func TestConnectRejectsHostNames(t *testing.T) {
	for _, address := range []string{"", "localhost:80", "127.0.0.1", "127.0.0.1:port"} {
		_, err := Connect(address)
		assert.Error(t, err, "%q", address)
		_, err = Listen(address)
		assert.Error(t, err, "%q", address)
	}
}
