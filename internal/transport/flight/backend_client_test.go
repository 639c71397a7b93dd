package flight

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/lab/loopback"
)

// testBackend answers each DoGet with err if that is set, or else with values, in one column of one record batch. If
// stalled is set, it does not answer at all.
type testBackend struct {
	flight.BaseFlightServer
	err     error
	values  []string
	stalled bool
	after   error // ends the call once the schema of the answer has been sent
	tickets chan backendTicket
	ended   chan struct{} // one for each call that ended while the backend was stalled
}

func (b *testBackend) DoGet(flightTicket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	var ticket backendTicket
	if err := json.Unmarshal(flightTicket.Ticket, &ticket); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	b.tickets <- ticket
	if b.stalled {
		<-stream.Context().Done()
		b.ended <- struct{}{}
		return stream.Context().Err()
	}
	if b.err != nil {
		return b.err
	}
	schema := arrow.NewSchema([]arrow.Field{{Name: "doc", Type: arrow.BinaryTypes.Binary}}, nil)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for _, value := range b.values {
		builder.Field(0).(*array.BinaryBuilder).Append([]byte(value))
	}
	record := builder.NewRecordBatch()
	defer record.Release()
	writer := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	if b.after != nil {
		_ = writer.Close()
		return b.after
	}
	if err := writer.Write(record); err != nil {
		return err
	}
	return writer.Close()
}

// serve starts the backend and returns its address. The backend stops at the end of the test.
func (b *testBackend) serve(t *testing.T) string {
	t.Helper()
	b.tickets = make(chan backendTicket, 8)
	b.ended = make(chan struct{}, 8)
	listener, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, b)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// attemptResult is the outcome and value that a BackendClient reported for an attempt.
type attemptResult struct {
	outcome scheduler.Outcome
	value   string
}

// resultRecorder implements Outcomes and records the results.
type resultRecorder chan attemptResult

func (r resultRecorder) AttemptEnded(_ *core.Attempt, outcome scheduler.Outcome, value []byte) {
	r <- attemptResult{outcome, string(value)}
}

func (r resultRecorder) AttemptEndedLater(attempt *core.Attempt, outcome scheduler.Outcome) {
	r.AttemptEnded(attempt, outcome, nil)
}

// clientFixture is a BackendClient that uses one address for all backends.
type clientFixture struct {
	*BackendClient
	loop    *testLoop
	results resultRecorder
}

func newClientFixture(t *testing.T, address string) *clientFixture {
	t.Helper()
	f := &clientFixture{loop: newTestLoop(t), results: make(resultRecorder, 8)}
	options := BackendOptions{StreamsPerConnection: 2, DialTimeoutMs: 1000, IdleTimeoutMs: 30000, MaxConnections: 2}
	f.BackendClient = NewBackendClient(f.loop, f.results, newLog(), options, func(uint32) string { return address })
	t.Cleanup(func() { f.loop.do(t, f.Close) })
	return f
}

// send sends an attempt whose deadline is in 2 s.
func (f *clientFixture) send(t *testing.T) *core.Attempt {
	t.Helper()
	endAt := f.loop.Now() + 2000
	attempt := &core.Attempt{Request: "a", Shard: 3, Backend: 1, Payload: []byte("text"), Deadline: endAt, StartBy: endAt}
	f.loop.do(t, func() {
		f.Send(attempt)
		f.Flush()
	})
	return attempt
}

func TestAttemptResults(t *testing.T) {
	for _, c := range []struct {
		name    string
		backend testBackend
		want    attemptResult
	}{
		{"a value", testBackend{values: []string{"value"}}, attemptResult{scheduler.Succeeded, "value"}},
		{"the first value counts", testBackend{values: []string{"first", "second"}}, attemptResult{scheduler.Succeeded, "first"}},
		{"no value", testBackend{}, attemptResult{outcome: scheduler.Failed}},
		{"an invalid value", testBackend{values: []string{"\xff"}}, attemptResult{outcome: scheduler.Failed}},
		{"an error", testBackend{err: status.Error(codes.Internal, "")}, attemptResult{outcome: scheduler.Failed}},
		{"rejected", testBackend{err: status.Error(codes.ResourceExhausted, "")}, attemptResult{outcome: scheduler.Rejected}},
		{"rejected after the answer has begun", testBackend{after: status.Error(codes.ResourceExhausted, "")},
			attemptResult{outcome: scheduler.Failed}},
		{"an answer over the size limit", testBackend{values: []string{strings.Repeat("x", maxAnswerBytes)}},
			attemptResult{outcome: scheduler.Failed}},
		{"reset", testBackend{err: status.Error(codes.Unavailable, "")}, attemptResult{outcome: scheduler.ConnectionReset}},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := newClientFixture(t, c.backend.serve(t))
			client.send(t)
			assert.Equal(t, c.want, receive(t, client.results))
			ticket := receive(t, c.backend.tickets)
			assert.Equal(t, "a.3", ticket.ID)
			assert.Equal(t, "text", ticket.Query)
			assert.InDelta(t, 2000, ticket.RemainingMs, 1000)
		})
	}
}

// TestResetIsNoRejection has a backend reset the stream of a call that has reached it. The part may have run, also for
// the codes that gRPC reports as RESOURCE_EXHAUSTED, the status of a rejection.
func TestResetIsNoRejection(t *testing.T) {
	for code, want := range map[http2.ErrCode]scheduler.Outcome{
		http2.ErrCodeEnhanceYourCalm: scheduler.Failed,
		http2.ErrCodeFlowControl:     scheduler.Failed,
		http2.ErrCodeInternal:        scheduler.Failed,
		http2.ErrCodeCancel:          scheduler.ConnectionReset,
	} {
		t.Run(code.String(), func(t *testing.T) {
			client := newClientFixture(t, serveResets(t, code))
			client.send(t)
			assert.Equal(t, attemptResult{outcome: want}, receive(t, client.results))
		})
	}
}

// serveResets starts a server that resets the stream of each call with a code, and returns its address.
func serveResets(t *testing.T, code http2.ErrCode) string {
	t.Helper()
	listener, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go resetStreams(connection, code)
		}
	}()
	return listener.Addr().String()
}

// resetStreams serves one HTTP/2 connection until it ends. It resets each stream once its request has arrived.
func resetStreams(connection net.Conn, code http2.ErrCode) {
	defer func() { _ = connection.Close() }()
	if _, err := io.ReadFull(connection, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(connection, connection)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				_ = framer.WriteSettingsAck()
			}
		case *http2.DataFrame:
			if frame.StreamEnded() {
				_ = framer.WriteRSTStream(frame.StreamID, code)
			}
		}
	}
}

func TestAttemptWithoutConnection(t *testing.T) {
	refusingAddress, err := loopback.Free()
	require.NoError(t, err)
	for name, address := range map[string]string{"not in the endpoint list": "", "refused": refusingAddress} {
		t.Run(name, func(t *testing.T) {
			client := newClientFixture(t, address)
			client.send(t)
			assert.Equal(t, attemptResult{outcome: scheduler.ConnectFailed}, receive(t, client.results))
		})
	}
}

func TestUnflushedAttemptWithdrawn(t *testing.T) {
	backend := &testBackend{values: []string{"value"}}
	client := newClientFixture(t, backend.serve(t))
	client.loop.do(t, func() {
		attempt := &core.Attempt{Request: "a", Backend: 1, Deadline: 2000, StartBy: 2000}
		client.Send(attempt)
		assert.True(t, client.Withdraw(attempt))
		assert.False(t, client.Withdraw(attempt), "withdrawn before")
		client.Flush()
		assert.Zero(t, client.connectionCount)
	})
	assert.Empty(t, client.results)
	assert.Empty(t, backend.tickets)
}

// TestStartedAttemptAbandoned checks that abandoning an attempt in flight cancels the call at the backend, reports
// that the attempt may have run, and leads to no outcome.
func TestStartedAttemptAbandoned(t *testing.T) {
	backend := &testBackend{stalled: true}
	client := newClientFixture(t, backend.serve(t))
	attempt := client.send(t)
	receive(t, backend.tickets)
	client.loop.do(t, func() {
		assert.False(t, client.Withdraw(attempt))
		assert.False(t, client.Abandon(attempt), "it may have run")
	})
	receive(t, backend.ended)
	require.Eventually(t, func() bool { return client.attemptsInFlight(t) == 0 }, 5*time.Second, 5*time.Millisecond)
	assert.Empty(t, client.results)
}

// attemptsInFlight returns the number of attempts in flight on all connections.
func (f *clientFixture) attemptsInFlight(t *testing.T) int {
	t.Helper()
	inFlight := 0
	f.loop.do(t, func() {
		for _, connections := range f.connections {
			for _, connection := range connections {
				inFlight += connection.inFlight
			}
		}
	})
	return inFlight
}

// TestConnectionLimits checks that attempts share a connection up to its limit of streams, and that attempts beyond
// the limit of connections end with ConnectFailed.
func TestConnectionLimits(t *testing.T) {
	backend := &testBackend{stalled: true}
	client := newClientFixture(t, backend.serve(t))
	for range 4 {
		client.send(t)
	}
	assert.Equal(t, 4, client.attemptsInFlight(t))
	client.loop.do(t, func() { assert.Len(t, client.connections[1], 2) })
	assert.Empty(t, client.results)
	client.send(t)
	assert.Equal(t, attemptResult{outcome: scheduler.ConnectFailed}, receive(t, client.results))
}

func TestIdleConnectionsClosed(t *testing.T) {
	backend := &testBackend{values: []string{"value"}}
	client := newClientFixture(t, backend.serve(t))
	client.send(t)
	receive(t, client.results)
	client.loop.do(t, func() {
		assert.Equal(t, 1, client.connectionCount)
		client.CloseIdleConnections(1)
		assert.Zero(t, client.connectionCount)
		assert.Empty(t, client.connections[1])
	})
}
