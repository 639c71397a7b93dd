package flight

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"ternstage/internal/contract"
	"ternstage/internal/core"
	"ternstage/internal/lab/loopback"
)

const queryBody = `{"shards":[{"shard":3,"weight":1}],"q":"text"}`

// fakeCore records queries. If answer is set, it answers each query with it within Submit.
type fakeCore struct {
	answer       *core.Answer
	submitErr    error
	submitted    chan *core.Request
	disconnected chan *core.Request
}

func (c *fakeCore) Submit(request *core.Request) error {
	if c.submitErr != nil {
		return c.submitErr
	}
	c.submitted <- request
	if c.answer != nil {
		request.Client.Deliver(*c.answer)
	}
	return nil
}

func (c *fakeCore) ClientDisconnected(request *core.Request) { c.disconnected <- request }

// startFront starts a front and returns it together with a client.
func startFront(t *testing.T, queries *fakeCore) (*Front, flight.Client) {
	t.Helper()
	queries.submitted = make(chan *core.Request, 8)
	queries.disconnected = make(chan *core.Request, 8)
	address, err := loopback.Free()
	require.NoError(t, err)
	config := Config{Enabled: true, Listen: address}
	config.Defaults()
	config.MaxBufferedBytes = 8 << 20
	contracts := contract.New([]contract.Class{{Name: "bind", DeadlineMs: 3000}}, nil, true)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	front := NewFront(listener.(*net.TCPListener), config, newTestLoop(t), queries, contracts, newLog())
	t.Cleanup(front.server.Stop)
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return front, flight.NewClientFromConn(connection, nil)
}

// queryContext returns the context of a query of class bind, with its metadata and a timeout.
func queryContext(t *testing.T, timeout time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return metadata.AppendToOutgoingContext(ctx, "x-request-id", "id-1", "x-class", "bind", "x-retry", "1",
		"idempotency-key", "key-1"), cancel
}

// doGet sends a query and returns the reader of its answer.
func doGet(ctx context.Context, client flight.Client, ticket string) (*flight.Reader, error) {
	stream, err := client.DoGet(ctx, &flight.Ticket{Ticket: []byte(ticket)})
	if err != nil {
		return nil, err
	}
	return flight.NewRecordReader(stream)
}

func TestDoGetAnswered(t *testing.T) {
	queries := &fakeCore{answer: &core.Answer{Kind: core.Answered, Complete: true,
		Values: []core.Value{{Shard: 3, Doc: []byte("value")}}}}
	_, client := startFront(t, queries)
	ctx, _ := queryContext(t, 2*time.Second)
	reader, err := doGet(ctx, client, queryBody)
	require.NoError(t, err)
	defer reader.Release()
	require.True(t, reader.Next())
	record := reader.RecordBatch()
	assert.Equal(t, int64(1), record.NumRows())
	assert.Equal(t, int32(3), record.Column(0).(*array.Int32).Value(0))
	assert.Equal(t, "value", string(record.Column(1).(*array.Binary).Value(0)))
	complete, _ := reader.Schema().Metadata().GetValue("complete")
	assert.Equal(t, "true", complete)
	assert.False(t, reader.Next())
	request := receive(t, queries.submitted)
	assert.Equal(t, "id-1", request.ID)
	assert.Equal(t, "key-1", request.IdempotencyKey)
	assert.True(t, request.ClientRetry)
	assert.Equal(t, []byte("text"), request.Payload)
	assert.Empty(t, queries.disconnected)
}

func TestDoGetNotAnswered(t *testing.T) {
	for _, c := range []struct {
		name, ticket string
		queries      fakeCore
		want         codes.Code
	}{
		{"rejected", queryBody, fakeCore{answer: &core.Answer{Kind: core.Rejected}}, codes.Unavailable},
		{"failed", queryBody, fakeCore{answer: &core.Answer{Kind: core.Failed}}, codes.Internal},
		{"invalid", queryBody, fakeCore{submitErr: core.ErrInvalidRequest}, codes.InvalidArgument},
		{"malformed", "{", fakeCore{}, codes.InvalidArgument},
		{"too large", string(make([]byte, maxTicketBytes+1)), fakeCore{}, codes.InvalidArgument},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, client := startFront(t, &c.queries)
			ctx, _ := queryContext(t, 2*time.Second)
			_, err := doGet(ctx, client, c.ticket)
			assert.Equal(t, c.want, status.Code(err), err)
		})
	}
}

func TestDoGetWithoutDeadline(t *testing.T) {
	_, client := startFront(t, &fakeCore{})
	_, err := doGet(context.Background(), client, queryBody)
	assert.Equal(t, codes.InvalidArgument, status.Code(err))
	assert.ErrorContains(t, err, "the call has no deadline")
}

// TestClientDisconnected checks that core is informed of a client that cancels its call.
func TestClientDisconnected(t *testing.T) {
	queries := &fakeCore{}
	_, client := startFront(t, queries)
	ctx, cancel := queryContext(t, 2*time.Second)
	ended := make(chan error, 1)
	go func() {
		_, err := doGet(ctx, client, queryBody)
		ended <- err
	}()
	request := receive(t, queries.submitted)
	cancel()
	assert.Equal(t, codes.Canceled, status.Code(receive(t, ended)))
	assert.Same(t, request, receive(t, queries.disconnected))
}

// TestStopLetsCallsEnd checks that a call in flight is answered after Stop, and that done runs only after that.
func TestStopLetsCallsEnd(t *testing.T) {
	queries := &fakeCore{}
	front, client := startFront(t, queries)
	ctx, _ := queryContext(t, 2*time.Second)
	ended := make(chan error, 1)
	go func() {
		_, err := doGet(ctx, client, queryBody)
		ended <- err
	}()
	request := receive(t, queries.submitted)
	stopped := make(chan struct{})
	front.Stop(func() { close(stopped) })
	select {
	case <-stopped:
		require.Fail(t, "done ran with a call in flight")
	case <-time.After(50 * time.Millisecond):
	}
	request.Client.Deliver(core.Answer{Kind: core.Answered})
	require.NoError(t, receive(t, ended))
	receive(t, stopped)
}

func TestGetFlightInfo(t *testing.T) {
	_, client := startFront(t, &fakeCore{})
	ctx, _ := queryContext(t, 2*time.Second)
	descriptor := &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: []byte(queryBody)}
	info, err := client.GetFlightInfo(ctx, descriptor)
	require.NoError(t, err)
	require.Len(t, info.Endpoint, 1)
	assert.Equal(t, queryBody, string(info.Endpoint[0].Ticket.Ticket))
	for _, invalid := range []*flight.FlightDescriptor{
		{Type: flight.DescriptorCMD},
		{Type: flight.DescriptorPATH, Cmd: []byte(queryBody)},
		{Type: flight.DescriptorCMD, Cmd: make([]byte, maxTicketBytes+1)},
	} {
		_, err := client.GetFlightInfo(ctx, invalid)
		assert.Equal(t, codes.InvalidArgument, status.Code(err))
	}
}
