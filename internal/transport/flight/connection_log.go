package flight

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"ternstage/internal/logs"
)

// connectionLog logs one line for each client connection that ends, and passes on to the listener and the admission
// which connections gRPC serves and which messages have arrived. It implements stats.Handler; gRPC calls it from its
// own goroutines.
type connectionLog struct {
	log      *logs.Log
	listener *clientListener // learns which connections gRPC serves
}

// connectionKey is the context key of a connection's connectionState.
type connectionKey struct{}

// connectionState holds the values of a connection's log line.
type connectionState struct {
	peer       string            // address
	client     *clientConnection // nil if it has been closed
	endedCalls atomic.Int64      // also failed ones
}

// TagConn implements stats.Handler.
func (h *connectionLog) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	client := h.listener.setServed(info.RemoteAddr)
	return context.WithValue(ctx, connectionKey{}, &connectionState{peer: info.RemoteAddr.String(), client: client})
}

// HandleConn implements stats.Handler: it logs the end of a connection.
func (h *connectionLog) HandleConn(ctx context.Context, event stats.ConnStats) {
	if _, ended := event.(*stats.ConnEnd); !ended {
		return
	}
	if connection, ok := ctx.Value(connectionKey{}).(*connectionState); ok {
		h.log.ConnectionEnded(logs.FlightClientClosed, connection.peer, int(connection.endedCalls.Load()), nil)
	}
}

// TagRPC implements stats.Handler.
func (*connectionLog) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler: it counts the calls that have ended and the messages that have arrived.
func (*connectionLog) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if message, arrived := event.(*stats.InPayload); arrived {
		if call := callOf(ctx); call != nil {
			call.receive(message.WireLength, message.Length)
		}
	}
	if _, ended := event.(*stats.End); !ended {
		return
	}
	if connection, ok := ctx.Value(connectionKey{}).(*connectionState); ok {
		connection.endedCalls.Add(1)
	}
}
