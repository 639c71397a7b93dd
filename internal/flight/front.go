package flight

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"golang.org/x/net/netutil"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"ternstage/internal/contract"
	"ternstage/internal/core"
	"ternstage/internal/logs"
)

// The metadata keys of a query; they mean what the HTTP front's headers of the same names mean.
const (
	keyID          = "x-request-id"
	keyClass       = "x-class"
	keyTenant      = "x-tenant"
	keyRetry       = "x-retry"
	keyIdempotency = "idempotency-key"
)

const (
	maxTicketBytes   = 64 << 10
	maxRequestBytes  = maxTicketBytes + 16<<10
	metadataComplete = "complete" // schema metadata of an answer: "true" or "false"
)

// Core is what the front asks of core, on the loop.
type Core interface {
	Submit(*core.Request) error
	ClientDisconnected(*core.Request)
}

// Loop is how this package's goroutines reach the decisions.
type Loop interface {
	Post(work func())
	Now() float64
}

// Front serves Flight to clients.
type Front struct {
	flight.BaseFlightServer
	loop      Loop
	core      Core
	contracts *contract.Contracts
	log       *logs.Log
	server    *grpc.Server
	draining  atomic.Bool
	open      atomic.Int64
}

// Listen starts the front.
func Listen(c Config, l Loop, k Core, b *contract.Contracts, log *logs.Log) (*Front, error) {
	f := &Front{loop: l, core: k, contracts: b, log: log}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("flight: %w", err)
	}
	f.server = grpc.NewServer(grpc.MaxConcurrentStreams(uint32(c.StreamsPerConnection)), grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.MaxHeaderListSize(16<<10), grpc.StatsHandler(&connectionLog{log: log}))
	flight.RegisterFlightServiceServer(f.server, f)
	go func() {
		if err := f.server.Serve(netutil.LimitListener(ln, c.MaxConnections)); err != nil {
			log.Error("flight front: " + err.Error())
		}
	}()
	return f, nil
}

// Stop takes no new calls and lets those that are taken end; done is posted to the loop when they have.
func (f *Front) Stop(done func()) {
	go func() {
		f.server.GracefulStop()
		f.loop.Post(done)
	}()
}

var answerSchema = []arrow.Field{
	{Name: "shard", Type: arrow.PrimitiveTypes.Int32},
	{Name: "doc", Type: arrow.BinaryTypes.Binary},
}

// bucketFields follow where slices move: the districts of a row, hi not included.
var bucketFields = []arrow.Field{
	{Name: "lo", Type: arrow.PrimitiveTypes.Int32},
	{Name: "hi", Type: arrow.PrimitiveTypes.Int32},
}

// clientCall is one DoGet on its way through core. It implements core.Client.
type clientCall struct{ answer chan core.Answer }

// Finish implements core.Client: it runs on the loop and never waits.
func (c *clientCall) Finish(a core.Answer) { c.answer <- a }

// DoGet takes a query: the ticket is its body, the metadata its envelope, the call's deadline its deadline.
func (f *Front) DoGet(t *flight.Ticket, s flight.FlightService_DoGetServer) error {
	ctx := s.Context()
	env, err := envelope(ctx)
	if err != nil {
		return err
	}
	if len(t.GetTicket()) > maxTicketBytes {
		return status.Error(codes.InvalidArgument, "the ticket is over 64 KiB")
	}
	c := &clientCall{make(chan core.Answer, 1)}
	taken := make(chan error, 1)
	var r *core.Request // the loop's alone, but for its being set before taken is sent to
	f.loop.Post(func() {
		if err := ctx.Err(); err != nil {
			taken <- err
			return
		}
		// What the call waited for the loop is part of its time.
		if by, ok := ctx.Deadline(); ok {
			env.ClientTimeout = float64(time.Until(by)) / 1e6
		}
		q, err := f.contracts.ParseQuery(env, t.GetTicket(), f.loop.Now())
		if err == nil {
			q.Client, r = c, q
			err = f.core.Submit(q)
		}
		taken <- err
	})
	if err := <-taken; err != nil {
		return rejectedQueryError(err)
	}
	var a core.Answer
	select {
	case a = <-c.answer:
	case <-ctx.Done():
		select {
		case a = <-c.answer: // a cancel that crosses a good answer does not undo it
		default:
			f.loop.Post(func() { f.core.ClientDisconnected(r) })
			return status.FromContextError(ctx.Err()).Err()
		}
	}
	if err := unansweredError(a); err != nil {
		return err
	}
	return sendAnswer(s, a)
}

// envelope reads the metadata of a query.
func envelope(ctx context.Context) (contract.Envelope, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	one := func(key string) string {
		if v := md.Get(key); len(v) > 0 {
			return v[0]
		}
		return ""
	}
	if _, ok := ctx.Deadline(); !ok {
		return contract.Envelope{}, status.Error(codes.InvalidArgument, "the call has no deadline")
	}
	return contract.Envelope{ID: one(keyID), Class: one(keyClass), Tenant: one(keyTenant),
		ClientRetry: one(keyRetry) == "1", IdempotencyKey: one(keyIdempotency)}, nil
}

// rejectedQueryError maps what a front says of a query that core has not taken.
func rejectedQueryError(err error) error {
	switch {
	case errors.Is(err, contract.ErrUnknownClass):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, contract.ErrUnknownTenant):
		return status.Error(codes.PermissionDenied, err.Error())
	case errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded):
		return status.FromContextError(err).Err()
	}
	var stale *core.StaleEpochError
	if errors.As(err, &stale) {
		st := status.New(codes.InvalidArgument, err.Error())
		info := &errdetails.ErrorInfo{Reason: "STALE_SLICE", Domain: "ternstage",
			Metadata: map[string]string{metadataEpoch: strconv.FormatUint(stale.Epoch, 10)}}
		if with, err := st.WithDetails(info); err == nil {
			st = with
		}
		return st.Err()
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

// unansweredError maps a final answer that is not served; nil if it is.
func unansweredError(a core.Answer) error {
	switch {
	case a.Kind == core.Answered:
		return nil
	case a.Kind == core.Rejected:
		st := status.New(codes.Unavailable, "refused: trying again is harmless")
		delay := durationpb.New(time.Duration(max(a.RetryAfter, 1) * 1e6))
		if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: delay}); err == nil {
			st = with
		}
		return st.Err()
	case a.TimedOut:
		return status.Error(codes.DeadlineExceeded, "no answer in time; what was asked for may have been done")
	}
	return status.Error(codes.Internal, "failed; what was asked for may have been done")
}

// sendAnswer writes the answer as one record batch, a row for each part that is in.
func sendAnswer(s flight.FlightService_DoGetServer, a core.Answer) error {
	names, values, fields := []string{metadataComplete}, []string{strconv.FormatBool(a.Complete)}, answerSchema
	if a.Epoch > 0 {
		names, values = append(names, metadataEpoch), append(values, strconv.FormatUint(a.Epoch, 10))
		fields = append(slices.Clone(fields), bucketFields...)
	}
	meta := arrow.NewMetadata(names, values)
	schema := arrow.NewSchema(fields, &meta)
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	for _, v := range a.Values {
		b.Field(0).(*array.Int32Builder).Append(int32(v.Shard))
		b.Field(1).(*array.BinaryBuilder).Append(v.Doc)
		if a.Epoch > 0 {
			b.Field(2).(*array.Int32Builder).Append(int32(v.Buckets.Start))
			b.Field(3).(*array.Int32Builder).Append(int32(v.Buckets.End))
		}
	}
	rec := b.NewRecordBatch()
	defer rec.Release()
	w := flight.NewRecordWriter(s, ipc.WithSchema(schema))
	if err := w.Write(rec); err != nil {
		return fmt.Errorf("flight answer: %w", err)
	}
	return w.Close()
}

// GetFlightInfo names the one endpoint of a query, this one: the descriptor's command becomes its ticket.
func (f *Front) GetFlightInfo(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	if d.GetType() != flight.DescriptorCMD || len(d.GetCmd()) == 0 || len(d.GetCmd()) > maxTicketBytes {
		return nil, status.Error(codes.InvalidArgument, "the descriptor is not a command of 64 KiB at most")
	}
	return &flight.FlightInfo{Schema: flight.SerializeSchema(arrow.NewSchema(answerSchema, nil),
		memory.DefaultAllocator), FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: d.GetCmd()}}}}, nil
}

// GetSchema is the schema of every answer.
func (f *Front) GetSchema(context.Context, *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	return &flight.SchemaResult{Schema: flight.SerializeSchema(arrow.NewSchema(answerSchema, nil),
		memory.DefaultAllocator)}, nil
}

// connectionLog leaves one line for each client connection that ends. It implements stats.Handler.
type connectionLog struct{ log *logs.Log }

type connectionKey struct{}

type connectionState struct {
	peer   string
	served atomic.Int64
}

// TagConn implements stats.Handler; so do the methods below.
func (*connectionLog) TagConn(ctx context.Context, i *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connectionState{peer: i.RemoteAddr.String()})
}

// HandleConn notes the end.
func (h *connectionLog) HandleConn(ctx context.Context, s stats.ConnStats) {
	if c, ok := ctx.Value(connectionKey{}).(*connectionState); ok {
		if _, end := s.(*stats.ConnEnd); end {
			h.log.ConnectionEnded(logs.FlightClientClosed, c.peer, int(c.served.Load()), nil)
		}
	}
}

// TagRPC adds nothing.
func (*connectionLog) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC counts calls.
func (*connectionLog) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if c, ok := ctx.Value(connectionKey{}).(*connectionState); ok {
		if _, end := s.(*stats.End); end {
			c.served.Add(1)
		}
	}
}
