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
	frameMost  = 1 << 20
	writeQueue = 1024 // answers that may wait on a connection
	writeMost  = 2 * time.Second
)

// socket is a node's listener for the brokers of a zone.
type socket struct {
	node   *node
	from   int // the zone from which brokers come to it
	addr   string
	lost   bool                  // something was lost here, as the way is cut; the world's goroutine's
	landed map[*landing]struct{} // parts that are out here; the world's goroutine's

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
	grpc  *grpc.Server
}

// sockets are a node's listeners, one for the brokers of each zone. It implements wire.
type sockets []*socket

func newSockets(n *node) (k sockets) {
	for from := range n.sim.e.Zones {
		k = append(k, &socket{node: n, from: from, landed: map[*landing]struct{}{}})
	}
	return k
}

func (k sockets) down() {
	for _, x := range k {
		x.down()
	}
}

func (k sockets) back() {
	for _, x := range k {
		x.back()
	}
}

// restored resets what was open over a way that had been cut.
func (k sockets) restored() {
	for _, x := range k {
		if x.lost {
			x.lost = false
			x.down()
			x.back()
		}
	}
}

// cut tells that nothing gets through now, and remembers that something would have.
func (k *socket) cut() bool {
	cut := !k.node.sim.fleet.reach(k.from, k.node.zone)
	k.lost = k.lost || cut
	return cut
}

// back listens, at the same address as before.
func (k *socket) back() {
	at := k.addr
	if at == "" {
		at = loopback.Own()
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return
	}
	k.addr = ln.Addr().String()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ln, k.conns = ln, map[net.Conn]struct{}{}
	if k.node.sim.live.o.Flight {
		k.grpc = grpc.NewServer()
		flight.RegisterFlightServiceServer(k.grpc, &flightNode{k: k})
		go func(g *grpc.Server) { _ = g.Serve(ln) }(k.grpc)
		return
	}
	go k.accept(ln)
}

// down ends the listener and all connections. What was out on them is out no more from this moment: who hears
// of the reset may send it elsewhere before any of our threads has.
func (k *socket) down() {
	for l := range k.landed {
		l.leave()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ln == nil {
		return
	}
	_ = k.ln.Close()
	k.ln = nil
	if k.grpc != nil {
		go k.grpc.Stop()
		k.grpc = nil
	}
	for c := range k.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (k *socket) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		if k.ln != ln {
			_ = c.Close()
		}
		k.conns[c] = struct{}{}
		k.mu.Unlock()
		go k.serve(c)
	}
}

// landing is a part that has reached a live node. It implements answerer.
type landing struct {
	k     *socket
	node  *node
	id    string // the part's
	job   *model.Job
	out   bool
	reply func(end model.End, epoch uint64)
}

// land takes a part from a wire, on the world's goroutine.
func (k *socket) land(id, query string, r shardmap.Range, epoch uint64,
	reply func(model.End, uint64)) *landing {
	n, s := k.node, k.node.sim
	q := s.queries[query]
	if q == nil || n.Trouble == model.Down || n.Fallen || k.cut() {
		return nil
	}
	l := &landing{k: k, node: n, id: id, out: true, reply: reply}
	l.job = &model.Job{Query: query, Class: q.ask.Class, Once: q.ask.Once, Districts: r, Epoch: epoch,
		Work: q.workOf(r), Context: l}
	s.check.Sent(s.now, q.b.id(), n.ID)
	k.landed[l] = struct{}{}
	n.arrive(l.job)
	return l
}

// answer implements answerer.
func (l *landing) answer(end model.End) {
	if l.out {
		if l.leave(); !l.k.cut() {
			l.reply(end, l.node.Epoch())
		}
	}
}

// leave notes that the part is out no more.
func (l *landing) leave() {
	if l != nil && l.out {
		l.out = false
		delete(l.k.landed, l)
		l.node.sim.check.Gone(l.job.Query, l.job.Districts)
	}
}

// serve reads frames from one connection.
func (k *socket) serve(c net.Conn) {
	s := k.node.sim
	out := make(chan []byte, writeQueue)
	landed := map[string]*landing{} // the world's goroutine's
	defer func() {
		k.mu.Lock()
		delete(k.conns, c)
		k.mu.Unlock()
		_ = c.Close()
		s.live.post(func() {
			for _, l := range landed {
				l.leave()
				l.node.Drop(l.job)
			}
			close(out)
			out = nil
		})
	}()
	go func(out chan []byte) {
		for b := range out {
			_ = c.SetWriteDeadline(time.Now().Add(writeMost))
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
		if n < 1 || n > frameMost {
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
				if l := landed[id]; l != nil {
					l.leave()
					l.node.Drop(l.job)
					delete(landed, id)
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
				epoch, districts, err := fence(f[2])
				if err != nil {
					return
				}
				id := f[0]
				query, _, _ := strings.Cut(id, ".")
				s.live.post(func() {
					l := k.land(id, query, districts, epoch, func(end model.End, epoch uint64) {
						delete(landed, id)
						select {
						case out <- frameAnswer(id, end, epoch, cmp.Or(k.node.report, "-"),
							model.Value(query, districts)):
						default:
							_ = c.Close()
						}
					})
					if l != nil && l.out {
						landed[id] = l
					}
				})
			}
		}
	}
}

// fence reads the list of a part's line: d=240,e=17,r=120-135.
func fence(list string) (epoch uint64, r shardmap.Range, err error) {
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

func frameAnswer(id string, end model.End, epoch uint64, report, value string) []byte {
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
type flightNode struct {
	flight.BaseFlightServer
	k *socket
}

var docSchema = arrow.NewSchema([]arrow.Field{{Name: "doc", Type: arrow.BinaryTypes.Binary}}, nil)

// DoGet serves one part.
func (f *flightNode) DoGet(t *flight.Ticket, out flight.FlightService_DoGetServer) error {
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
	s, n, r := f.k.node.sim, f.k.node, shardmap.Range{Start: q.Lo, End: q.Hi}
	query, _, _ := strings.Cut(q.ID, ".")
	answer := make(chan ended, 1)
	var l *landing // the world's goroutine's
	s.live.post(func() {
		l = f.k.land(q.ID, query, r, q.E, func(end model.End, epoch uint64) { answer <- ended{end, epoch} })
	})
	select {
	case a := <-answer:
		return sendDoc(out, a.end, a.epoch, model.Value(query, r))
	case <-s.live.gone:
		return status.Error(codes.Unavailable, "over")
	case <-out.Context().Done():
		s.live.post(func() {
			if l != nil && l.out {
				l.leave()
				n.Drop(l.job)
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
