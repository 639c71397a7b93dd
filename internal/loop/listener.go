package loop

import (
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

// Accept takes one connection; the error is EAGAIN when there is none.
func Accept(listener int) (int, error) {
	fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err == nil {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	return fd, err
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
