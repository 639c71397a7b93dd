package flight

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"ternstage/internal/contract"
	"ternstage/internal/core"
	"ternstage/internal/logs"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
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
