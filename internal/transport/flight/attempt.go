package flight

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"go.uber.org/zap"
	"google.golang.org/grpc/status"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
)

// minRemainingMs is the minimum timeout of a call, in milliseconds.
const minRemainingMs = 1.0

// The states of an attempt. Both the loop and the attempt's goroutine may end stateWaiting. They do so by
// compare-and-swap, so that only one of them succeeds.
const (
	stateWaiting int32 = iota // waits for its connection
	stateStarted              // the call has started, and the part may have run
	stateAborted              // the call provably has not started and never will
)

// attempt is one DoGet to a backend. It is the Handle of the core.Attempt that it embeds. Until the attempt ends, the
// fields of the core.Attempt are only read.
type attempt struct {
	*core.Attempt
	connection *backendConnection
	ended      bool // its outcome has been reported or is no longer wanted
	state      atomic.Int32

	// Set before the goroutine starts and constant from then on.
	cancel      context.CancelFunc // ends the goroutine; nil before it starts
	remaining   time.Duration      // until the deadline
	startWindow time.Duration      // within which the call must start; otherwise the attempt is aborted

	// end records how the call ended.
	end *callEnd

	// backendEpoch is the epoch of the backend's shard map if the backend does not hold the shard; 0 otherwise. Only
	// the goroutine uses it until the outcome is posted.
	backendEpoch uint64
	// callErr is the error with which the call ended, or nil. It is used like backendEpoch.
	callErr error
}

// discard cancels an attempt whose outcome is no longer wanted. It runs on the loop.
func (a *attempt) discard() {
	a.ended = true
	if a.cancel != nil {
		a.cancel()
	}
}

// runAttempt runs on the goroutine of an attempt. It posts the outcome to the loop and changes nothing that belongs
// to the loop. It returns when the call ends or ctx is cancelled, at the latest at the attempt's deadline.
func (c *BackendClient) runAttempt(ctx context.Context, attempt *attempt) {
	defer attempt.cancel()
	outcome, value := attempt.run(ctx)
	c.loop.Post(func() { c.attemptEnded(attempt, outcome, value) })
}

// attemptEnded reports the outcome of an attempt to core, unless the attempt was withdrawn or abandoned. It runs on
// the loop.
func (c *BackendClient) attemptEnded(attempt *attempt, outcome scheduler.Outcome, value []byte) {
	connection := attempt.connection
	connection.inFlight--
	if connection.retired {
		c.retire(connection)
	}
	if attempt.ended {
		return
	}
	attempt.ended = true
	if outcome == scheduler.Succeeded {
		connection.succeededAttempts++
	}
	if attempt.callErr != nil {
		c.logFailedCall(attempt, outcome)
	}
	attempt.BackendEpoch = attempt.backendEpoch
	c.core.AttemptEnded(attempt.Attempt, outcome, value)
}

// logFailedCall logs a call that ended with an error, and what is concluded from it.
func (c *BackendClient) logFailedCall(attempt *attempt, outcome scheduler.Outcome) {
	begun, completed := attempt.end.progress()
	c.log.Info("Flight call failed", zap.String("peer", attempt.connection.address),
		zap.String("status", status.Code(attempt.callErr).String()), zap.Error(attempt.callErr),
		zap.Bool("answer_begun", begun), zap.Bool("ended_by_backend", completed),
		zap.Bool("never_ran", outcome == scheduler.Rejected || outcome == scheduler.NotHolder))
}

// run waits for the connection and makes the call. If the connection is not established within the start window, the
// attempt is aborted.
func (a *attempt) run(ctx context.Context) (scheduler.Outcome, []byte) {
	startedAt := time.Now()
	ready := waitReady(ctx, a.connection.grpcConn, a.startWindow) && time.Since(startedAt) <= a.startWindow
	if !ready || !a.state.CompareAndSwap(stateWaiting, stateStarted) {
		a.state.CompareAndSwap(stateWaiting, stateAborted)
		return scheduler.ConnectFailed, nil
	}
	return a.call(ctx, a.remaining-time.Since(startedAt))
}

// call makes the call. The first record batch is the answer, even if the stream breaks afterwards. If the Arrow
// reader panics because of a malformed message, the outcome is ConnectionReset.
func (a *attempt) call(ctx context.Context, remaining time.Duration) (outcome scheduler.Outcome, value []byte) {
	defer func() {
		if failure := recover(); failure != nil && value == nil {
			outcome = scheduler.ConnectionReset
		}
	}()
	ticket, err := json.Marshal(newBackendTicket(a.Attempt, remaining))
	if err != nil {
		return scheduler.NotSent, nil
	}
	stream, err := a.connection.client.DoGet(withCallEnd(ctx, a.end), &flight.Ticket{Ticket: ticket})
	if err != nil {
		return a.callOutcome(err), nil
	}
	// Waits until the answer begins or the call ends without one. In the latter case this records the status before
	// anything else of a malformed response is read.
	_, _ = stream.Header()
	reader, err := flight.NewRecordReader(stream)
	if err != nil {
		return a.callOutcome(err), nil
	}
	defer reader.Release()
	if !reader.Next() {
		return a.callOutcome(reader.Err()), nil
	}
	answer, ok := answerValue(reader.RecordBatch())
	if !ok {
		return scheduler.Failed, nil
	}
	return scheduler.Succeeded, answer
}

// answerValue returns a copy of the value in the first column of the first row, and whether there is a valid value.
func answerValue(record arrow.RecordBatch) ([]byte, bool) {
	if record.NumCols() < 1 || record.NumRows() < 1 {
		return nil, false
	}
	var value []byte
	switch column := record.Column(0).(type) {
	case *array.Binary:
		value = append([]byte{}, column.Value(0)...)
	case *array.String:
		value = []byte(column.Value(0))
	default:
		return nil, false
	}
	return value, core.ValidValue(value)
}
