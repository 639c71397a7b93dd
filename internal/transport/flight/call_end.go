package flight

import (
	"context"
	"sync"

	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// callEnd records how a call to a backend ended. The client side of gRPC also makes statuses itself, for example
// RESOURCE_EXHAUSTED for an answer that exceeds the size limit or for some resets of the stream. The status alone
// therefore does not tell what the backend has said. gRPC updates a callEnd on its own goroutines.
type callEnd struct {
	mu        sync.Mutex
	begun     bool           // the answer has begun: its header has arrived
	completed bool           // the backend has ended the call by sending trailers
	status    *status.Status // of the whole call; nil until it has ended
}

// immediateStatus returns the status with which the backend ended the call in place of an answer (a Trailers-Only
// response). It returns nil if the answer had begun, or if the status is not the backend's.
func (e *callEnd) immediateStatus() *status.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.begun || !e.completed {
		return nil
	}
	return e.status
}

// progress reports how far the call has come: whether its answer has begun, and whether the backend has ended it.
func (e *callEnd) progress() (begun, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun, e.completed
}

// record records an event of the call.
func (e *callEnd) record(event stats.RPCStats) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch event := event.(type) {
	case *stats.InHeader:
		e.begun = true
	case *stats.InTrailer:
		e.completed = true
	case *stats.End:
		e.status = status.Convert(event.Error)
	}
}

// callEndKey is the context key of a call's callEnd.
type callEndKey struct{}

// withCallEnd returns a context for a call whose end is recorded in end.
func withCallEnd(ctx context.Context, end *callEnd) context.Context {
	return context.WithValue(ctx, callEndKey{}, end)
}

// callEndRecorder passes the events of each call to the callEnd in its context. It implements stats.Handler.
type callEndRecorder struct{}

// HandleRPC implements stats.Handler, as do the methods below.
func (callEndRecorder) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if end, ok := ctx.Value(callEndKey{}).(*callEnd); ok {
		end.record(event)
	}
}

// TagRPC adds nothing to the context.
func (callEndRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn adds nothing to the context.
func (callEndRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores the events of connections.
func (callEndRecorder) HandleConn(context.Context, stats.ConnStats) {}
