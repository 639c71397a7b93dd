package flight

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/slicemap"
)

// Outcomes takes what became of attempts, on the loop.
type Outcomes interface {
	AttemptEnded(a *core.Attempt, o scheduler.Outcome, value []byte)
	AttemptEndedLater(a *core.Attempt, o scheduler.Outcome)
}

// BackendOptions are the limits of the back end, from the settings.
type BackendOptions struct {
	StreamsPerConnection int
	DialTimeout          float64 // ms
	KeepAlive            float64 // ms
	MaxConnections       int
}

const (
	maxAnswerBytes = 256 << 10
	idleCloseRatio = 0.9
)

// BackendClient asks rate nodes over Flight. It implements core.Backend. A part is a DoGet of its own: Flight has no
// call that carries several tickets.
type BackendClient struct {
	loop            Loop
	core            Outcomes
	log             *logs.Log
	options         BackendOptions
	address         func(node uint32) string
	connections     map[uint32][]*backendConnection // by node: its connections; the loop's alone
	connectionCount int
	unflushed       []*attempt
}

// backendConnection is one gRPC connection to a node.
type backendConnection struct {
	replica  uint32
	address  string
	grpcConn *grpc.ClientConn
	client   flight.Client
	inFlight int
	served   int
	retired  bool
}

// attempt is an attempt that is out; it is the handle of core's.
type attempt struct {
	*core.Attempt
	connection *backendConnection
	cancel     context.CancelFunc
	state      atomic.Int32 // stateWaiting until its call begins or it is given up
	ended      bool         // the loop's: its outcome is known or no longer wanted

	backendEpoch uint64 // the goroutine's until it posts
}

const (
	stateWaiting   = iota
	stateBegun     // from here on it may have run
	stateWithdrawn // from here on it never will
)

// NewBackendClient makes the back end; address looks a node's address up.
func NewBackendClient(l Loop, c Outcomes, log *logs.Log, o BackendOptions, address func(uint32) string) *BackendClient {
	return &BackendClient{loop: l, core: c, log: log, options: o, address: address, connections: map[uint32][]*backendConnection{}}
}

// Send implements core.Backend.
func (n *BackendClient) Send(a *core.Attempt) {
	x := &attempt{Attempt: a}
	a.Handle = x
	n.unflushed = append(n.unflushed, x)
}

// Flush implements core.Backend.
func (n *BackendClient) Flush() {
	turn := n.unflushed
	n.unflushed = nil
	for _, x := range turn {
		if x.ended {
			continue
		}
		if x.connection = n.selectConnection(x.Backend); x.connection == nil {
			x.ended = true
			n.core.AttemptEndedLater(x.Attempt, scheduler.ConnectFailed)
			continue
		}
		x.connection.inFlight++
		left := time.Duration(max(x.Deadline-n.loop.Now(), 1) * 1e6)
		hold := time.Duration(max(min(x.StartBy-n.loop.Now(), n.options.DialTimeout), 0) * 1e6)
		ctx, cancel := context.WithTimeout(context.Background(), left)
		x.cancel = cancel
		go n.runAttempt(ctx, x, left, hold)
	}
}

// selectConnection is a connection to a node with a stream to spare.
func (n *BackendClient) selectConnection(node uint32) *backendConnection {
	addr := n.address(node)
	if addr == "" {
		return nil
	}
	for _, ch := range n.connections[node] {
		if ch.address != addr {
			n.retire(ch)
		} else if ch.inFlight < n.options.StreamsPerConnection && !ch.retired {
			return ch
		}
	}
	if n.connectionCount >= n.options.MaxConnections {
		return nil
	}
	idle := time.Duration(n.options.KeepAlive * idleCloseRatio * 1e6)
	// No retries by gRPC: whether a part goes out again is the module's decision.
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithIdleTimeout(idle),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswerBytes)), grpc.WithNoProxy())
	if err != nil {
		n.log.ConnectionEnded(logs.FlightBackendClosed, addr, 0, err)
		return nil
	}
	ch := &backendConnection{replica: node, address: addr, grpcConn: cc, client: flight.NewClientFromConn(cc, nil)}
	n.connections[node] = append(n.connections[node], ch)
	n.connectionCount++
	return ch
}

// retire lets a connection end with what is out on it.
func (n *BackendClient) retire(ch *backendConnection) {
	if ch.retired = true; ch.inFlight > 0 {
		return
	}
	list := n.connections[ch.replica]
	for i, x := range list {
		if x == ch {
			n.connections[ch.replica] = append(list[:i:i], list[i+1:]...)
			n.connectionCount--
			_ = ch.grpcConn.Close()
			n.log.ConnectionEnded(logs.FlightBackendClosed, ch.address, ch.served, nil)
		}
	}
}

// Withdraw implements core.Backend.
func (n *BackendClient) Withdraw(a *core.Attempt) bool {
	x, _ := a.Handle.(*attempt)
	if x == nil || x.ended || !x.state.CompareAndSwap(stateWaiting, stateWithdrawn) {
		return false
	}
	n.endWait(x)
	return true
}

// Abandon implements core.Backend.
func (n *BackendClient) Abandon(a *core.Attempt) (neverRan bool) {
	if n.Withdraw(a) {
		return true
	}
	if x, _ := a.Handle.(*attempt); x != nil && !x.ended {
		n.endWait(x)
	}
	return false
}

// endWait ends the wait for an attempt.
func (n *BackendClient) endWait(x *attempt) {
	if x.ended = true; x.cancel != nil {
		x.cancel()
	}
}

// CloseIdleConnections implements core.Backend.
func (n *BackendClient) CloseIdleConnections(node uint32) {
	for _, ch := range n.connections[node] {
		if ch.inFlight == 0 {
			n.retire(ch)
		}
	}
}

// Close closes what is open, at the end of the program.
func (n *BackendClient) Close() {
	for _, list := range n.connections {
		for _, ch := range list {
			_ = ch.grpcConn.Close()
			n.log.ConnectionEnded(logs.Shutdown, ch.address, ch.served, nil)
		}
	}
	clear(n.connections)
}

// runAttempt is the goroutine of one attempt: gRPC's calls wait. It tells the loop of the outcome and touches
// nothing else. The call begins within hold or not at all.
func (n *BackendClient) runAttempt(ctx context.Context, x *attempt, left, hold time.Duration) {
	defer x.cancel()
	o, value := n.ask(ctx, x, left, hold)
	n.loop.Post(func() {
		if x.connection.inFlight--; x.connection.retired {
			n.retire(x.connection)
		}
		if x.ended {
			return // given up before: a late answer is ignored
		}
		x.ended = true
		if o == scheduler.Succeeded {
			x.connection.served++
		}
		x.BackendEpoch = x.backendEpoch
		n.core.AttemptEnded(x.Attempt, o, value)
	})
}

// backendTicket is what a node is asked with.
type backendTicket struct {
	ID    string `json:"id"`
	Shard int    `json:"shard"`
	D     int    `json:"d"`
	Q     string `json:"q"`
	K     string `json:"k,omitempty"` // the client's key by which repeats are dropped

	// Where slices move: the epoch by which the part was routed and its districts, hi not included.
	Epoch uint64 `json:"e,omitempty"`
	*slicemap.Range
}

// ask carries out one attempt.
func (n *BackendClient) ask(ctx context.Context, x *attempt, left, hold time.Duration) (o scheduler.Outcome,
	value []byte) {
	begin := time.Now()
	up := n.waitConnected(ctx, x.connection.grpcConn, hold) && time.Since(begin) <= hold
	if !up || !x.state.CompareAndSwap(stateWaiting, stateBegun) {
		x.state.CompareAndSwap(stateWaiting, stateWithdrawn)
		return scheduler.ConnectFailed, nil // no call was begun: it never ran
	}
	defer func() {
		// Guards the program against a stream whose messages break the reader.
		if e := recover(); e != nil && value == nil {
			o = scheduler.ConnectionReset
		}
	}()
	ask := backendTicket{ID: fmt.Sprintf("%s.%d", x.Request, x.Shard), Shard: x.Shard,
		D: max(int((left - time.Since(begin)).Milliseconds()), 1), Q: string(x.Query), K: x.IdempotencyKey}
	if x.Epoch > 0 {
		ask.ID, ask.Epoch, ask.Range = fmt.Sprintf("%s.%d", ask.ID, x.Buckets.Start), x.Epoch, &x.Buckets
	}
	t, err := json.Marshal(ask)
	if err != nil {
		return scheduler.NotSent, nil
	}
	s, err := x.connection.client.DoGet(ctx, &flight.Ticket{Ticket: t})
	if err != nil {
		return x.callOutcome(err), nil
	}
	r, err := flight.NewRecordReader(s)
	if err != nil {
		return x.callOutcome(err), nil
	}
	defer r.Release()
	// The first batch is the answer: a stream that breaks after it does not undo it.
	if !r.Next() {
		return x.callOutcome(r.Err()), nil
	}
	rec := r.RecordBatch()
	if rec.NumCols() < 1 || rec.NumRows() < 1 {
		return scheduler.Failed, nil
	}
	switch col := rec.Column(0).(type) {
	case *array.Binary:
		value = append([]byte{}, col.Value(0)...)
	case *array.String:
		value = []byte(col.Value(0))
	default:
		return scheduler.Failed, nil
	}
	if !core.ValidValue(value) {
		return scheduler.Failed, nil
	}
	return scheduler.Succeeded, value
}

// waitConnected waits until a connection is up, for so long at most. A refused one tells at once.
func (n *BackendClient) waitConnected(ctx context.Context, cc *grpc.ClientConn, most time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	state := cc.GetState()
	if state == connectivity.TransientFailure {
		cc.ResetConnectBackoff() // gRPC's own delay is not the module's
		cc.WaitForStateChange(ctx, state)
		state = cc.GetState()
	}
	for state != connectivity.Ready {
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return false
		}
		if state == connectivity.Idle {
			cc.Connect()
		}
		if !cc.WaitForStateChange(ctx, state) {
			return false
		}
		state = cc.GetState()
	}
	return true
}

// The reason and the key of the ErrorInfo by which a node says FAILED_PRECONDITION where slices move: it does
// not hold the districts at its epoch, and nothing of the part ran.
const (
	reasonNotHolder = "MOVED"
	metadataEpoch   = "epoch"
)

// callOutcome maps how the attempt's call ended, and takes the node's epoch where it says that the part's districts
// are not its own. Read by the loop only after run has posted.
func (x *attempt) callOutcome(err error) scheduler.Outcome {
	if st, ok := status.FromError(err); ok && x.Epoch > 0 && st.Code() == codes.FailedPrecondition {
		for _, d := range st.Details() {
			if i, ok := d.(*errdetails.ErrorInfo); ok && i.Reason == reasonNotHolder {
				if epoch, err := strconv.ParseUint(i.Metadata[metadataEpoch], 10, 63); err == nil && epoch > 0 {
					x.backendEpoch = epoch
					return scheduler.NotHolder
				}
			}
		}
	}
	return outcomeOfError(err)
}

// outcomeOfError maps how a call ended that had begun: only the node's own word that it is full proves that the
// part never ran.
func outcomeOfError(err error) scheduler.Outcome {
	var st interface{ GRPCStatus() *status.Status }
	if !errors.As(err, &st) {
		return scheduler.ConnectionReset // a stream that ended early or cannot be read
	}
	switch st.GRPCStatus().Code() {
	case codes.ResourceExhausted:
		return scheduler.Rejected
	case codes.DeadlineExceeded:
		return scheduler.TimedOut
	case codes.Unavailable, codes.Canceled:
		return scheduler.ConnectionReset
	}
	return scheduler.Failed
}
