package listenerhandover

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

const (
	// socketPattern matches the names of the Unix sockets by which processes offer their listeners.
	socketPattern = "ternstage-listener-*.sock"
	// socketPrefix and socketSuffix enclose the process's start time and ID.
	socketPrefix = "ternstage-listener-"
	socketSuffix = ".sock"

	// replyTimeout limits the exchange with one successor.
	replyTimeout = time.Second
)

// Offer offers a listener to successors until it is closed.
type Offer struct {
	directory *os.File // kept open for the address of the Unix socket
	requests  *net.UnixListener
	listener  *net.TCPListener
}

// NewOffer offers a listener in a directory. The caller keeps the listener and must call Close before it closes it.
func NewOffer(directory string, listener *net.TCPListener) (*Offer, error) {
	opened, err := os.Open(directory)
	if err != nil {
		return nil, fmt.Errorf("offer listener: %w", err)
	}
	name := socketPrefix + strconv.FormatInt(time.Now().UnixNano(), 10) + "-" + strconv.Itoa(os.Getpid()) + socketSuffix
	requests, err := net.ListenUnix("unix", socketAddress(opened, name))
	if err != nil {
		_ = opened.Close()
		return nil, fmt.Errorf("offer listener: %w", err)
	}
	offer := &Offer{directory: opened, requests: requests, listener: listener}
	go offer.serve()
	return offer, nil
}

// socketAddress returns the address of a Unix socket in an open directory. The path of the directory itself may be
// longer than the address of a Unix socket can be.
func socketAddress(directory *os.File, name string) *net.UnixAddr {
	path := filepath.Join("/proc/self/fd", strconv.FormatUint(uint64(directory.Fd()), 10), name)
	return &net.UnixAddr{Name: path, Net: "unix"}
}

// Close ends the offer and removes its socket.
func (o *Offer) Close() {
	_ = o.requests.Close()
	_ = o.directory.Close()
}

// serve answers one successor after another until Close is called.
func (o *Offer) serve() {
	for {
		request, err := o.requests.AcceptUnix()
		if err != nil {
			return
		}
		o.pass(request)
		_ = request.Close()
	}
}

// pass sends the listener to a successor. A successor that does not get it finds the address in use and reports that.
func (o *Offer) pass(request *net.UnixConn) {
	raw, err := o.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = request.SetDeadline(time.Now().Add(replyTimeout))
	// os.File.Fd would make the listener blocking, in both processes.
	_ = raw.Control(func(fd uintptr) { _ = sendDescriptor(request, int(fd)) })
}
