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

// behavior is what a simulated backend does with a part.
type behavior int

const (
	serve behavior = iota
	returnError
	rejectPart
	neverAnswer          // accepts the part and sends nothing
	closeConnection      // closes the connection without an answer
	closeMidAnswer       // closes the connection in the middle of the answer
	closeAfterAnswer     // closes the connection right after the answer
	serveWhenReleased    // answers once the test closes release
	rejectWhenReleased   // rejects the part once the test closes release
	truncateWhenReleased // sends half a line of the answer once the test closes release
	answerMalformed      // sends a malformed answer and keeps the connection
	answerTooLarge       // sends an answer over every size limit and keeps the connection
	answerTwice          // sends the answer twice, followed by noise
	answerRaw            // sends the bytes of rawAnswer
)

// receivedAttempt is an attempt of a part that reached a backend.
type receivedAttempt struct {
	backend, id         string
	shard               int
	receivedAt, endedAt time.Time // endedAt: when the backend answered or closed
	frame               []byte    // the query frame; nil over Flight
	conn                string    // address of the peer; "" over Flight
	connOrder           int       // counts the attempts on the connection, from 1
}

// backendSet is the simulated backends of a test, over frames or Flight.
type backendSet struct {
	endpoints []endpoint
	behave    func(s receivedAttempt, nth int) behavior
	release   chan struct{}
	rawAnswer func(id string) []byte // the bytes that answerRaw sends
	mu        sync.Mutex
	frameLog  [][]byte // frames of both directions, without their lengths
	received  []*receivedAttempt
}

// startBackends starts four backends. Those in refusing are endpoints of the list whose kernel refuses connections.
func startBackends(t *testing.T, protocol protocol, behave func(s receivedAttempt, nth int) behavior,
	refusing ...int) *backendSet {
	backends := &backendSet{behave: behave, release: make(chan struct{})}
	for i := range 4 {
		ln, err := net.Listen("tcp", loopback.Own())
		require.NoError(t, err)
		m := endpoint{ID: fmt.Sprintf("s-%d", i), Address: ln.Addr().String(), Locality: "salt-lake", Cell: i,
			Phase: "SERVING", Size: 1}
		backends.endpoints = append(backends.endpoints, m)
		if contains(refusing, i) {
			_ = ln.Close()
			continue
		}
		t.Cleanup(protocol.startBackend(backends, m.ID, ln))
	}
	return backends
}

// contains reports whether the list contains x.
func contains(list []int, x int) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}

// receive records an attempt and returns what the backend does with it.
func (b *backendSet) receive(s receivedAttempt) (*receivedAttempt, behavior) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.receivedAt = time.Now()
	b.received = append(b.received, &s)
	d := serve
	if b.behave != nil {
		d = b.behave(s, len(b.received))
	}
	return &s, d
}

// end records that the backend has answered or closed.
func (b *backendSet) end(s *receivedAttempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.endedAt = time.Now()
}

// attempts returns all attempts so far.
func (b *backendSet) attempts() []receivedAttempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []receivedAttempt
	for _, s := range b.received {
		out = append(out, *s)
	}
	return out
}

// cancel records that the broker cancelled the attempts of a part that have no answer yet.
func (b *backendSet) cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.received {
		if s.id == id && s.endedAt.IsZero() {
			s.endedAt = time.Now()
		}
	}
}

// frames returns the frames of both directions.
func (b *backendSet) frames() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([][]byte(nil), b.frameLog...)
}

// cancelFrames returns the frames that cancelled a part.
func (b *backendSet) cancelFrames() (out [][]byte) {
	for _, f := range b.frames() {
		if f[0] == 'X' {
			out = append(out, f)
		}
	}
	return out
}

// recordFrame records a frame of either direction.
func (b *backendSet) recordFrame(f []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frameLog = append(b.frameLog, f)
}

// tooLarge is a document over the size limits of answers, of 80 KiB over frames and 256 KiB over Flight.
var tooLarge = strings.Repeat("x", 300<<10)

// documentOf returns the document with which a backend answers the part of an id.
func documentOf(id string) string { return "doc of " + id }

// protocol is one of the two protocols that clients and backends speak.
type protocol struct {
	name         string
	flight       bool
	startBackend func(backends *backendSet, id string, ln net.Listener) (stop func())
	send         func(ctx context.Context, p *program, q request) response
}

var protocols = []protocol{{"http", false, serveFrames, sendHTTP}, {"flight", true, serveFlight, sendFlight}}

// request is what a client asks.
type request struct {
	id, class, tenant string
	shards            []int
	timeout           time.Duration
	body              string // replaces the body of the shards if not ""
}

// response is how a request ended for its client, in the same terms for both protocols.
type response struct {
	outcome    string // served, rejected, timeout, failed, invalid, unknown, denied, disconnected
	complete   bool
	documents  map[int]string
	retryAfter time.Duration // how long a rejected client shall wait
}

func (q request) encodedBody() string {
	if q.body != "" {
		return q.body
	}
	var parts []string
	for _, s := range q.shards {
		parts = append(parts, fmt.Sprintf(`{"shard":%d,"weight":%g,"cost":9000}`, s, 1/float64(len(q.shards))))
	}
	return fmt.Sprintf(`{"shards":[%s],"q":"c41e77d0"}`, strings.Join(parts, ","))
}

func sendHTTP(ctx context.Context, p *program, q request) response {
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+p.httpAddr+"/"+q.class, strings.NewReader(q.encodedBody()))
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Class", q.class)
	r.Header.Set("X-Tenant", q.tenant)
	r.Header.Set("X-Deadline", strconv.FormatFloat(q.timeout.Seconds(), 'f', 3, 64))
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	answer, err := tr.RoundTrip(r)
	if err != nil {
		return response{outcome: "disconnected"}
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return response{outcome: "disconnected"}
	}
	outcomes := map[int]string{200: "served", 400: "invalid", 403: "denied", 404: "unknown", 502: "failed",
		503: "rejected", 504: "timeout"}
	out := response{outcome: outcomes[answer.StatusCode], documents: map[int]string{}}
	retryAfter, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	out.retryAfter = time.Duration(retryAfter * float64(time.Second))
	if answer.StatusCode == 200 {
		var b struct {
			Complete bool
			Hits     []struct {
				Shard int
				Doc   string
			}
		}
		if json.Unmarshal(text, &b) != nil {
			return response{outcome: "garbled"}
		}
		out.complete = b.Complete
		for _, h := range b.Hits {
			out.documents[h.Shard] = h.Doc
		}
	}
	return out
}

func sendFlight(ctx context.Context, p *program, q request) response {
	cc, err := grpc.NewClient("passthrough:///"+p.flightAddr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return response{outcome: err.Error()}
	}
	defer func() { _ = cc.Close() }()
	// The client's deadline is later than the broker's, so that the broker's answer comes first.
	ctx, cancel := context.WithTimeout(ctx, q.timeout+50*time.Millisecond)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "x-request-id", q.id, "x-class", q.class, "x-tenant", q.tenant)
	s, err := flight.NewClientFromConn(cc, nil).DoGet(ctx, &flight.Ticket{Ticket: []byte(q.encodedBody())})
	if err != nil {
		return flightFailure(err)
	}
	r, err := flight.NewRecordReader(s)
	if err != nil {
		return flightFailure(err)
	}
	defer r.Release()
	out := response{outcome: "served", documents: map[int]string{}}
	complete, _ := r.Schema().Metadata().GetValue("complete")
	out.complete = complete == "true"
	for r.Next() {
		rec := r.RecordBatch()
		for i := range int(rec.NumRows()) {
			out.documents[int(rec.Column(0).(*array.Int32).Value(i))] = string(rec.Column(1).(*array.Binary).Value(i))
		}
	}
	if r.Err() != nil {
		return flightFailure(r.Err())
	}
	return out
}

// flightFailure returns the response that a gRPC error stands for.
func flightFailure(err error) response {
	outcomes := map[codes.Code]string{codes.InvalidArgument: "invalid", codes.PermissionDenied: "denied",
		codes.NotFound: "unknown", codes.Internal: "failed", codes.Unavailable: "rejected",
		codes.DeadlineExceeded: "timeout", codes.Canceled: "disconnected"}
	st := status.Convert(err)
	out := response{outcome: outcomes[st.Code()]}
	for _, d := range st.Details() {
		if i, ok := d.(*errdetails.RetryInfo); ok {
			out.retryAfter = i.RetryDelay.AsDuration()
		}
	}
	return out
}

// serveFrames accepts connections of the frame protocol. It returns a function that closes them.
func serveFrames(backends *backendSet, id string, ln net.Listener) func() {
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
			go serveFrameConn(backends, id, c)
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

// encodeFrame returns a frame with its length.
func encodeFrame(letter byte, rest string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(rest)+1))
	return append(append(b, letter), rest...)
}

// serveFrameConn reads query and cancel frames until the connection ends.
func serveFrameConn(backends *backendSet, backend string, c net.Conn) {
	defer func() { _ = c.Close() }()
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
		backends.recordFrame(body)
		if body[0] == 'X' {
			backends.cancel(string(body[1:]))
		}
		for rest := body[1:]; body[0] == 'Q' && len(rest) > 0; {
			line, more, _ := bytes.Cut(rest, []byte{'\n'})
			f := strings.Fields(string(line))
			n, _ := strconv.Atoi(f[3])
			shard, _ := strconv.Atoi(f[1])
			rest = more[n:]
			nth++
			s, d := backends.receive(receivedAttempt{backend: backend, id: f[0], shard: shard, frame: body,
				conn: c.RemoteAddr().String(), connOrder: nth})
			go answerFrame(backends, c, s, d)
		}
	}
}

// answerFrame acts on an attempt as its behavior says.
func answerFrame(backends *backendSet, c net.Conn, s *receivedAttempt, d behavior) {
	if d == neverAnswer {
		return
	}
	if d == serveWhenReleased || d == rejectWhenReleased || d == truncateWhenReleased {
		<-backends.release
	}
	ok := encodeFrame('A', s.id+" ok 17 -\n"+documentOf(s.id))
	backends.end(s)
	backends.recordFrame(ok[4:])
	switch d {
	case returnError:
		_, _ = c.Write(encodeFrame('A', s.id+" err 0 -\n"))
	case rejectPart, rejectWhenReleased:
		_, _ = c.Write(encodeFrame('A', s.id+" busy 0 -\n"))
	case truncateWhenReleased:
		_, _ = c.Write(ok[:9])
	case closeConnection:
		_ = c.Close()
	case closeMidAnswer:
		_, _ = c.Write(ok[:len(ok)-3])
		_ = c.Close()
	case closeAfterAnswer:
		_, _ = c.Write(ok)
		_ = c.Close()
	case answerMalformed:
		_, _ = c.Write(encodeFrame('A', s.id+" ? 17 -\n"+documentOf(s.id)))
	case answerTooLarge:
		_, _ = c.Write(encodeFrame('A', s.id+" ok 17 -\n"+tooLarge))
	case answerTwice:
		_, _ = c.Write(append(append(ok, ok...), "\x8a\xef\x98"...))
	case answerRaw:
		_, _ = c.Write(backends.rawAnswer(s.id))
	default:
		_, _ = c.Write(ok)
	}
}

// serveFlight serves DoGet calls. It returns a function that stops it.
func serveFlight(backends *backendSet, id string, ln net.Listener) func() {
	s := grpc.NewServer()
	flight.RegisterFlightServiceServer(s, &flightServer{backends: backends, backend: id})
	go func() { _ = s.Serve(ln) }()
	return s.Stop
}

type flightServer struct {
	flight.BaseFlightServer
	backends *backendSet
	backend  string
}

// DoGet answers one attempt.
func (f *flightServer) DoGet(t *flight.Ticket, s flight.FlightService_DoGetServer) error {
	var q struct {
		ID    string
		Shard int
	}
	if err := json.Unmarshal(t.Ticket, &q); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	g, d := f.backends.receive(receivedAttempt{backend: f.backend, id: q.ID, shard: q.Shard})
	if d == neverAnswer {
		<-s.Context().Done()
		f.backends.end(g)
		return s.Context().Err()
	}
	if d == serveWhenReleased {
		<-f.backends.release
	}
	f.backends.end(g)
	schema := arrow.NewSchema([]arrow.Field{{Name: "doc", Type: arrow.BinaryTypes.Binary}}, nil)
	w := flight.NewRecordWriter(s, ipc.WithSchema(schema))
	switch d {
	case returnError:
		return status.Error(codes.Internal, "err")
	case rejectPart:
		return status.Error(codes.ResourceExhausted, "busy")
	case closeConnection:
		return status.Error(codes.Unavailable, "stream broken by the test")
	case closeMidAnswer:
		return streamError(w.Close()) // the schema has been sent, the batch has not
	}
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	value := documentOf(q.ID)
	switch d {
	case answerMalformed:
		value = "\xff" + value
	case answerTooLarge:
		value = tooLarge
	}
	b.Field(0).(*array.BinaryBuilder).Append([]byte(value))
	rec := b.NewRecordBatch()
	defer rec.Release()
	if err := w.Write(rec); err != nil {
		return err
	}
	if d == answerTwice {
		_, _ = w.Write(rec), s.Send(&flight.FlightData{DataHeader: []byte("\x8a\xef\x98")})
	}
	if d == closeAfterAnswer {
		return status.Error(codes.Unavailable, "stream broken by the test")
	}
	return w.Close()
}

// streamError returns err, or the error of a broken stream if err is nil.
func streamError(err error) error {
	if err != nil {
		return err
	}
	return status.Error(codes.Unavailable, "stream broken by the test")
}
