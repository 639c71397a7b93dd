package flight

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/tap"
)

const (
	// bytesPerCall is the memory in bytes that a call in progress takes beside its message: its goroutine, stream,
	// metadata and timers.
	bytesPerCall = 16 << 10
	// copiesPerMessage is how often a message is in memory at most: as received, and decoded.
	copiesPerMessage = 2
	// bytesPerConnection is the memory in bytes for a connection: its buffers and goroutines, and one read quantum of
	// input for which no memory is left.
	bytesPerConnection = 32 << 10
	// minConnections is the number of connections that are served however little memory there is.
	minConnections = 32
	// streamsDivisor divides the calls for which memory suffices; the quotient is for one connection.
	streamsDivisor = 4
	// minStreams is the number of calls at a time that a connection may have however little memory there is.
	minStreams = 8
	// readQuantumBytes is the maximum size in bytes of one read of a connection.
	readQuantumBytes = 8 << 10
	// receiveTimeout is the time for the message of a call to arrive, from the call's header. After it the call ends.
	receiveTimeout = 2 * time.Second
)

// admission limits the memory of all calls of clients. gRPC receives the messages of calls on its own goroutines, as
// fast as clients send them and without a limit on their sum.
//
// Beyond the limit, a connection is not read while a message from it waits for the loop; the client's own connection
// then holds its data back. Of the calls whose messages have not arrived in full, each connection keeps an equal share,
// and the others are rejected. Each connection can thus always receive some messages, so that clients with many large
// calls do not keep out others, and incomplete messages cannot take all of the memory.
type admission struct {
	maxBytes              int // of messages
	maxCalls              int // of all connections
	callsPerConnection    int // an equal share of maxCalls
	messagesPerConnection int // an equal share of maxBytes in messages of the maximum size, at least 1

	mu        sync.Mutex
	changed   *sync.Cond // bytes has decreased, or a connection has been closed
	bytes     int        // received and not released, of all connections
	callCount int        // in progress, of all connections
}

// newAdmission returns an admission for messages that take maxBytes, and for as many calls as fit into as much memory.
func newAdmission(maxBytes, maxConnections int) *admission {
	maxCalls := maxBytes / bytesPerCall
	maxMessageSum := maxBytes / copiesPerMessage
	a := &admission{
		maxBytes:              maxMessageSum,
		maxCalls:              maxCalls,
		callsPerConnection:    max(1, maxCalls/maxConnections),
		messagesPerConnection: max(1, maxMessageSum/maxMessageBytes/maxConnections),
	}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// streamsPerConnection returns the maximum number of calls in progress on one connection: as configured, but no more
// than a share of those for which memory suffices. A client holds further calls back.
func (a *admission) streamsPerConnection(configured int) int {
	return min(configured, max(minStreams, a.maxCalls/streamsDivisor))
}

// release releases bytes. The caller must hold the mutex.
func (a *admission) release(count int) {
	a.bytes -= count
	a.changed.Broadcast()
}

// connectionInput is the input of one connection. Its fields are guarded by the admission's mutex.
type connectionInput struct {
	admission    *admission
	pendingBytes int             // read, of messages that have not arrived in full
	heldBytes    int             // of messages that have arrived and wait for the loop
	incomplete   []*incomingCall // whose message has not arrived in full, the oldest first
	calls        int             // in progress
	madeCalls    bool            // a call has begun
	activeAt     time.Time       // when input was last read or a call has ended; initially when it was accepted
	rejectedAt   time.Time       // when rejectIfIncomplete has rejected its calls; zero before
	closed       bool
}

// rejectIfIncomplete rejects the calls of the connection if the messages of all of them are incomplete and the oldest
// call began at least minAge ago.
func (i *connectionInput) rejectIfIncomplete(minAge time.Duration) {
	i.admission.mu.Lock()
	defer i.admission.mu.Unlock()
	if len(i.incomplete) == 0 || len(i.incomplete) < i.calls || time.Since(i.incomplete[0].beganAt) < minAge {
		return
	}
	i.rejectedAt = time.Now()
	for len(i.incomplete) > 0 {
		call := i.incomplete[0]
		call.removeIncomplete()
		call.stopReceiving()
	}
}

// isRejected reports whether rejectIfIncomplete has rejected calls at least minAge ago.
func (i *connectionInput) isRejected(minAge time.Duration) bool {
	i.admission.mu.Lock()
	defer i.admission.mu.Unlock()
	return !i.rejectedAt.IsZero() && time.Since(i.rejectedAt) > minAge
}

// activity returns the number of calls in progress, and when input was last read or a call has ended.
func (i *connectionInput) activity() (calls int, activeAt time.Time) {
	i.admission.mu.Lock()
	defer i.admission.mu.Unlock()
	return i.calls, i.activeAt
}

// hasMadeCalls reports whether a call has begun on the connection.
func (i *connectionInput) hasMadeCalls() bool {
	i.admission.mu.Lock()
	defer i.admission.mu.Unlock()
	return i.madeCalls
}

// waitToRead waits until the connection may be read. It returns at once when the connection is closed.
func (i *connectionInput) waitToRead() {
	i.admission.mu.Lock()
	defer i.admission.mu.Unlock()
	for i.heldBytes > 0 && i.admission.bytes >= i.admission.maxBytes && !i.closed {
		i.admission.changed.Wait()
	}
	if i.admission.bytes >= i.admission.maxBytes {
		i.rejectIncomplete()
	}
}

// rejectIncomplete rejects the newest calls whose message has not arrived in full, beyond the connection's share. The
// caller must hold the mutex.
func (i *connectionInput) rejectIncomplete() {
	for len(i.incomplete) > i.admission.messagesPerConnection {
		newest := i.incomplete[len(i.incomplete)-1]
		newest.removeIncomplete()
		newest.stopReceiving()
	}
}

// addRead counts bytes that were read from the connection.
func (i *connectionInput) addRead(count int) {
	i.admission.mu.Lock()
	defer i.admission.mu.Unlock()
	i.activeAt = time.Now()
	i.pendingBytes += count
	i.admission.bytes += count
	if i.calls == 0 {
		i.releasePending(i.pendingBytes) // frames that belong to no call
	}
}

// releasePending releases pending bytes. The caller must hold the mutex.
func (i *connectionInput) releasePending(count int) {
	count = min(count, i.pendingBytes)
	i.pendingBytes -= count
	i.admission.release(count)
}

// close releases the connection's pending bytes and lets a read that waits continue.
func (i *connectionInput) close() {
	i.admission.mu.Lock()
	defer i.admission.mu.Unlock()
	i.closed = true
	i.releasePending(i.pendingBytes)
	i.admission.changed.Broadcast()
}

// incomingCall is a call in progress. Its fields are guarded by the admission's mutex.
type incomingCall struct {
	input        *connectionInput
	beganAt      time.Time
	messageBytes int // of the message, from its arrival until it is released
	timeout      *time.Timer
	stopped      chan struct{} // closed when the message is not received any more
	isStopped    bool
	isReceiving  bool               // a receivingStream waits for the message
	cancel       context.CancelFunc // ends the call's context
}

// incomingCallKey is the context key of a call's incomingCall.
type incomingCallKey struct{}

// beginCall implements tap.ServerInHandle: it counts a call from when its header has arrived until its context ends.
func (a *admission) beginCall(ctx context.Context, _ *tap.Info) (context.Context, error) {
	connection, ok := ctx.Value(connectionKey{}).(*connectionState)
	if !ok || connection.client == nil {
		return ctx, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	call := &incomingCall{
		input:   &connection.client.input,
		beganAt: time.Now(),
		stopped: make(chan struct{}),
		cancel:  cancel,
	}
	call.timeout = time.AfterFunc(receiveTimeout, call.handleTimeout)
	a.mu.Lock()
	a.callCount++
	call.input.calls++
	call.input.madeCalls = true
	call.input.incomplete = append(call.input.incomplete, call)
	a.mu.Unlock()
	context.AfterFunc(ctx, call.end)
	return context.WithValue(ctx, incomingCallKey{}, call), nil
}

// callOf returns the incomingCall of a call's context, or nil if it is not counted.
func callOf(ctx context.Context) *incomingCall {
	call, _ := ctx.Value(incomingCallKey{}).(*incomingCall)
	return call
}

// receive records that the call's message has arrived. wireBytes is its size on the connection, messageBytes the memory
// that it takes from then on.
func (c *incomingCall) receive(wireBytes, messageBytes int) {
	c.timeout.Stop()
	a := c.input.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	index := slices.Index(c.input.incomplete, c)
	if index < 0 {
		return // the call has ended, or it has several messages
	}
	c.input.incomplete = slices.Delete(c.input.incomplete, index, index+1)
	c.input.releasePending(wireBytes)
	c.messageBytes = messageBytes
	c.input.heldBytes += messageBytes
	a.bytes += messageBytes
}

// handleTimeout ends a call whose message has not arrived in time.
func (c *incomingCall) handleTimeout() {
	a := c.input.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Contains(c.input.incomplete, c) {
		c.removeIncomplete()
		c.stopReceiving()
	}
}

// stopReceiving ends a call whose message is not received any more. gRPC itself would answer it as cancelled, so its
// context ends only if nobody can answer it as rejected: before its handler runs, and for calls that are not streams.
// The caller must hold the mutex.
func (c *incomingCall) stopReceiving() {
	c.isStopped = true
	close(c.stopped)
	if !c.isReceiving {
		c.cancel()
	}
}

// beginReceiving records that a receivingStream waits for the message. It returns false if the call has been stopped.
func (c *incomingCall) beginReceiving() bool {
	a := c.input.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	c.isReceiving = true
	return !c.isStopped
}

// releaseMessage records that the call's message is not needed any more.
func (c *incomingCall) releaseMessage() {
	a := c.input.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	c.input.heldBytes -= c.messageBytes
	a.release(c.messageBytes)
	c.messageBytes = 0
}

// removeIncomplete records that the rest of the message is not received. The caller must hold the mutex.
func (c *incomingCall) removeIncomplete() {
	index := slices.Index(c.input.incomplete, c)
	if index < 0 {
		return
	}
	// How much of the message has arrived is not known.
	c.input.releasePending(c.input.pendingBytes / len(c.input.incomplete))
	c.input.incomplete = slices.Delete(c.input.incomplete, index, index+1)
}

// end ends the call. If it was the last one of its connection, nothing of the input is needed any more.
func (c *incomingCall) end() {
	c.timeout.Stop()
	c.releaseMessage()
	a := c.input.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	c.removeIncomplete()
	a.callCount--
	c.input.calls--
	c.input.activeAt = time.Now()
	if c.input.calls == 0 {
		c.input.releasePending(c.input.pendingBytes)
	}
}

// admitStream implements grpc.StreamServerInterceptor: it rejects a call for which memory does not suffice, before its
// message is received, and one whose message is not received any more. Neither has run.
func admitStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	call := callOf(stream.Context())
	if call == nil {
		return handle(server, stream)
	}
	if call.isOverLimit() || !call.beginReceiving() {
		return rejectedStatus(overloadRetryDelayMs)
	}
	return handle(server, &receivingStream{ServerStream: stream, call: call})
}

// receivingStream is a stream whose message may not be received.
type receivingStream struct {
	grpc.ServerStream
	call *incomingCall
}

// RecvMsg implements grpc.ServerStream. When the message is not received any more it returns the status of a rejected
// query, and message must not be used.
func (s *receivingStream) RecvMsg(message any) error {
	received := make(chan error, 1)
	go func() { received <- s.ServerStream.RecvMsg(message) }() // ends with the stream
	select {
	case err := <-received:
		return err
	case <-s.call.stopped:
		return rejectedStatus(overloadRetryDelayMs)
	}
}

// isOverLimit reports whether more calls are in progress than memory suffices for, and the connection of this one has
// more than an equal share of them. Calls up to that share are always admitted.
func (c *incomingCall) isOverLimit() bool {
	a := c.input.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.callCount > a.maxCalls && c.input.calls > a.callsPerConnection
}
