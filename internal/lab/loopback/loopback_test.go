package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFreeStaysFree: an address from Free must stay usable while other listeners take ports. With ports of 127.0.0.1
// a later listener could get the same port.
func TestFreeStaysFree(t *testing.T) {
	var found []string
	for range 300 {
		a, err := Free()
		require.NoError(t, err)
		assert.NotContains(t, found, a)
		found = append(found, a)
		other, err := net.Listen("tcp", "127.0.0.1:0") // as another test does
		require.NoError(t, err)
		defer func() { _ = other.Close() }()
	}
	for _, a := range found {
		ln, err := net.Listen("tcp", a)
		require.NoError(t, err)
		_ = ln.Close()
	}
}
