package flight

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"ternstage/internal/contract"
	"ternstage/internal/core"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
)

// rejectedQueryError maps what a front says of a query that core has not taken.
func rejectedQueryError(err error) error {
	switch {
	case errors.Is(err, contract.ErrUnknownClass):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, contract.ErrUnknownTenant):
		return status.Error(codes.PermissionDenied, err.Error())
	case errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded):
		return status.FromContextError(err).Err()
	}
	var stale *core.StaleEpochError
	if errors.As(err, &stale) {
		st := status.New(codes.InvalidArgument, err.Error())
		info := &errdetails.ErrorInfo{Reason: "STALE_SLICE", Domain: "ternstage",
			Metadata: map[string]string{metadataEpoch: strconv.FormatUint(stale.Epoch, 10)}}
		if with, err := st.WithDetails(info); err == nil {
			st = with
		}
		return st.Err()
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

// unansweredError maps a final answer that is not served; nil if it is.
func unansweredError(a core.Answer) error {
	switch {
	case a.Kind == core.Answered:
		return nil
	case a.Kind == core.Rejected:
		st := status.New(codes.Unavailable, "refused: trying again is harmless")
		delay := durationpb.New(time.Duration(max(a.RetryAfter, 1) * 1e6))
		if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: delay}); err == nil {
			st = with
		}
		return st.Err()
	case a.TimedOut:
		return status.Error(codes.DeadlineExceeded, "no answer in time; what was asked for may have been done")
	}
	return status.Error(codes.Internal, "failed; what was asked for may have been done")
}

// sendAnswer writes the answer as one record batch, a row for each part that is in.
func sendAnswer(s flight.FlightService_DoGetServer, a core.Answer) error {
	names, values, fields := []string{metadataComplete}, []string{strconv.FormatBool(a.Complete)}, answerSchema
	if a.Epoch > 0 {
		names, values = append(names, metadataEpoch), append(values, strconv.FormatUint(a.Epoch, 10))
		fields = append(slices.Clone(fields), bucketFields...)
	}
	meta := arrow.NewMetadata(names, values)
	schema := arrow.NewSchema(fields, &meta)
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	for _, v := range a.Values {
		b.Field(0).(*array.Int32Builder).Append(int32(v.Shard))
		b.Field(1).(*array.BinaryBuilder).Append(v.Doc)
		if a.Epoch > 0 {
			b.Field(2).(*array.Int32Builder).Append(int32(v.Buckets.Start))
			b.Field(3).(*array.Int32Builder).Append(int32(v.Buckets.End))
		}
	}
	rec := b.NewRecordBatch()
	defer rec.Release()
	w := flight.NewRecordWriter(s, ipc.WithSchema(schema))
	if err := w.Write(rec); err != nil {
		return fmt.Errorf("flight answer: %w", err)
	}
	return w.Close()
}
