package flight

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
)

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

// ask carries out one attempt.
func (n *BackendClient) ask(ctx context.Context, x *attempt, left, hold time.Duration) (o scheduler.Outcome, value []byte) {
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
