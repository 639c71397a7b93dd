package flight

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
)

// minRemainingMs is the least time that a call is given.
const minRemainingMs = 1.0

// The states of an attempt. The loop and the attempt's goroutine decide between the last two by compare-and-swap.
const (
	stateWaiting     int32 = iota // for its connection
	stateBegun                    // from here on it may have run
	stateNeverBegins              // from here on it provably has not run and will not
)

// attempt is one DoGet to a backend. It is the Handle of core's attempt, whose fields it only reads until its end.
type attempt struct {
	*core.Attempt
	connection *backendConnection
	ended      bool // its outcome is reported, or no longer wanted
	state      atomic.Int32

	// Set before the goroutine starts and constant from then on.
	cancel      context.CancelFunc // ends the goroutine; nil before it starts
	remaining   time.Duration      // until the deadline
	startWindow time.Duration      // within which the call begins, or never

	// backendEpoch is the goroutine's until it posts the outcome: the epoch of a backend that is not the holder.
	backendEpoch uint64
}

// endWait ends the wait for an attempt whose outcome is no longer wanted. It runs on the loop.
func (a *attempt) endWait() {
	a.ended = true
	if a.cancel != nil {
		a.cancel()
	}
}

// runAttempt is the goroutine of one attempt. It posts the outcome to the loop and changes nothing of the loop's. It
// ends with the call, at the attempt's deadline at the latest, or when ctx is cancelled.
func (c *BackendClient) runAttempt(ctx context.Context, attempt *attempt) {
	defer attempt.cancel()
	outcome, value := attempt.run(ctx)
	c.loop.Post(func() { c.attemptEnded(attempt, outcome, value) })
}

// attemptEnded takes the outcome of an attempt. It runs on the loop. An abandoned attempt has none.
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
		connection.callsServed++
	}
	attempt.BackendEpoch = attempt.backendEpoch
	c.core.AttemptEnded(attempt.Attempt, outcome, value)
}

// run waits for the connection and carries out the call. An attempt whose connection is not established within the
// start window never begins.
func (a *attempt) run(ctx context.Context) (scheduler.Outcome, []byte) {
	startedAt := time.Now()
	ready := waitReady(ctx, a.connection.grpcConn, a.startWindow) && time.Since(startedAt) <= a.startWindow
	if !ready || !a.state.CompareAndSwap(stateWaiting, stateBegun) {
		a.state.CompareAndSwap(stateWaiting, stateNeverBegins)
		return scheduler.ConnectFailed, nil
	}
	return a.call(ctx, a.remaining-time.Since(startedAt))
}

// call carries out the call. The first record batch is the answer: a stream that breaks after it does not undo it. A
// panic of the Arrow reader over a malformed message counts as a broken connection.
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
	stream, err := a.connection.client.DoGet(ctx, &flight.Ticket{Ticket: ticket})
	if err != nil {
		return a.callOutcome(err), nil
	}
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

// answerValue returns a copy of the first column of the first row, which is the value, if there is a valid one.
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
