// Package relay injects faults into the link between two processes under test: a relay cuts it, delays messages and
// duplicates them. It listens at an address of its own and forwards to one target, so that each side takes it for
// the other. Its fault can change at any time, from any goroutine.
package relay

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"ternstage/internal/lab/loopback"
)

const (
	dialTimeout      = time.Second
	chunkBytes       = 32 << 10
	maxQueuedPieces  = 256     // for each direction; beyond it the sender has to wait
	maxFrameBytes    = 1 << 20 // a longer frame is forwarded as it is, and nothing after it is duplicated
	frameHeaderBytes = 4
)

// Fault is what a relay does to its link. The zero Fault forwards everything at once.
type Fault struct {
	Cut            bool          // nothing is forwarded or reset; new connections are accepted and get no answer
	Delay          time.Duration // for each piece
	Jitter         time.Duration // random additional delay, at most; pieces keep their order
	DuplicateShare float64       // share of the target's frames (four bytes of length, then the data) sent twice
}

// Relay forwards the connections of one link.
type Relay struct {
	target string
	frames bool // the target sends frames
	ln     net.Listener

	mu          sync.Mutex
	fault       Fault
	changed     *sync.Cond // broadcast when the fault changes or the relay closes
	connections map[*connection]struct{}
	closed      bool
	stats       Stats
}

// Stats holds the numbers of connections accepted, pieces forwarded, frames duplicated and connections reset.
type Stats struct{ Conns, Pieces, Duplicated, Reset int }

// connection is a client's connection and the one to the target that it is forwarded over.
type connection struct {
	client, server net.Conn
	hasLost        bool // data was lost during a cut: it is reset when the cut ends
}

// New starts a relay to a target. frames says that the target sends frames, which the relay can duplicate; data to
// the target is never duplicated.
func New(target string, frames bool) (*Relay, error) {
	ln, err := net.Listen("tcp", loopback.Own())
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, frames: frames, ln: ln, connections: map[*connection]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Stats returns the counts so far.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Set changes the fault. Data lost in a cut is not sent again. When the cut ends, the connections that lost data are
// reset, as hosts do when their network returns.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	if !f.Cut {
		for c := range r.connections {
			if c.hasLost {
				r.stats.Reset++
				c.reset()
			}
		}
	}
	r.changed.Broadcast()
}

// Reset resets all connections of the link.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		r.stats.Reset++
		c.reset()
	}
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.ln.Close()
	for c := range r.connections {
		c.reset()
	}
	r.changed.Broadcast()
}

// reset closes both sides with a TCP reset.
func (c *connection) reset() {
	for _, side := range []net.Conn{c.client, c.server} {
		if t, ok := side.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}

// accept serves new connections until the listener is closed.
func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve forwards one connection. A connection that is accepted during a cut waits for its end and is then reset.
func (r *Relay) serve(client net.Conn) {
	c := &connection{client: client}
	r.mu.Lock()
	r.connections[c] = struct{}{}
	r.stats.Conns++
	for r.fault.Cut && !r.closed {
		c.hasLost = true
		r.changed.Wait()
	}
	done := r.closed || c.hasLost
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.connections, c)
		r.mu.Unlock()
		c.reset()
	}()
	if done {
		return
	}
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	r.mu.Lock()
	c.server = server
	done = r.closed
	r.mu.Unlock()
	if done {
		_ = server.Close()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); r.forward(c, client, server, false) }()
	go func() { defer both.Done(); r.forward(c, server, client, r.frames) }()
	both.Wait()
}

// piece is data that is forwarded together, a frame or a chunk, and when it is due.
type piece struct {
	data []byte
	due  time.Time
}

// forward forwards one direction until it ends.
func (r *Relay) forward(c *connection, from, to net.Conn, frames bool) {
	queue := make(chan piece, maxQueuedPieces)
	go r.readPieces(from, frames, queue)
	for x := range queue {
		time.Sleep(time.Until(x.due))
		if !r.countPiece(c) {
			for range queue { // data that arrives during a cut is lost
			}
			return
		}
		if _, err := to.Write(x.data); err != nil {
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	for range queue {
	}
}

// readPieces reads one direction until it ends and queues its pieces with their delay. It closes the queue.
func (r *Relay) readPieces(from net.Conn, frames bool, queue chan<- piece) {
	defer close(queue)
	lastDue := time.Time{}
	enqueue := func(data []byte) {
		f := r.currentFault()
		due := time.Now().Add(f.Delay + time.Duration(rand.Float64()*float64(f.Jitter)))
		if due.Before(lastDue) {
			due = lastDue
		}
		lastDue = due
		queue <- piece{data, due}
	}
	read := readChunk
	if frames {
		read = readFrame
	}
	for {
		data, isFrame, err := read(from)
		if len(data) > 0 {
			enqueue(data)
			if isFrame && r.shouldDuplicate() {
				enqueue(data)
			}
		}
		if !isFrame {
			read = readChunk // after a frame that is too long the limits of frames are unknown
		}
		if err != nil {
			return
		}
	}
}

// currentFault returns the fault as last set.
func (r *Relay) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// shouldDuplicate decides at random whether a frame is sent twice, and counts it if so.
func (r *Relay) shouldDuplicate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.DuplicateShare <= 0 || rand.Float64() >= r.fault.DuplicateShare {
		return false
	}
	r.stats.Duplicated++
	return true
}

// countPiece counts a piece that may be forwarded. It reports false for a piece that is lost, because the link is cut
// or the connection has lost data before.
func (r *Relay) countPiece(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.Cut {
		c.hasLost = true
		return false
	}
	r.stats.Pieces++
	return !c.hasLost
}

// readChunk reads what is available, up to chunkBytes. It never reports a frame.
func readChunk(c net.Conn) ([]byte, bool, error) {
	b := make([]byte, chunkBytes)
	n, err := c.Read(b)
	return b[:n], false, err
}

// readFrame reads one frame. isFrame is false if the frame is too long, and then only its header has been read, or
// if it did not arrive in full.
func readFrame(c net.Conn) (data []byte, isFrame bool, err error) {
	b := make([]byte, frameHeaderBytes, 512)
	if n, err := io.ReadFull(c, b); err != nil {
		return b[:n], false, err
	}
	n := binary.BigEndian.Uint32(b)
	if n > maxFrameBytes {
		return b, false, nil
	}
	b = append(b, make([]byte, n)...)
	got, err := io.ReadFull(c, b[frameHeaderBytes:])
	return b[:frameHeaderBytes+got], err == nil, err
}
