// Package loopback finds addresses for what processes under test listen at. A port of 127.0.0.1 that was
// found free can be taken before it is used, by a listener or a connection of any other test that runs
// beside; each address given here is one of 127.0.0.0/8 of its own, where nobody else asks for a port.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var given atomic.Int64

// Own is an address of its own with port 0, to listen at.
func Own() string {
	n, pid := int(given.Add(1)), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, n/250%250, 1+n%250)
}

// Free is an address of its own with a port at which nobody listens.
func Free() (string, error) {
	ln, err := net.Listen("tcp", Own())
	if err != nil {
		return "", fmt.Errorf("a free address: %w", err)
	}
	return ln.Addr().String(), ln.Close()
}
