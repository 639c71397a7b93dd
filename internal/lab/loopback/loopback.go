// Package loopback finds addresses for what processes under test listen at. A port of 127.0.0.1 that was
// found free can be taken before it is used, by a listener or a connection of any other test that runs
// beside; each address given here is one of 127.0.0.0/8 of its own, where nobody else asks for a port.
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

var addressCount atomic.Int64

// Own is an address of its own with port 0, to listen at.
func Own() string {
	n, pid := int(addressCount.Add(1)), os.Getpid()
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

// Full is a listener whose queue is full: a connection to it comes up once drain has been called, by the
// kernel's next try, 1 s after the first.
func Full() (ln net.Listener, drain func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("socket: %w", err)
	}
	f := os.NewFile(uintptr(fd), "full")
	defer f.Close()
	at := unix.SockaddrInet4{Addr: netip.MustParseAddrPort(Own()).Addr().As4()}
	if err = errors.Join(unix.Bind(fd, &at), unix.Listen(fd, 0)); err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	if ln, err = net.FileListener(f); err != nil {
		return nil, nil, fmt.Errorf("listener: %w", err)
	}
	held := 0
	for { // those that the queue takes
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
		held++
	}
	return ln, func() {
		for range held {
			if c, err := ln.Accept(); err == nil {
				_ = c.Close()
			}
		}
	}, nil
}
