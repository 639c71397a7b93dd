// Package loopback provides addresses at which processes under test listen. A free port of 127.0.0.1 can be taken
// before its use, by a listener or a connection of another test that runs at the same time. Each address from this
// package is a separate one of 127.0.0.0/8, on which no other test asks for ports.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// addressCount is the number of addresses that this process has used.
var addressCount atomic.Int64

// Own returns an unused loopback address with port 0, to listen at.
func Own() string {
	n, pid := int(addressCount.Add(1)), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, n/250%250, 1+n%250)
}

// Free returns an unused loopback address with a port at which nobody listens.
func Free() (string, error) {
	ln, err := net.Listen("tcp", Own())
	if err != nil {
		return "", fmt.Errorf("cannot listen at an unused loopback address: %w", err)
	}
	return ln.Addr().String(), ln.Close()
}

// Full returns a listener whose accept queue is full. A connection to it is established only after a call of drain,
// when the kernel retransmits the SYN, 1 s after the first one.
func Full() (ln net.Listener, drain func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("socket: %w", err)
	}
	f := os.NewFile(uintptr(fd), "full")
	defer func() { _ = f.Close() }()
	addr := unix.SockaddrInet4{Addr: netip.MustParseAddrPort(Own()).Addr().As4()}
	if err = errors.Join(unix.Bind(fd, &addr), unix.Listen(fd, 0)); err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	if ln, err = net.FileListener(f); err != nil {
		return nil, nil, fmt.Errorf("listener: %w", err)
	}
	queued := 0
	for { // fills the accept queue
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
		queued++
	}
	return ln, func() {
		for range queued {
			if c, err := ln.Accept(); err == nil {
				_ = c.Close()
			}
		}
	}, nil
}
