package loop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Connect starts a non-blocking TCP connection; writable means that it is up or has failed.
func Connect(address string) (int, error) {
	sa, family, err := resolve(address)
	if err != nil {
		return -1, err
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS {
		_ = unix.Close(fd)
		return -1, fmt.Errorf("connect to %s: %w", address, err)
	}
	return fd, nil
}

// ConnectFreeing is Connect for a process that may be out of descriptors: then room is asked for one, and the
// connection is tried once more.
func ConnectFreeing(address string, room func() bool) (int, error) {
	fd, err := Connect(address)
	if (errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)) && room != nil && room() {
		return Connect(address)
	}
	return fd, err
}

// SocketError is the pending error of a socket, nil if there is none.
func SocketError(fd int) error {
	if n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err != nil {
		return err
	} else if n != 0 {
		return unix.Errno(n)
	}
	return nil
}

func resolve(address string) (unix.Sockaddr, int, error) {
	ap, err := netip.ParseAddrPort(address) // there is no DNS
	if err != nil {
		return nil, 0, fmt.Errorf("address %q: %w", address, err)
	}
	if a := ap.Addr().Unmap(); a.Is4() {
		return &unix.SockaddrInet4{Port: int(ap.Port()), Addr: a.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}, unix.AF_INET6, nil
}
