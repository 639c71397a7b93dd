package loop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// listenBacklog is the maximum number of established connections that the kernel queues until they are accepted.
const listenBacklog = 512

// Listen opens a non-blocking TCP listener on one IP address and port.
func Listen(address string) (fd int, err error) {
	socketAddress, family, err := parseSocketAddress(address)
	if err != nil {
		return -1, err
	}
	fd, err = openSocket(family)
	if err != nil {
		return -1, err
	}
	if err := bindAndListen(fd, socketAddress); err != nil {
		_ = unix.Close(fd)
		return -1, fmt.Errorf("listen on %s: %w", address, err)
	}
	return fd, nil
}

func bindAndListen(fd int, address unix.Sockaddr) error {
	// Lets a restarted process bind the address while connections of the old process are in TIME_WAIT.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err := unix.Bind(fd, address); err != nil {
		return err
	}
	return unix.Listen(fd, listenBacklog)
}

// Accept accepts one connection as a non-blocking descriptor. The error is unix.EAGAIN if no connection is queued.
func Accept(listener int) (fd int, err error) {
	fd, _, err = unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err == nil {
		disableNagle(fd)
	}
	return fd, err
}

// Inherit prepares a listener that the process inherited as descriptor fd: it makes the descriptor non-blocking and
// close-on-exec, and returns the listener's address and port. If fd is not a listening TCP socket over IPv4, the
// error says what it is instead.
func Inherit(fd int) (address string, err error) {
	if fd < 0 {
		return "", fmt.Errorf("descriptor %d: not a descriptor", fd)
	}
	listening, err := inspectListener(fd)
	if err != nil {
		return "", fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return "", fmt.Errorf("descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	return listening.String(), nil
}

// inspectListener returns the address and port of a listening TCP socket over IPv4. The error says why a descriptor
// is not such a socket.
func inspectListener(fd int) (netip.AddrPort, error) {
	socketType, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("not a socket: %w", err)
	}
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("read SO_ACCEPTCONN: %w", err)
	}
	socketAddress, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("read the socket's address: %w", err)
	}
	inet4, isInet4 := socketAddress.(*unix.SockaddrInet4)
	switch {
	case socketType != unix.SOCK_STREAM:
		return netip.AddrPort{}, fmt.Errorf("a socket of type %d, not TCP", socketType)
	case !isInet4:
		return netip.AddrPort{}, errors.New("not an IPv4 socket")
	case listening != 1:
		return netip.AddrPort{}, errors.New("a TCP socket that does not listen")
	}
	return netip.AddrPortFrom(netip.AddrFrom4(inet4.Addr), uint16(inet4.Port)), nil
}
