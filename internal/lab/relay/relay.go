// Package relay stands on a link between two processes under test and does to it what networks do: it cuts,
// delays and repeats. A relay listens at an address of its own and passes on what it gets to one target, so
// either side takes it for the other. What it does can change at any moment, from any goroutine.
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
	maxQueuedPieces  = 256     // pieces that wait in a direction: beyond it the sender is held back
	maxFrameBytes    = 1 << 20 // a longer frame is passed on as it is, and never again
	frameHeaderBytes = 4
)

// Fault is what a relay does to its link now. The zero Fault passes on all at once.
type Fault struct {
	Cut            bool          // nothing gets through, and nobody is told; new connections come up and stay silent
	Delay          time.Duration // each piece waits so long
	Jitter         time.Duration // and up to so much more, by chance; pieces keep their order
	DuplicateShare float64       // share of the target's frames (a length of four bytes, then so many) sent once more
}

// Relay is one link.
type Relay struct {
	target string
	frames bool // what the target sends comes in frames
	ln     net.Listener

	mu      sync.Mutex
	fault   Fault
	changed *sync.Cond // broadcast when the fault changes or the relay closes
	links   map[*link]struct{}
	closed  bool
	stats   Stats
}

// Stats are what a relay has counted.
type Stats struct{ Conns, Pieces, Duplicated, Reset int }

// pair is a connection and the one that it goes on as.
type link struct {
	client, server net.Conn
	hasLost        bool // something did not get through while it was cut: it is reset once the way is back
}

// New starts a relay to a target. frames tells that what the target sends comes in frames, to be repeated.
func New(target string, frames bool) (*Relay, error) {
	ln, err := net.Listen("tcp", loopback.Own())
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, frames: frames, ln: ln, links: map[*link]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Stats are the counts so far.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Set changes what it does. What was lost in a cut is not made up for: those connections are reset when the
// way is back, as machines do that find each other again.
func (r *Relay) Set(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
	if !f.Cut {
		for p := range r.links {
			if p.hasLost {
				r.stats.Reset++
				p.reset()
			}
		}
	}
	r.changed.Broadcast()
}

// Reset ends all connections of the link.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.links {
		r.stats.Reset++
		p.reset()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.ln.Close()
	for p := range r.links {
		p.reset()
	}
	r.changed.Broadcast()
}

func (p *link) reset() {
	for _, c := range []net.Conn{p.client, p.server} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve passes on one connection. In a cut it comes up here and goes nowhere until the way is back.
func (r *Relay) serve(in net.Conn) {
	p := &link{client: in}
	r.mu.Lock()
	r.links[p] = struct{}{}
	r.stats.Conns++
	for r.fault.Cut && !r.closed {
		p.hasLost = true
		r.changed.Wait()
	}
	gone := r.closed || p.hasLost
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.links, p)
		r.mu.Unlock()
		p.reset()
	}()
	if gone {
		return
	}
	out, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		return
	}
	r.mu.Lock()
	p.server = out
	gone = r.closed
	r.mu.Unlock()
	if gone {
		_ = out.Close()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); r.forward(p, in, out, false) }()
	go func() { defer both.Done(); r.forward(p, out, in, r.frames) }()
	both.Wait()
}

// piece is what goes on at a time.
type piece struct {
	data []byte
	due  time.Time
}

// pass carries one direction until it ends.
func (r *Relay) forward(p *link, from, to net.Conn, frames bool) {
	queue := make(chan piece, maxQueuedPieces)
	go func() {
		defer close(queue)
		last := time.Time{}
		put := func(data []byte) {
			f := r.currentFault()
			due := time.Now().Add(f.Delay + time.Duration(rand.Float64()*float64(f.Jitter)))
			if due.Before(last) {
				due = last
			}
			last = due
			queue <- piece{data, due}
		}
		read := readChunk
		if frames {
			read = readFrame
		}
		for {
			data, whole, err := read(from)
			if len(data) > 0 {
				put(data)
				if whole && r.shouldDuplicate() {
					put(data)
				}
			}
			if !whole {
				read = readChunk // what follows a frame that is too long cannot be told apart
			}
			if err != nil {
				return
			}
		}
	}()
	for x := range queue {
		time.Sleep(time.Until(x.due))
		if !r.countPiece(p) {
			for range queue { // what comes in a cut is lost
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

func (r *Relay) currentFault() Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// again tells whether a frame goes out once more.
func (r *Relay) shouldDuplicate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.DuplicateShare <= 0 || rand.Float64() >= r.fault.DuplicateShare {
		return false
	}
	r.stats.Duplicated++
	return true
}

// through counts a piece, or notes that it is lost.
func (r *Relay) countPiece(p *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fault.Cut {
		p.hasLost = true
		return false
	}
	r.stats.Pieces++
	return !p.hasLost
}

func readChunk(c net.Conn) ([]byte, bool, error) {
	b := make([]byte, chunkBytes)
	n, err := c.Read(b)
	return b[:n], false, err
}

// readFrame reads one frame; whole tells that it is one.
func readFrame(c net.Conn) (data []byte, whole bool, err error) {
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
