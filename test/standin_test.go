package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/stretchr/testify/require"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"ternstage/internal/lab/loopback"
)

// deed is what a node does with a part.
type deed int

const (
	serve deed = iota
	fail
	busy
	swallow      // takes it and answers nothing
	cut          // breaks without an answer
	cutInAnswer  // breaks halfway through the answer
	cutAfter     // breaks right after the answer
	serveOnceLet // answers once the test lets it
	busyOnceLet  // turns it away once the test lets it
	halfOnceLet  // sends half a line of its answer once the test lets it
	spoil        // answers with what cannot be read, and stays
	serveMore    // answers twice, with noise behind it
	sendRaw      // sends what the test says
)

// sent is a part that reached a node.
type sent struct {
	node, id string
	shard    int
	at, end  time.Time // end: when the node answered or broke
	raw      []byte    // the frame, where there was one
	conn     string    // the connection it came on, of frames
	nth      int       // on that connection, from 1
}

// nodes are the stand-ins of the rate nodes, over frames or Flight.
type nodes struct {
	members []member
	do      func(s sent, nth int) deed
	let     chan struct{}
	raw     func(id string) []byte // what sendRaw sends
	mu      sync.Mutex
	wire    [][]byte // frames both ways, without their lengths
	sends   []*sent
}

// startNodes starts four nodes; dead ones are listed and refuse connections.
func startNodes(t *testing.T, over wire, do func(s sent, nth int) deed, dead ...int) *nodes {
	ns := &nodes{do: do, let: make(chan struct{})}
	for i := range 4 {
		ln, err := net.Listen("tcp", loopback.Own())
		require.NoError(t, err)
		m := member{ID: fmt.Sprintf("s-%d", i), Address: ln.Addr().String(), Locality: "salt-lake", Cell: i,
			Phase: "SERVING", Size: 1}
		ns.members = append(ns.members, m)
		if contains(dead, i) {
			_ = ln.Close()
			continue
		}
		t.Cleanup(over.node(ns, m.ID, ln))
	}
	return ns
}

func contains(list []int, x int) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}

// got notes a part and says what is to be done.
func (ns *nodes) got(s sent) (*sent, deed) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	s.at = time.Now()
	ns.sends = append(ns.sends, &s)
	d := serve
	if ns.do != nil {
		d = ns.do(s, len(ns.sends))
	}
	return &s, d
}

func (ns *nodes) over(s *sent) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	s.end = time.Now()
}

func (ns *nodes) all() []sent {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	var out []sent
	for _, s := range ns.sends {
		out = append(out, *s)
	}
	return out
}

// gaveUp notes that the broker waits no more for what has no answer yet of a part.
func (ns *nodes) gaveUp(id string) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	for _, s := range ns.sends {
		if s.id == id && s.end.IsZero() {
			s.end = time.Now()
		}
	}
}

// frames are the frames that went both ways.
func (ns *nodes) frames() [][]byte {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return append([][]byte(nil), ns.wire...)
}

// abandoned are the frames that gave a part up.
func (ns *nodes) abandoned() (out [][]byte) {
	for _, f := range ns.frames() {
		if f[0] == 'X' {
			out = append(out, f)
		}
	}
	return out
}

func (ns *nodes) note(f []byte) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	ns.wire = append(ns.wire, f)
}

func doc(id string) string { return "doc of " + id }

// wire is one of the two ways in and out: stand-in clients and nodes that speak it.
type wire struct {
	name   string
	flight bool
	node   func(ns *nodes, id string, ln net.Listener) (stop func())
	ask    func(ctx context.Context, p *program, q query) reply
}

var wires = []wire{{"http", false, frameNode, askHTTP}, {"flight", true, flightNode, askFlight}}

// query is what a client asks; reply is how it ended for the client, in words that both wires share.
type query struct {
	id, class, tenant string
	shards            []int
	wait              time.Duration
	body              string // in place of a proper one
}

type reply struct {
	end   string // served, refused, timeout, failed, invalid, unknown, denied, gone
	whole bool
	docs  map[int]string
	after time.Duration // advice of a refusal
}

func (q query) text() string {
	if q.body != "" {
		return q.body
	}
	var parts []string
	for _, s := range q.shards {
		parts = append(parts, fmt.Sprintf(`{"shard":%d,"weight":%g,"cost":9000}`, s, 1/float64(len(q.shards))))
	}
	return fmt.Sprintf(`{"shards":[%s],"q":"c41e77d0"}`, strings.Join(parts, ","))
}

func askHTTP(ctx context.Context, p *program, q query) reply {
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+p.addr+"/"+q.class, strings.NewReader(q.text()))
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Class", q.class)
	r.Header.Set("X-Tenant", q.tenant)
	r.Header.Set("X-Deadline", strconv.FormatFloat(q.wait.Seconds(), 'f', 3, 64))
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	a, err := tr.RoundTrip(r)
	if err != nil {
		return reply{end: "gone"}
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return reply{end: "gone"}
	}
	ends := map[int]string{200: "served", 400: "invalid", 403: "denied", 404: "unknown", 502: "failed",
		503: "refused", 504: "timeout"}
	out := reply{end: ends[a.StatusCode], docs: map[int]string{}}
	after, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	out.after = time.Duration(after * float64(time.Second))
	if a.StatusCode == 200 {
		var b struct {
			Complete bool
			Hits     []struct {
				Shard int
				Doc   string
			}
		}
		if json.Unmarshal(text, &b) != nil {
			return reply{end: "garbled"}
		}
		out.whole = b.Complete
		for _, h := range b.Hits {
			out.docs[h.Shard] = h.Doc
		}
	}
	return out
}

func askFlight(ctx context.Context, p *program, q query) reply {
	cc, err := grpc.NewClient("passthrough:///"+p.grpc, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return reply{end: err.Error()}
	}
	defer cc.Close()
	ctx, cancel := context.WithTimeout(ctx, q.wait+50*time.Millisecond) // so that the broker's word comes first
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "x-request-id", q.id, "x-class", q.class, "x-tenant", q.tenant)
	s, err := flight.NewClientFromConn(cc, nil).DoGet(ctx, &flight.Ticket{Ticket: []byte(q.text())})
	if err != nil {
		return flightEnd(err)
	}
	r, err := flight.NewRecordReader(s)
	if err != nil {
		return flightEnd(err)
	}
	defer r.Release()
	out := reply{end: "served", docs: map[int]string{}}
	whole, _ := r.Schema().Metadata().GetValue("complete")
	out.whole = whole == "true"
	for r.Next() {
		rec := r.RecordBatch()
		for i := range int(rec.NumRows()) {
			out.docs[int(rec.Column(0).(*array.Int32).Value(i))] = string(rec.Column(1).(*array.Binary).Value(i))
		}
	}
	if r.Err() != nil {
		return flightEnd(r.Err())
	}
	return out
}

func flightEnd(err error) reply {
	ends := map[codes.Code]string{codes.InvalidArgument: "invalid", codes.PermissionDenied: "denied",
		codes.NotFound: "unknown", codes.Internal: "failed", codes.Unavailable: "refused",
		codes.DeadlineExceeded: "timeout", codes.Canceled: "gone"}
	st := status.Convert(err)
	out := reply{end: ends[st.Code()]}
	for _, d := range st.Details() {
		if i, ok := d.(*errdetails.RetryInfo); ok {
			out.after = i.RetryDelay.AsDuration()
		}
	}
	return out
}

// frameNode serves frames.
func frameNode(ns *nodes, id string, ln net.Listener) func() {
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open[c] = true
			mu.Unlock()
			go frameConn(ns, id, c)
		}
	}()
	return func() {
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for c := range open {
			_ = c.Close()
		}
	}
}

func frame(letter byte, rest string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1))
	return append(append(b, letter), rest...)
}

func frameConn(ns *nodes, node string, c net.Conn) {
	defer c.Close()
	r, nth := bufio.NewReader(c), 0
	for {
		head := make([]byte, 4)
		if _, err := io.ReadFull(r, head); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		ns.note(body)
		if body[0] == 'X' {
			ns.gaveUp(string(body[1:]))
		}
		for rest := body[1:]; body[0] == 'Q' && len(rest) > 0; {
			line, more, _ := bytes.Cut(rest, []byte{'\n'})
			f := strings.Fields(string(line))
			n, _ := strconv.Atoi(f[3])
			shard, _ := strconv.Atoi(f[1])
			rest = more[n:]
			nth++
			s, d := ns.got(sent{node: node, id: f[0], shard: shard, raw: body, conn: c.RemoteAddr().String(), nth: nth})
			go frameDo(ns, c, s, d)
		}
	}
}

func frameDo(ns *nodes, c net.Conn, s *sent, d deed) {
	if d == swallow {
		return
	}
	if d == serveOnceLet || d == busyOnceLet || d == halfOnceLet {
		<-ns.let
	}
	ok := frame('A', s.id+" ok 17 -\n"+doc(s.id))
	ns.over(s)
	ns.note(ok[4:])
	switch d {
	case fail:
		_, _ = c.Write(frame('A', s.id+" err 0 -\n"))
	case busy, busyOnceLet:
		_, _ = c.Write(frame('A', s.id+" busy 0 -\n"))
	case halfOnceLet:
		_, _ = c.Write(ok[:9])
	case cut:
		_ = c.Close()
	case cutInAnswer:
		_, _ = c.Write(ok[:len(ok)-3])
		_ = c.Close()
	case cutAfter:
		_, _ = c.Write(ok)
		_ = c.Close()
	case spoil:
		_, _ = c.Write(frame('A', s.id+" ? 17 -\n"+doc(s.id)))
	case serveMore:
		_, _ = c.Write(append(append(ok, ok...), "\x8a\xef\x98"...))
	case sendRaw:
		_, _ = c.Write(ns.raw(s.id))
	default:
		_, _ = c.Write(ok)
	}
}

// flightNode serves DoGet.
func flightNode(ns *nodes, id string, ln net.Listener) func() {
	s := grpc.NewServer()
	flight.RegisterFlightServiceServer(s, &flightServer{ns: ns, id: id})
	go func() { _ = s.Serve(ln) }()
	return s.Stop
}

type flightServer struct {
	flight.BaseFlightServer
	ns *nodes
	id string
}

// DoGet serves one part.
func (f *flightServer) DoGet(t *flight.Ticket, s flight.FlightService_DoGetServer) error {
	var q struct {
		ID    string
		Shard int
	}
	if err := json.Unmarshal(t.Ticket, &q); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	g, d := f.ns.got(sent{node: f.id, id: q.ID, shard: q.Shard})
	if d == swallow {
		<-s.Context().Done()
		f.ns.over(g)
		return s.Context().Err()
	}
	if d == serveOnceLet {
		<-f.ns.let
	}
	f.ns.over(g)
	schema := arrow.NewSchema([]arrow.Field{{Name: "doc", Type: arrow.BinaryTypes.Binary}}, nil)
	w := flight.NewRecordWriter(s, ipc.WithSchema(schema))
	switch d {
	case fail:
		return status.Error(codes.Internal, "err")
	case busy:
		return status.Error(codes.ResourceExhausted, "busy")
	case cut:
		return status.Error(codes.Unavailable, "the stream breaks")
	case cutInAnswer:
		return errAfter(w.Close()) // the schema is out, the batch is not
	}
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	if value := doc(q.ID); d == spoil {
		b.Field(0).(*array.BinaryBuilder).Append([]byte("\xff" + value))
	} else {
		b.Field(0).(*array.BinaryBuilder).Append([]byte(value))
	}
	rec := b.NewRecordBatch()
	defer rec.Release()
	if err := w.Write(rec); err != nil {
		return err
	}
	if d == serveMore {
		_, _ = w.Write(rec), s.Send(&flight.FlightData{DataHeader: []byte("\x8a\xef\x98")})
	}
	if d == cutAfter {
		return status.Error(codes.Unavailable, "the stream breaks")
	}
	return w.Close()
}

func errAfter(err error) error {
	if err != nil {
		return err
	}
	return status.Error(codes.Unavailable, "the stream breaks")
}
