package loop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const backlog = 512

// Listen opens a non-blocking TCP listener on that address only.
func Listen(address string) (int, error) {
	sa, family, err := resolve(address)
	if err != nil {
		return -1, err
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	// A restart takes the same address while old connections linger.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err = unix.Bind(fd, sa); err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, fmt.Errorf("listen on %s: %w", address, err)
	}
	return fd, nil
}

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

// Accept takes one connection; the error is EAGAIN when there is none.
func Accept(listener int) (int, error) {
	fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err == nil {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	return fd, err
}

// Failure is the pending error of a socket, nil if there is none.
func Failure(fd int) error {
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
