package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFreeStaysFree: an address that was found free can be listened at later, whatever ports others take meanwhile.
func TestFreeStaysFree(t *testing.T) {
	var found []string
	for range 300 {
		a, err := Free()
		require.NoError(t, err)
		assert.NotContains(t, found, a)
		found = append(found, a)
		other, err := net.Listen("tcp", "127.0.0.1:0") // what the next test would do
		require.NoError(t, err)
		defer func() { _ = other.Close() }()
	}
	for _, a := range found {
		ln, err := net.Listen("tcp", a)
		require.NoError(t, err)
		_ = ln.Close()
	}
}
