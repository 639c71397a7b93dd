package flight

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ternstage/internal/contract"
	"ternstage/internal/core"
)

func TestInvalidQueryStatus(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want codes.Code
	}{
		{"unknown class", fmt.Errorf("%w: x", contract.ErrUnknownClass), codes.NotFound},
		{"unknown tenant", fmt.Errorf("%w: x", contract.ErrUnknownTenant), codes.PermissionDenied},
		{"malformed", contract.ErrMalformed, codes.InvalidArgument},
		{"invalid", core.ErrInvalidRequest, codes.InvalidArgument},
		{"cancelled", context.Canceled, codes.Canceled},
		{"out of time", context.DeadlineExceeded, codes.DeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := status.Convert(invalidQueryStatus(c.err))
			assert.Equal(t, c.want, got.Code())
			assert.Contains(t, got.Message(), c.err.Error())
			assert.Empty(t, got.Details())
		})
	}
}

func TestStaleEpochHasErrorInfo(t *testing.T) {
	err := &core.StaleEpochError{Epoch: 17, Err: errors.New("unknown shard")}
	got := status.Convert(invalidQueryStatus(err))
	assert.Equal(t, codes.InvalidArgument, got.Code())
	require.Len(t, got.Details(), 1)
	info := got.Details()[0].(*errdetails.ErrorInfo)
	assert.Equal(t, "STALE_SLICE", info.Reason)
	assert.Equal(t, "ternstage", info.Domain)
	assert.Equal(t, map[string]string{"epoch": "17"}, info.Metadata)
}

func TestUnansweredStatus(t *testing.T) {
	require.NoError(t, unansweredStatus(core.Answer{Kind: core.Answered}))
	assert.Equal(t, codes.DeadlineExceeded, status.Code(unansweredStatus(core.Answer{Kind: core.Failed, TimedOut: true})))
	assert.Equal(t, codes.Internal, status.Code(unansweredStatus(core.Answer{Kind: core.Failed})))
	for retryAfterMs, want := range map[float64]time.Duration{0: time.Millisecond, 250: 250 * time.Millisecond} {
		got := status.Convert(unansweredStatus(core.Answer{Kind: core.Rejected, RetryAfter: retryAfterMs}))
		assert.Equal(t, codes.Unavailable, got.Code())
		require.Len(t, got.Details(), 1)
		assert.Equal(t, want, got.Details()[0].(*errdetails.RetryInfo).RetryDelay.AsDuration())
	}
}

func TestNewAnswerRecord(t *testing.T) {
	answer := core.Answer{Complete: true, Values: []core.Value{{Shard: 3, Doc: []byte("a")}, {Shard: 5, Doc: []byte("b")}}}
	for _, epoch := range []uint64{0, 17} {
		answer.Epoch = epoch
		schema := answerSchema(answer)
		record := newAnswerRecord(answer, schema)
		t.Cleanup(record.Release)
		assert.Equal(t, int64(2), record.NumRows())
		complete, _ := schema.Metadata().GetValue("complete")
		assert.Equal(t, "true", complete)
		epochText, hasEpoch := schema.Metadata().GetValue("epoch")
		if epoch == 0 {
			assert.False(t, hasEpoch)
			assert.Equal(t, int64(2), record.NumCols())
			continue
		}
		assert.Equal(t, "17", epochText)
		assert.Equal(t, int64(4), record.NumCols())
		assert.Equal(t, "hi", schema.Field(3).Name)
	}
}
