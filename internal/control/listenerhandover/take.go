package listenerhandover

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// bindTimeout limits the time for which Listen repeats its attempts while the address is in use and no process
	// offers its listener: the old process may be about to close it.
	bindTimeout = time.Second
	// bindInterval is the time between these attempts.
	bindInterval = 20 * time.Millisecond
)

// Listen returns a listener on address, "HOST:PORT" with a numeric host. It takes the listener that another process of
// the broker offers in the directory. If none does, it opens one. taken reports which of the two it was.
func Listen(directory, address string) (listener *net.TCPListener, taken bool, err error) {
	wanted, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, false, fmt.Errorf("listen: %w", err)
	}
	for deadline := time.Now().Add(bindTimeout); ; time.Sleep(bindInterval) {
		if listener := take(directory, wanted); listener != nil {
			return listener, true, nil
		}
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(wanted))
		if !errors.Is(err, unix.EADDRINUSE) || time.Now().After(deadline) {
			return listener, false, err
		}
	}
}

// take returns the listener on an address that a process offers in the directory, or nil if none does.
func take(directory string, wanted netip.AddrPort) *net.TCPListener {
	paths, err := filepath.Glob(filepath.Join(directory, socketPattern))
	if err != nil || len(paths) == 0 {
		return nil
	}
	opened, err := os.Open(directory)
	if err != nil {
		return nil
	}
	defer func() { _ = opened.Close() }()
	slices.Sort(paths)
	for _, path := range slices.Backward(paths) { // the process that started last is the first
		if listener := request(opened, path); listener != nil {
			if isOn(listener, wanted) {
				return listener
			}
			_ = listener.Close()
		}
	}
	return nil
}

// request asks the process that offers its listener by the socket at a path for it. It returns nil if the process does
// not answer, and removes the socket if the process has ended.
func request(directory *os.File, path string) *net.TCPListener {
	connection, err := net.DialUnix("unix", nil, socketAddress(directory, filepath.Base(path)))
	if errors.Is(err, unix.ECONNREFUSED) {
		_ = os.Remove(path)
	}
	if err != nil {
		return nil
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(replyTimeout))
	listener, err := receiveListener(connection)
	if err != nil {
		return nil
	}
	return listener
}

// isOn reports whether a listener listens on an address.
func isOn(listener *net.TCPListener, wanted netip.AddrPort) bool {
	actual, ok := listener.Addr().(*net.TCPAddr)
	return ok && actual.AddrPort() == wanted
}
