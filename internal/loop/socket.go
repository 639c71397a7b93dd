package loop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

const listenBacklog = 512

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
		err = unix.Listen(fd, listenBacklog)
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

// ConnectFreeing is Connect for a process that may be out of descriptors: then room is asked for one, and the
// connection is tried once more.
func ConnectFreeing(address string, room func() bool) (int, error) {
	fd, err := Connect(address)
	if (errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)) && room != nil && room() {
		return Connect(address)
	}
	return fd, err
}

// Accept takes one connection; the error is EAGAIN when there is none.
func Accept(listener int) (int, error) {
	fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err == nil {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
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

// Inherit takes a listening socket that the process was given at its start, as descriptor fd, and makes it
// non-blocking and closed on exec. It must be a listening TCP socket over IPv4; anything else is an error
// that names what it is.
func Inherit(fd int) (address string, err error) {
	if fd < 0 {
		return "", fmt.Errorf("descriptor %d: not a descriptor", fd)
	}
	kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil {
		return "", fmt.Errorf("descriptor %d: not a socket: %w", fd, err)
	}
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil {
		return "", fmt.Errorf("descriptor %d: %w", fd, err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return "", fmt.Errorf("descriptor %d: %w", fd, err)
	}
	in4, ok := sa.(*unix.SockaddrInet4)
	switch {
	case kind != unix.SOCK_STREAM:
		return "", fmt.Errorf("descriptor %d: a socket of type %d, not TCP", fd, kind)
	case !ok:
		return "", fmt.Errorf("descriptor %d: not an IPv4 socket", fd)
	case listening != 1:
		return "", fmt.Errorf("descriptor %d: a TCP socket that does not listen", fd)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return "", fmt.Errorf("descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	return netip.AddrPortFrom(netip.AddrFrom4(in4.Addr), uint16(in4.Port)).String(), nil
}
