package flight

import (
	"context"
	"net"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ternstage/internal/contract"
	"ternstage/internal/core"
	"ternstage/internal/logs"
)

// Core answers the requests of clients. Its methods are called on the loop. *core.Core implements it.
type Core interface {
	// Submit submits a request. It returns an error if the request is invalid. The final answer is passed to the
	// Deliver method of the request's Client.
	Submit(request *core.Request) error
	// ClientDisconnected informs core that the client of a submitted request no longer waits, which ends the request.
	ClientDisconnected(request *core.Request)
}

// Loop is the part of the event loop that this package uses.
type Loop interface {
	// Post queues work to run on the loop, in the order of the calls. It may be called from any goroutine and does not
	// block.
	Post(work func())
	// Enqueue queues work that takes long for its input of sizeBytes. Work with a large input does not hold up work
	// with a small one. It must be called on the loop.
	Enqueue(sizeBytes int, work func())
	// Now returns the time of the current wake-up in milliseconds. It must be called on the loop.
	Now() float64
}

// Front serves Flight to clients.
type Front struct {
	flight.BaseFlightServer
	loop      Loop
	core      Core
	contracts *contract.Contracts // used only on the loop
	log       *logs.Log
	server    *grpc.Server
	listener  *clientListener
}

// NewFront returns a front that serves on a listener, of which it takes ownership. Stop ends the goroutine that accepts
// connections.
func NewFront(listener *net.TCPListener, config Config, loop Loop, queries Core, contracts *contract.Contracts,
	log *logs.Log) *Front {
	maxConnections := min(config.MaxConnections, max(minConnections, config.MaxBufferedBytes/bytesPerConnection))
	admission := newAdmission(config.MaxBufferedBytes, maxConnections)
	front := &Front{
		loop:      loop,
		core:      queries,
		contracts: contracts,
		log:       log,
		listener:  newClientListener(listener, maxConnections, admission),
	}
	front.server = grpc.NewServer(
		grpc.MaxConcurrentStreams(uint32(admission.streamsPerConnection(config.StreamsPerConnection))),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxMetadataBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InTapHandle(admission.beginCall),
		grpc.StreamInterceptor(admitStream),
		// A static window keeps gRPC from receiving more of a message that it is not asked for.
		grpc.StaticStreamWindowSize(streamWindowBytes),
		grpc.ReadBufferSize(readQuantumBytes),
		grpc.StatsHandler(&connectionLog{log: log, listener: front.listener}),
	)
	flight.RegisterFlightServiceServer(front.server, front)
	go front.serve()
	return front
}

// serve accepts connections until Stop is called or the listener fails.
func (f *Front) serve() {
	if err := f.server.Serve(f.listener); err != nil {
		f.log.Error("flight front: " + err.Error())
	}
}

// Stop makes the front accept no new connections or calls, while the calls in flight continue. It does not wait for
// them; done runs on the loop when the last call has ended. Connections that wait in the listener's queue are accepted
// first.
func (f *Front) Stop(done func()) {
	go func() {
		f.listener.stopAccepting()
		f.server.GracefulStop()
		f.loop.Post(done)
	}()
}

// clientCall is one DoGet of a client. It implements core.Client.
type clientCall struct {
	front    *Front
	envelope contract.Envelope
	ticket   []byte

	// submitResult receives the result of submit. Its capacity of 1 keeps the loop from blocking.
	submitResult chan error
	// answer receives the final answer. Its capacity of 1 keeps the loop from blocking.
	answer chan core.Answer
	// request is used only on the loop. It is set before submitResult receives a value.
	request *core.Request
}

// Deliver implements core.Client.
func (c *clientCall) Deliver(answer core.Answer) { c.answer <- answer }

// DoGet implements the Flight service. It answers a request: the ticket is the request's body, the call's metadata is
// its envelope, and the call's deadline is its deadline. Errors are gRPC statuses (see front_answer.go).
func (f *Front) DoGet(ticket *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	ctx := stream.Context()
	envelope, err := parseEnvelope(ctx)
	if err != nil {
		return err
	}
	if len(ticket.GetTicket()) > maxTicketBytes {
		return status.Error(codes.InvalidArgument, "the ticket is over 64 KiB")
	}
	call := &clientCall{
		front:        f,
		envelope:     envelope,
		ticket:       ticket.GetTicket(),
		submitResult: make(chan error, 1),
		answer:       make(chan core.Answer, 1),
	}
	f.loop.Post(func() {
		f.loop.Enqueue(len(call.ticket), func() { call.submitQueued(ctx) })
	})
	if err := <-call.submitResult; err != nil {
		return invalidQueryStatus(err)
	}
	answer, err := call.awaitAnswer(ctx)
	if err != nil {
		return err
	}
	if err := unansweredStatus(answer); err != nil {
		return err
	}
	return sendAnswer(stream, answer)
}

// submitQueued submits the request to core and releases the ticket.
func (c *clientCall) submitQueued(ctx context.Context) {
	c.submitResult <- c.submit(ctx)
	c.ticket = nil
	if call := callOf(ctx); call != nil {
		call.releaseMessage()
	}
}

// submit submits the request to core. It runs on the loop. The time for which the call has waited for the loop counts
// against the client's timeout.
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

// awaitAnswer waits for the final answer. If the call ends first, it informs core and returns the call's status,
// unless the answer has arrived by then.
func (c *clientCall) awaitAnswer(ctx context.Context) (core.Answer, error) {
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

// GetFlightInfo implements the Flight service. It returns this broker as the only Flight endpoint of a request, with
// the descriptor's command as the ticket.
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

// GetSchema implements the Flight service. It returns the schema of answers without the additional columns that
// answers have during resharding.
func (f *Front) GetSchema(context.Context, *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	return &flight.SchemaResult{Schema: serializedAnswerSchema()}, nil
}

// serializedAnswerSchema returns the schema of answers without the additional columns.
func serializedAnswerSchema() []byte {
	return flight.SerializeSchema(arrow.NewSchema(answerFields, nil), memory.DefaultAllocator)
}

// toMs converts a duration to milliseconds, the loop's unit.
func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMs converts milliseconds, the loop's unit, to a duration.
func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
