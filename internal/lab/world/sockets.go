package world

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/loopback"
	"ternstage/internal/lab/model"
)

const (
	maxFrameBytes = 1 << 20
	writeQueue    = 1024 // answers that may wait to be written to a connection
	writeTimeout  = 2 * time.Second
)

// zoneListener is the listener of a backend for the brokers of one zone. The event loop owns its fields, apart
// from those after the mutex.
type zoneListener struct {
	backend    *backend
	brokerZone int // zone of the brokers that connect to it
	addr       string
	hasLost    bool                       // a message was lost while the zones were cut off from each other
	inFlight   map[*receivedPart]struct{} // parts received here and not ended

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
	grpc  *grpc.Server
}

// zoneListeners are the listeners of a backend, one for the brokers of each zone. It implements listenerSet.
type zoneListeners []*zoneListener

func newZoneListeners(n *backend) (ls zoneListeners) {
	for from := range n.world.e.Zones {
		ls = append(ls, &zoneListener{backend: n, brokerZone: from, inFlight: map[*receivedPart]struct{}{}})
	}
	return ls
}

func (ls zoneListeners) close() {
	for _, x := range ls {
		x.close()
	}
}

func (ls zoneListeners) listen() {
	for _, x := range ls {
		x.listen()
	}
}

// resetLost implements listenerSet.
func (ls zoneListeners) resetLost() {
	for _, x := range ls {
		if x.hasLost {
			x.hasLost = false
			x.close()
			x.listen()
		}
	}
}

// dropIfCut reports whether a message is lost now as the zones are cut off from each other, and records the loss.
func (l *zoneListener) dropIfCut() bool {
	cut := !l.backend.world.fleet.canReach(l.brokerZone, l.backend.zone)
	l.hasLost = l.hasLost || cut
	return cut
}

// listen listens, at the same address as before if there was one.
func (l *zoneListener) listen() {
	at := l.addr
	if at == "" {
		at = loopback.Own()
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return
	}
	l.addr = ln.Addr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ln, l.conns = ln, map[net.Conn]struct{}{}
	if l.backend.world.live.opts.Flight {
		l.grpc = grpc.NewServer()
		flight.RegisterFlightServiceServer(l.grpc, &flightBackend{listener: l})
		go func(g *grpc.Server) { _ = g.Serve(ln) }(l.grpc)
		return
	}
	go l.accept(ln)
}

// close closes the listener and resets all connections. It removes their parts from flight at once: a broker
// that sees the reset may send them elsewhere before the goroutines of the connections notice it.
func (l *zoneListener) close() {
	for p := range l.inFlight {
		p.removeInFlight()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil {
		return
	}
	_ = l.ln.Close()
	l.ln = nil
	if l.grpc != nil {
		go l.grpc.Stop()
		l.grpc = nil
	}
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// accept serves the connections of a listener until that is closed.
func (l *zoneListener) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		if l.ln != ln {
			_ = c.Close()
		}
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		go l.serve(c)
	}
}

// receivedPart is a part that has reached a backend in a live run. It implements responder.
type receivedPart struct {
	listener *zoneListener
	backend  *backend
	id       string // of the part
	job      *model.Job
	inFlight bool
	reply    func(end model.Outcome, epoch uint64)
}

// receive passes a part from a connection to the backend, or returns nil if the part is lost. It runs in the
// event loop.
func (l *zoneListener) receive(id, query string, r shardmap.Range, epoch uint64,
	reply func(model.Outcome, uint64)) *receivedPart {
	n, s := l.backend, l.backend.world
	q := s.queries[query]
	if q == nil || n.Fault == model.Down || n.Overloaded || l.dropIfCut() {
		return nil
	}
	p := &receivedPart{listener: l, backend: n, id: id, inFlight: true, reply: reply}
	p.job = &model.Job{RequestID: query, Class: q.ask.Class, NonIdempotent: q.ask.NonIdempotent, Buckets: r, Epoch: epoch,
		Work: q.workOf(r), Context: p}
	s.check.AttemptSent(s.now, q.broker.id(), n.ID)
	l.inFlight[p] = struct{}{}
	n.receive(p.job)
	return p
}

// respond implements responder.
func (p *receivedPart) respond(end model.Outcome) {
	if p.inFlight {
		if p.removeInFlight(); !p.listener.dropIfCut() {
			p.reply(end, p.backend.Epoch())
		}
	}
}

// removeInFlight informs the checker that the part is no longer in flight.
func (p *receivedPart) removeInFlight() {
	if p != nil && p.inFlight {
		p.inFlight = false
		delete(p.listener.inFlight, p)
		p.backend.world.check.AttemptEnded(p.job.RequestID, p.job.Buckets)
	}
}

// serve reads frames from a connection until it fails or a frame is malformed.
func (l *zoneListener) serve(conn net.Conn) {
	c := &frameConn{listener: l, conn: conn, out: make(chan []byte, writeQueue), inFlight: map[string]*receivedPart{}}
	defer c.close()
	go c.write(c.out)
	for r := bufio.NewReader(conn); ; {
		body, err := readFrame(r)
		if err != nil {
			return
		}
		switch body[0] {
		case 'X':
			c.cancelPart(string(body[1:]))
		case 'Q':
			if c.receiveParts(body[1:]) != nil {
				return
			}
		}
	}
}

// frameConn is a connection of a broker that speaks frames.
type frameConn struct {
	listener *zoneListener
	conn     net.Conn
	out      chan []byte              // answers to write, nil after the end of the connection; owned by the event loop
	inFlight map[string]*receivedPart // by part id; owned by the event loop
}

// write writes answers to the connection until out is closed.
func (c *frameConn) write(out <-chan []byte) {
	for b := range out {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(b); err != nil {
			_ = c.conn.Close()
		}
	}
}

// close closes the connection and drops the parts that are in flight on it.
func (c *frameConn) close() {
	l := c.listener
	l.mu.Lock()
	delete(l.conns, c.conn)
	l.mu.Unlock()
	_ = c.conn.Close()
	l.backend.world.live.post(func() {
		for _, p := range c.inFlight {
			p.removeInFlight()
			p.backend.Drop(p.job)
		}
		close(c.out)
		c.out = nil
	})
}

// readFrame reads the body of a frame, which follows its length as 32 bits in big-endian order.
func readFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 1 || n > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes, not 1 to %d", n, maxFrameBytes)
	}
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return body, err
}

// cancelPart drops a part whose attempt the broker has cancelled.
func (c *frameConn) cancelPart(id string) {
	c.listener.backend.world.live.post(func() {
		if p := c.inFlight[id]; p != nil {
			p.removeInFlight()
			p.backend.Drop(p.job)
			delete(c.inFlight, id)
		}
	})
}

// receiveParts reads the parts of a request frame: for each a line of four fields, of which the last is the size
// of the payload that follows it.
func (c *frameConn) receiveParts(rest []byte) error {
	for len(rest) > 0 {
		line, more, _ := bytes.Cut(rest, []byte{'\n'})
		f := strings.Fields(string(line))
		if len(f) != 4 {
			return fmt.Errorf("part with %d fields, not 4", len(f))
		}
		size, err := strconv.Atoi(f[3])
		if err != nil || size > len(more) {
			return fmt.Errorf("part with payload size %q, of %d bytes in the frame", f[3], len(more))
		}
		rest = more[size:]
		epoch, buckets, err := parseEpochAndBuckets(f[2])
		if err != nil {
			return err
		}
		c.listener.backend.world.live.post(func() { c.receivePart(f[0], buckets, epoch) })
	}
	return nil
}

// receivePart passes a part to the backend. It runs in the event loop.
func (c *frameConn) receivePart(id string, buckets shardmap.Range, epoch uint64) {
	l := c.listener
	query, _, _ := strings.Cut(id, ".")
	p := l.receive(id, query, buckets, epoch, func(end model.Outcome, epoch uint64) {
		delete(c.inFlight, id)
		select {
		case c.out <- encodeAnswer(id, end, epoch, cmp.Or(l.backend.loadReport, "-"), model.Value(query, buckets)):
		default:
			_ = c.conn.Close()
		}
	})
	if p != nil && p.inFlight {
		c.inFlight[id] = p
	}
}

// parseEpochAndBuckets reads the epoch and the bucket range from a part's attributes: d=240,e=17,r=120-135.
func parseEpochAndBuckets(list string) (epoch uint64, r shardmap.Range, err error) {
	for _, f := range strings.Split(list, ",") {
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "e":
			epoch, err = strconv.ParseUint(value, 10, 63)
		case "r":
			_, err = fmt.Sscanf(value, "%d-%d", &r.Start, &r.End)
		}
		if err != nil {
			return 0, r, err
		}
	}
	if epoch == 0 || r.Size() < 1 {
		return 0, r, errors.New("no epoch or districts")
	}
	return epoch, r, nil
}

// encodeAnswer encodes the answer to a part as a frame.
func encodeAnswer(id string, end model.Outcome, epoch uint64, report, value string) []byte {
	words := map[model.Outcome]string{model.OK: "ok 17", model.Failed: "err 0", model.Rejected: "busy 0",
		model.NotHolder: "moved " + strconv.FormatUint(epoch, 10)}
	text := id + " " + words[end] + " " + report + "\n"
	if end == model.OK {
		text += value
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(len(text)+1))
	return append(append(b, 'A'), text...)
}

// flightBackend serves parts over Flight.
type flightBackend struct {
	flight.BaseFlightServer
	listener *zoneListener
}

var docSchema = arrow.NewSchema([]arrow.Field{{Name: "doc", Type: arrow.BinaryTypes.Binary}}, nil)

// DoGet serves one part.
func (f *flightBackend) DoGet(t *flight.Ticket, out flight.FlightService_DoGetServer) error {
	var q struct {
		ID     string
		E      uint64
		Lo, Hi int
	}
	if err := json.Unmarshal(t.GetTicket(), &q); err != nil || q.E == 0 || q.Hi <= q.Lo {
		return status.Error(codes.InvalidArgument, "the ticket cannot be used")
	}
	type ended struct {
		end   model.Outcome
		epoch uint64
	}
	s, n, r := f.listener.backend.world, f.listener.backend, shardmap.Range{Start: q.Lo, End: q.Hi}
	query, _, _ := strings.Cut(q.ID, ".")
	answer := make(chan ended, 1)
	var p *receivedPart // owned by the event loop
	s.live.post(func() {
		p = f.listener.receive(q.ID, query, r, q.E, func(end model.Outcome, epoch uint64) { answer <- ended{end, epoch} })
	})
	select {
	case a := <-answer:
		return sendDoc(out, a.end, a.epoch, model.Value(query, r))
	case <-s.live.done:
		return status.Error(codes.Unavailable, "over")
	case <-out.Context().Done():
		s.live.post(func() {
			if p != nil && p.inFlight {
				p.removeInFlight()
				n.Drop(p.job)
			}
		})
		return status.FromContextError(context.Cause(out.Context())).Err()
	}
}

// sendDoc sends the answer to a part as a record or as a status.
func sendDoc(out flight.FlightService_DoGetServer, end model.Outcome, epoch uint64, value string) error {
	switch end {
	case model.Failed:
		return status.Error(codes.Internal, "err")
	case model.Rejected:
		return status.Error(codes.ResourceExhausted, "busy")
	case model.NotHolder:
		st, err := status.New(codes.FailedPrecondition, "moved").WithDetails(&errdetails.ErrorInfo{Reason: "MOVED",
			Domain: "ternstage", Metadata: map[string]string{"epoch": strconv.FormatUint(epoch, 10)}})
		if err != nil {
			return err
		}
		return st.Err()
	}
	b := array.NewRecordBuilder(memory.DefaultAllocator, docSchema)
	defer b.Release()
	b.Field(0).(*array.BinaryBuilder).Append([]byte(value))
	rec := b.NewRecordBatch()
	defer rec.Release()
	w := flight.NewRecordWriter(out, ipc.WithSchema(docSchema))
	if err := w.Write(rec); err != nil {
		return err
	}
	return w.Close()
}
