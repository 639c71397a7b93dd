package loop

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Connect starts to open a non-blocking TCP connection to an IP address and port. The descriptor becomes writable
// when the connection is established or has failed; SocketError then returns nil or the reason of the failure.
func Connect(address string) (fd int, err error) {
	socketAddress, family, err := parseSocketAddress(address)
	if err != nil {
		return -1, err
	}
	fd, err = openSocket(family)
	if err != nil {
		return -1, err
	}
	disableNagle(fd)
	if err := unix.Connect(fd, socketAddress); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		_ = unix.Close(fd)
		return -1, fmt.Errorf("connect to %s: %w", address, err)
	}
	return fd, nil
}

// ConnectFreeing calls Connect and, if the process or the system is out of file descriptors, frees one and calls
// Connect once more. freeDescriptor closes a descriptor that is not needed and reports whether it did. It is called
// at most once and may be nil.
func ConnectFreeing(address string, freeDescriptor func() bool) (fd int, err error) {
	fd, err = Connect(address)
	if isOutOfDescriptors(err) && freeDescriptor != nil && freeDescriptor() {
		return Connect(address)
	}
	return fd, err
}

func isOutOfDescriptors(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)
}

// SocketError returns and clears the pending error of a socket. It returns nil if there is none.
func SocketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return unix.Errno(code)
	}
	return nil
}

// openSocket opens a non-blocking, close-on-exec TCP socket.
func openSocket(family int) (fd int, err error) {
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("open socket: %w", err)
	}
	return fd, nil
}

// disableNagle disables Nagle's algorithm, which would delay small messages.
func disableNagle(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
}

// parseSocketAddress parses an IP address and port. Host names are not supported. An IPv4-mapped IPv6 address is
// treated as IPv4.
func parseSocketAddress(address string) (socketAddress unix.Sockaddr, family int, err error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, 0, fmt.Errorf("address %q: %w", address, err)
	}
	port := int(addrPort.Port())
	if addr := addrPort.Addr().Unmap(); addr.Is4() {
		return &unix.SockaddrInet4{Port: port, Addr: addr.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: port, Addr: addrPort.Addr().As16()}, unix.AF_INET6, nil
}
