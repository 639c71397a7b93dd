package flight

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ternstage/internal/contract"
	"ternstage/internal/core"
	"ternstage/internal/logs"
)

// Core takes the queries of clients, on the loop.
type Core interface {
	// Submit takes a query; its error says why the query is invalid. The answer goes to the request's Client.
	Submit(request *core.Request) error
	// ClientDisconnected ends a submitted query whose client no longer waits.
	ClientDisconnected(request *core.Request)
}

// Loop is the event loop, as this package's goroutines reach it.
type Loop interface {
	// Post runs work on the loop, in the order of the calls. It may be called from any goroutine and does not wait.
	Post(work func())
	// Now returns the time of the current wake-up in ms. It is for the loop only.
	Now() float64
}

// Front serves Flight to clients.
type Front struct {
	flight.BaseFlightServer
	loop      Loop
	core      Core
	contracts *contract.Contracts // the loop's alone
	log       *logs.Log
	server    *grpc.Server
}

// Listen starts the front. Its error wraps that of the listener. Stop ends the goroutine that accepts connections.
func Listen(config Config, loop Loop, queries Core, contracts *contract.Contracts, log *logs.Log) (*Front, error) {
	front := &Front{loop: loop, core: queries, contracts: contracts, log: log}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("flight: %w", err)
	}
	front.server = grpc.NewServer(
		grpc.MaxConcurrentStreams(uint32(config.StreamsPerConnection)),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxMetadataBytes),
		grpc.StatsHandler(&connectionLog{log: log}),
	)
	flight.RegisterFlightServiceServer(front.server, front)
	go front.serve(netutil.LimitListener(listener, config.MaxConnections))
	return front, nil
}

// serve accepts connections until Stop is called or the listener fails.
func (f *Front) serve(listener net.Listener) {
	if err := f.server.Serve(listener); err != nil {
		f.log.Error("flight front: " + err.Error())
	}
}

// Stop accepts no new connections and calls and lets those in flight end. It does not wait: done runs on the loop when
// the last call has ended.
func (f *Front) Stop(done func()) {
	go func() {
		f.server.GracefulStop()
		f.loop.Post(done)
	}()
}

// clientCall is one DoGet of a client. It implements core.Client.
type clientCall struct {
	front    *Front
	envelope contract.Envelope
	ticket   []byte

	// submitted receives the error of submit; the capacity of 1 keeps the loop from waiting.
	submitted chan error
	// answer receives the final answer; the capacity of 1 keeps the loop from waiting.
	answer chan core.Answer
	// request is the loop's. It is set before submitted receives.
	request *core.Request
}

// Deliver implements core.Client.
func (c *clientCall) Deliver(answer core.Answer) { c.answer <- answer }

// DoGet answers a query: the ticket is its body, the call's metadata its envelope, the call's deadline its deadline.
// It implements the Flight service. Errors are gRPC statuses, see front_answer.go.
func (f *Front) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	ctx := stream.Context()
	envelope, err := envelope(ctx)
	if err != nil {
		return err
	}
	if len(ticket.GetTicket()) > maxTicketBytes {
		return status.Error(codes.InvalidArgument, "the ticket is over 64 KiB")
	}
	call := &clientCall{
		front:     f,
		envelope:  envelope,
		ticket:    ticket.GetTicket(),
		submitted: make(chan error, 1),
		answer:    make(chan core.Answer, 1),
	}
	f.loop.Post(func() { call.submitted <- call.submit(ctx) })
	if err := <-call.submitted; err != nil {
		return invalidQueryStatus(err)
	}
	answer, err := call.await(ctx)
	if err != nil {
		return err
	}
	if err := unansweredStatus(answer); err != nil {
		return err
	}
	return sendAnswer(stream, answer)
}

// submit hands the query to core. It runs on the loop. The time that the call waited for the loop is part of the
// client's timeout.
func (c *clientCall) submit(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.envelope.ClientTimeout = toMs(time.Until(deadline))
	}
	request, err := c.front.contracts.ParseQuery(c.envelope, c.ticket, c.front.loop.Now())
	if err != nil {
		return err
	}
	request.Client = c
	c.request = request
	return c.front.core.Submit(request)
}

// await waits for the final answer. If the call ends first, core is informed and the call's status returned; an answer
// that is there by then still counts.
func (c *clientCall) await(ctx context.Context) (core.Answer, error) {
	select {
	case answer := <-c.answer:
		return answer, nil
	case <-ctx.Done():
	}
	select {
	case answer := <-c.answer:
		return answer, nil
	default:
	}
	c.front.loop.Post(func() { c.front.core.ClientDisconnected(c.request) })
	return core.Answer{}, status.FromContextError(ctx.Err()).Err()
}

// GetFlightInfo returns the only endpoint of a query, this broker: the descriptor's command becomes its ticket. It
// implements the Flight service.
func (f *Front) GetFlightInfo(_ context.Context, descriptor *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	command := descriptor.GetCmd()
	if descriptor.GetType() != flight.DescriptorCMD || len(command) == 0 || len(command) > maxTicketBytes {
		return nil, status.Error(codes.InvalidArgument, "the descriptor is not a command of 64 KiB at most")
	}
	return &flight.FlightInfo{
		Schema:           serializedAnswerSchema(),
		FlightDescriptor: descriptor,
		TotalRecords:     -1,
		TotalBytes:       -1,
		Endpoint:         []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: command}}},
	}, nil
}

// GetSchema returns the schema of answers, without the columns that they have while shards move. It implements the
// Flight service.
func (f *Front) GetSchema(context.Context, *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	return &flight.SchemaResult{Schema: serializedAnswerSchema()}, nil
}

func serializedAnswerSchema() []byte {
	return flight.SerializeSchema(arrow.NewSchema(answerFields, nil), memory.DefaultAllocator)
}

// toMs converts a duration to the loop's unit.
func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMs converts from the loop's unit.
func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
