package flight

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
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
		{"rejected", status.Error(codes.ResourceExhausted, ""), scheduler.Rejected},
		{"wrapped", fmt.Errorf("read: %w", status.Error(codes.ResourceExhausted, "")), scheduler.Rejected},
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
			attempt := &attempt{Attempt: &core.Attempt{Epoch: c.attemptEpoch}}
			assert.Equal(t, c.outcome, attempt.callOutcome(c.err))
			assert.Equal(t, c.backendEpoch, attempt.backendEpoch)
		})
	}
}
