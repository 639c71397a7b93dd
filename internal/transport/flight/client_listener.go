package flight

import (
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// handshakeTimeout is the time for a client to begin HTTP/2. After it gRPC closes the connection.
const handshakeTimeout = 2 * time.Second

// clientListener accepts the connections of clients for gRPC, up to a maximum number at a time.
//
// It ends in two steps, so that gRPC closes no accepted connection without a GOAWAY, after which a client knows which
// calls it has to make anew. First stopAccepting closes the listener and waits until gRPC serves all accepted
// connections or has closed them. Then gRPC calls Close, and Accept returns.
type clientListener struct {
	tcp            *net.TCPListener
	maxConnections int

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
	served   bool // gRPC has begun to serve it; guarded by listener.mu
}

// newClientListener returns a listener that takes ownership of tcp.
func newClientListener(tcp *net.TCPListener, maxConnections int) *clientListener {
	l := &clientListener{tcp: tcp, maxConnections: maxConnections, connections: map[*clientConnection]struct{}{}}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Accept implements net.Listener. At the maximum number of connections it waits until one ends.
func (l *clientListener) Accept() (net.Conn, error) {
	l.waitForSlot()
	connection, err := l.tcp.Accept()
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

// waitForSlot waits until a further connection may be accepted, or the listener ends.
func (l *clientListener) waitForSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.connections) >= l.maxConnections && !l.stopping {
		l.changed.Wait()
	}
}

// add counts an accepted connection. The caller must hold mu.
func (l *clientListener) add(connection net.Conn) *clientConnection {
	counted := &clientConnection{Conn: connection, listener: l}
	l.connections[counted] = struct{}{}
	return counted
}

// Close closes the connection. A repeated call returns an error.
func (c *clientConnection) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.connections, c)
	c.listener.changed.Broadcast()
	c.listener.mu.Unlock()
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
