package flight

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// handshakeTimeout is the time for a client to begin HTTP/2. After it gRPC closes the connection.
	handshakeTimeout = 2 * time.Second
	// minIdle is the time without input and calls after which a connection may be evicted.
	minIdle = 100 * time.Millisecond
	// evictionInterval is the interval at which a new connection looks for one to evict.
	evictionInterval = 10 * time.Millisecond
)

// clientListener accepts the connections of clients for gRPC, up to a maximum number at a time. At the maximum a new
// connection evicts one on which no call is in progress.
//
// It ends in two steps, so that gRPC closes no accepted connection without a GOAWAY, after which a client knows which
// calls it has to make anew. First stopAccepting closes the listener and waits until gRPC serves all accepted
// connections or has closed them. Then gRPC calls Close, and Accept returns.
type clientListener struct {
	tcp            *net.TCPListener
	maxConnections int
	admission      *admission

	mu          sync.Mutex
	changed     *sync.Cond // the fields below have changed
	connections map[*clientConnection]struct{}
	stopping    bool
	queued      []net.Conn // taken from the kernel's queue by stopAccepting
	acceptEnded bool       // Accept passes on no further connection
	closed      bool
}

var _ net.Listener = (*clientListener)(nil)

// clientConnection is an accepted connection. The listener counts it until it is closed.
type clientConnection struct {
	net.Conn
	listener *clientListener
	input    connectionInput
	served   bool // gRPC has begun to serve it; guarded by listener.mu
}

// newClientListener returns a listener that takes ownership of tcp.
func newClientListener(tcp *net.TCPListener, maxConnections int, admission *admission) *clientListener {
	l := &clientListener{
		tcp:            tcp,
		maxConnections: maxConnections,
		admission:      admission,
		connections:    map[*clientConnection]struct{}{},
	}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept implements net.Listener. At the maximum number of connections it evicts another, or waits until one ends or
// can be evicted.
func (l *clientListener) Accept() (net.Conn, error) {
	connection, err := l.tcp.Accept()
	if err == nil {
		l.waitForSlot()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && len(l.queued) > 0 {
		connection, err = l.queued[0], nil
		l.queued = l.queued[1:]
	}
	if err == nil {
		return l.add(connection), nil
	}
	if l.stopping {
		l.acceptEnded = true
		l.changed.Broadcast()
		for !l.closed {
			l.changed.Wait()
		}
	}
	return nil, err
}

// waitForSlot waits until a further connection may be served, or the listener ends.
func (l *clientListener) waitForSlot() {
	for {
		l.mu.Lock()
		isFree := len(l.connections) < l.maxConnections || l.stopping
		idlest := l.idlest()
		l.mu.Unlock()
		switch {
		case isFree:
			return
		case idlest != nil:
			_ = idlest.Close()
		default:
			l.rejectIncomplete()
			time.Sleep(evictionInterval)
		}
	}
}

// rejectIncomplete rejects the calls of connections on which nothing but incomplete messages is in progress. These
// connections are then evicted.
func (l *clientListener) rejectIncomplete() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		connection.input.rejectIfIncomplete(minIdle)
	}
}

// idlest returns the connection that has been idle for the longest time, or nil if none may be evicted. Those that have
// never made a call come first. The caller must hold mu.
func (l *clientListener) idlest() *clientConnection {
	var found *clientConnection
	for connection := range l.connections {
		if connection.isIdle() && (found == nil || connection.isIdlerThan(found)) {
			found = connection
		}
	}
	return found
}

// isIdle reports whether the connection may be evicted: no call is in progress, no input has arrived for a time and
// none waits to be read. A call in it would be lost, and the last answer may still be in transit. What arrives of
// rejected calls does not count.
func (c *clientConnection) isIdle() bool {
	calls, activeAt := c.input.activity()
	if calls > 0 {
		return false
	}
	return c.input.isRejected(minIdle) || time.Since(activeAt) > minIdle && !c.hasUnread()
}

// isIdlerThan reports whether the connection is evicted before another one.
func (c *clientConnection) isIdlerThan(other *clientConnection) bool {
	if c.input.hasMadeCalls() != other.input.hasMadeCalls() {
		return !c.input.hasMadeCalls()
	}
	_, activeAt := c.input.activity()
	_, otherActiveAt := other.input.activity()
	return activeAt.Before(otherActiveAt)
}

// hasUnread reports whether input waits in the kernel.
func (c *clientConnection) hasUnread() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	connection, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	_ = connection.Control(func(fd uintptr) {
		var next [1]byte
		count, _, _ = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return count > 0
}

// add counts an accepted connection. The caller must hold mu.
func (l *clientListener) add(connection net.Conn) *clientConnection {
	counted := &clientConnection{
		Conn:     connection,
		listener: l,
		input:    connectionInput{admission: l.admission, activeAt: time.Now()},
	}
	l.connections[counted] = struct{}{}
	return counted
}

// Read implements net.Conn. It waits until the admission lets the connection be read.
func (c *clientConnection) Read(buffer []byte) (int, error) {
	c.input.waitToRead()
	count, err := c.Conn.Read(buffer[:min(len(buffer), readQuantumBytes)])
	c.input.addRead(count)
	return count, err
}

// Close closes the connection. A repeated call returns an error.
func (c *clientConnection) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.connections, c)
	c.listener.changed.Broadcast()
	c.listener.mu.Unlock()
	c.input.close()
	return c.Conn.Close()
}

// setServed records that gRPC has begun to serve the connection of the client at an address. It returns nil if that
// has been closed.
func (l *clientListener) setServed(client net.Addr) *clientConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		if !connection.served && connection.RemoteAddr() == client {
			connection.served = true
			l.changed.Broadcast()
			return connection
		}
	}
	return nil
}

// stopAccepting closes the listener and waits until gRPC serves or has closed all accepted connections. Those in the
// kernel's queue are accepted first, also if a successor accepts from the same queue: it may have ended meanwhile.
func (l *clientListener) stopAccepting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	l.changed.Broadcast()
	l.queued = acceptQueued(l.tcp)
	_ = l.tcp.Close()
	for !l.acceptEnded || l.hasHandshake() {
		l.changed.Wait()
	}
}

// hasHandshake reports whether gRPC does not serve some connection yet. The caller must hold mu.
func (l *clientListener) hasHandshake() bool {
	for connection := range l.connections {
		if !connection.served {
			return true
		}
	}
	return false
}

// Close implements net.Listener. A repeated call does nothing.
func (l *clientListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.changed.Broadcast()
	_ = l.tcp.Close()
	return nil
}

// Addr implements net.Listener.
func (l *clientListener) Addr() net.Addr { return l.tcp.Addr() }

// acceptQueued accepts the connections in the kernel's queue without waiting for others.
func acceptQueued(listener *net.TCPListener) (accepted []net.Conn) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(listenerFD uintptr) {
		for {
			fd, _, err := unix.Accept4(int(listenerFD), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(fd), "connection")
			connection, err := net.FileConn(file) // duplicates the descriptor
			_ = file.Close()
			if err == nil {
				accepted = append(accepted, connection)
			}
		}
	})
	return accepted
}
