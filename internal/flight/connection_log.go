package flight

import (
	"context"
	"sync/atomic"
	"ternstage/internal/logs"

	"google.golang.org/grpc/stats"
)

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
