package flight

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
)

func TestOutcomeOfError(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want scheduler.Outcome
	}{
		{"the stream ended without an error", nil, scheduler.ConnectionReset},
		{"the stream ended early", io.ErrUnexpectedEOF, scheduler.ConnectionReset},
		{"a limit of the client", status.Error(codes.ResourceExhausted, ""), scheduler.Failed},
		{"wrapped", fmt.Errorf("read: %w", status.Error(codes.DeadlineExceeded, "")), scheduler.TimedOut},
		{"timed out", status.Error(codes.DeadlineExceeded, ""), scheduler.TimedOut},
		{"unavailable", status.Error(codes.Unavailable, ""), scheduler.ConnectionReset},
		{"cancelled", status.Error(codes.Canceled, ""), scheduler.ConnectionReset},
		{"any other status", status.Error(codes.FailedPrecondition, ""), scheduler.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, outcomeOfError(c.err))
		})
	}
}

// notHolderError returns a status error with an ErrorInfo, as a backend that does not hold the shard returns it.
func notHolderError(t *testing.T, code codes.Code, reason, epoch string) error {
	t.Helper()
	return statusWithDetail(code, "", &errdetails.ErrorInfo{Reason: reason, Metadata: map[string]string{"epoch": epoch}})
}

// endOf returns the end of a call with a status error, after the given events of the call.
func endOf(err error, events ...stats.RPCStats) *callEnd {
	end := &callEnd{}
	for _, event := range append(events, &stats.End{Error: err}) {
		end.record(event)
	}
	return end
}

// TestStatusAsProof checks that a status proves that the part did not run only if the backend sent it in place of an
// answer. gRPC makes the same statuses itself, for example for an answer that is too large.
func TestStatusAsProof(t *testing.T) {
	rejected := status.Error(codes.ResourceExhausted, "")
	notHolder := notHolderError(t, codes.FailedPrecondition, "MOVED", "18")
	header, trailer := &stats.InHeader{}, &stats.InTrailer{}
	for _, c := range []struct {
		name    string
		err     error
		events  []stats.RPCStats
		outcome scheduler.Outcome
	}{
		{"rejected", rejected, []stats.RPCStats{trailer}, scheduler.Rejected},
		{"answer begun, then rejected", rejected, []stats.RPCStats{header, trailer}, scheduler.Failed},
		{"answer begun, then a limit of the client", rejected, []stats.RPCStats{header}, scheduler.Failed},
		{"reset by the backend", rejected, nil, scheduler.Failed},
		{"not the holder", notHolder, []stats.RPCStats{trailer}, scheduler.NotHolder},
		{"answer begun, then not the holder", notHolder, []stats.RPCStats{header, trailer}, scheduler.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			attempt := &attempt{Attempt: &core.Attempt{Epoch: 17}, end: endOf(c.err, c.events...)}
			assert.Equal(t, c.outcome, attempt.callOutcome(c.err))
		})
	}
}

func TestNotHolder(t *testing.T) {
	for _, c := range []struct {
		name         string
		attemptEpoch uint64
		err          error
		outcome      scheduler.Outcome
		backendEpoch uint64
	}{
		{"not the holder", 17, notHolderError(t, codes.FailedPrecondition, "MOVED", "18"), scheduler.NotHolder, 18},
		{"placement is fixed", 0, notHolderError(t, codes.FailedPrecondition, "MOVED", "18"), scheduler.Failed, 0},
		{"another code", 17, notHolderError(t, codes.Unavailable, "MOVED", "18"), scheduler.ConnectionReset, 0},
		{"another reason", 17, notHolderError(t, codes.FailedPrecondition, "X", "18"), scheduler.Failed, 0},
		{"epoch 0", 17, notHolderError(t, codes.FailedPrecondition, "MOVED", "0"), scheduler.Failed, 0},
		{"no details", 17, status.Error(codes.FailedPrecondition, ""), scheduler.Failed, 0},
		{"no status", 17, errors.New("broken"), scheduler.ConnectionReset, 0},
		{"no error", 17, nil, scheduler.ConnectionReset, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			attempt := &attempt{Attempt: &core.Attempt{Epoch: c.attemptEpoch}, end: endOf(c.err, &stats.InTrailer{})}
			assert.Equal(t, c.outcome, attempt.callOutcome(c.err))
			assert.Equal(t, c.backendEpoch, attempt.backendEpoch)
		})
	}
}
