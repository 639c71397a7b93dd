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

// TestConnectWithoutDescriptors: a connection that finds no descriptor asks for room once, and has it.
func TestConnectWithoutDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	defer ln.Close()
	var was unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &was))
	spare, err := os.Open(os.DevNull) // the lowest number that was free: those above it are none from now on
	require.NoError(t, err)
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(spare.Fd()) + 1, Max: was.Max}))
	defer func() { require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &was)) }()
	_, err = Connect(ln.Addr().String())
	require.ErrorIs(t, err, unix.EMFILE)
	asked := 0
	_, err = ConnectFreeing(ln.Addr().String(), func() bool { asked++; return false })
	require.ErrorIs(t, err, unix.EMFILE)
	fd, err := ConnectFreeing(ln.Addr().String(), func() bool { asked++; return spare.Close() == nil })
	require.NoError(t, err)
	assert.Equal(t, 2, asked)
	_ = unix.Close(fd)
}
