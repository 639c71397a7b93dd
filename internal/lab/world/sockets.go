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

var errListen = errors.New("a node cannot listen")

const (
	maxFrameBytes = 1 << 20
	writeQueue    = 1024 // answers that may wait on a connection
	writeTimeout  = 2 * time.Second
)

// socket is a node's listener for the brokers of a zone.
type zoneListener struct {
	backend    *backend
	brokerZone int // the zone from which brokers come to it
	addr       string
	hasLost    bool                       // something was lost here, as the way is cut; the world's goroutine's
	inFlight   map[*receivedPart]struct{} // parts that are out here; the world's goroutine's

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
	grpc  *grpc.Server
}

// sockets are a node's listeners, one for the brokers of each zone. It implements wire.
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

// restored resets what was open over a way that had been cut.
func (ls zoneListeners) resetLost() {
	for _, x := range ls {
		if x.hasLost {
			x.hasLost = false
			x.close()
			x.listen()
		}
	}
}

// cut tells that nothing gets through now, and remembers that something would have.
func (l *zoneListener) isCut() bool {
	isCut := !l.backend.world.fleet.canReach(l.brokerZone, l.backend.zone)
	l.hasLost = l.hasLost || isCut
	return isCut
}

// back listens, at the same address as before.
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

// down ends the listener and all connections. What was out on them is out no more from this moment: who hears
// of the reset may send it elsewhere before any of our threads has.
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

// landing is a part that has reached a live node. It implements answerer.
type receivedPart struct {
	listener *zoneListener
	backend  *backend
	id       string // the part's
	job      *model.Job
	inFlight bool
	reply    func(end model.End, epoch uint64)
}

// land takes a part from a wire, on the world's goroutine.
func (l *zoneListener) receive(id, query string, r shardmap.Range, epoch uint64,
	reply func(model.End, uint64)) *receivedPart {
	n, s := l.backend, l.backend.world
	q := s.queries[query]
	if q == nil || n.Trouble == model.Down || n.Fallen || l.isCut() {
		return nil
	}
	p := &receivedPart{listener: l, backend: n, id: id, inFlight: true, reply: reply}
	p.job = &model.Job{Query: query, Class: q.ask.Class, Once: q.ask.Once, Districts: r, Epoch: epoch,
		Work: q.workOf(r), Context: p}
	s.check.Sent(s.now, q.broker.id(), n.ID)
	l.inFlight[p] = struct{}{}
	n.receive(p.job)
	return p
}

// answer implements answerer.
func (p *receivedPart) respond(end model.End) {
	if p.inFlight {
		if p.removeInFlight(); !p.listener.isCut() {
			p.reply(end, p.backend.Epoch())
		}
	}
}

// leave notes that the part is out no more.
func (p *receivedPart) removeInFlight() {
	if p != nil && p.inFlight {
		p.inFlight = false
		delete(p.listener.inFlight, p)
		p.backend.world.check.Gone(p.job.Query, p.job.Districts)
	}
}

// serve reads frames from one connection.
func (k *zoneListener) serve(c net.Conn) {
	s := k.backend.world
	out := make(chan []byte, writeQueue)
	inFlight := map[string]*receivedPart{} // the world's goroutine's
	defer func() {
		k.mu.Lock()
		delete(k.conns, c)
		k.mu.Unlock()
		_ = c.Close()
		s.live.post(func() {
			for _, l := range inFlight {
				l.removeInFlight()
				l.backend.Drop(l.job)
			}
			close(out)
			out = nil
		})
	}()
	go func(out chan []byte) {
		for b := range out {
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.Write(b); err != nil {
				_ = c.Close()
			}
		}
	}(out)
	r := bufio.NewReader(c)
	for {
		var head [4]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n < 1 || n > maxFrameBytes {
			return
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		switch body[0] {
		case 'X':
			id := string(body[1:])
			s.live.post(func() {
				if l := inFlight[id]; l != nil {
					l.removeInFlight()
					l.backend.Drop(l.job)
					delete(inFlight, id)
				}
			})
		case 'Q':
			for rest := body[1:]; len(rest) > 0; {
				line, more, _ := bytes.Cut(rest, []byte{'\n'})
				f := strings.Fields(string(line))
				if len(f) != 4 {
					return
				}
				size, err := strconv.Atoi(f[3])
				if err != nil || size > len(more) {
					return
				}
				rest = more[size:]
				epoch, buckets, err := parseEpochAndBuckets(f[2])
				if err != nil {
					return
				}
				id := f[0]
				query, _, _ := strings.Cut(id, ".")
				s.live.post(func() {
					l := k.receive(id, query, buckets, epoch, func(end model.End, epoch uint64) {
						delete(inFlight, id)
						select {
						case out <- encodeAnswer(id, end, epoch, cmp.Or(k.backend.loadReport, "-"),
							model.Value(query, buckets)):
						default:
							_ = c.Close()
						}
					})
					if l != nil && l.inFlight {
						inFlight[id] = l
					}
				})
			}
		}
	}
}

// fence reads the list of a part's line: d=240,e=17,r=120-135.
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

func encodeAnswer(id string, end model.End, epoch uint64, report, value string) []byte {
	words := map[model.End]string{model.OK: "ok 17", model.Err: "err 0", model.Busy: "busy 0",
		model.Moved: "moved " + strconv.FormatUint(epoch, 10)}
	text := id + " " + words[end] + " " + report + "\n"
	if end == model.OK {
		text += value
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(len(text)+1))
	return append(append(b, 'A'), text...)
}

// flightNode serves parts over Flight.
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
		end   model.End
		epoch uint64
	}
	s, n, r := f.listener.backend.world, f.listener.backend, shardmap.Range{Start: q.Lo, End: q.Hi}
	query, _, _ := strings.Cut(q.ID, ".")
	answer := make(chan ended, 1)
	var p *receivedPart // the world's goroutine's
	s.live.post(func() {
		p = f.listener.receive(q.ID, query, r, q.E, func(end model.End, epoch uint64) { answer <- ended{end, epoch} })
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

func sendDoc(out flight.FlightService_DoGetServer, end model.End, epoch uint64, value string) error {
	switch end {
	case model.Err:
		return status.Error(codes.Internal, "err")
	case model.Busy:
		return status.Error(codes.ResourceExhausted, "busy")
	case model.Moved:
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
