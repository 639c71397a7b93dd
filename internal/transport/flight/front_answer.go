package flight

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"ternstage/internal/contract"
	"ternstage/internal/core"
)

const (
	// minRetryDelayMs is the minimum RetryDelay of a rejected query, in milliseconds.
	minRetryDelayMs = 1.0
	// overloadRetryDelayMs is the RetryDelay in milliseconds of a query that the front rejects for lack of memory.
	overloadRetryDelayMs = 1000.0
)

// invalidQueryStatus returns the status of a query that was not submitted because of err. For a stale epoch the
// status has an ErrorInfo with the epoch in use.
func invalidQueryStatus(err error) error {
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
		return statusWithDetail(codes.InvalidArgument, err.Error(), &errdetails.ErrorInfo{
			Reason:   reasonStaleEpoch,
			Domain:   errorDomain,
			Metadata: map[string]string{staleEpochKey: strconv.FormatUint(stale.Epoch, 10)},
		})
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

// unansweredStatus returns the status of a query that was rejected or failed, or nil if it was answered.
func unansweredStatus(answer core.Answer) error {
	switch {
	case answer.Kind == core.Answered:
		return nil
	case answer.Kind == core.Rejected:
		return rejectedStatus(max(answer.RetryAfter, minRetryDelayMs))
	case answer.TimedOut:
		return status.Error(codes.DeadlineExceeded, "no answer in time; what was asked for may have been done")
	}
	return status.Error(codes.Internal, "failed; what was asked for may have been done")
}

// rejectedStatus returns the status of a query that was rejected and may be repeated after a delay in milliseconds.
func rejectedStatus(retryDelayMs float64) error {
	return statusWithDetail(codes.Unavailable, "refused: trying again is harmless",
		&errdetails.RetryInfo{RetryDelay: durationpb.New(fromMs(retryDelayMs))})
}

// statusWithDetail returns a status with one detail. If the detail cannot be encoded, it is left out.
func statusWithDetail(code codes.Code, message string, detail protoadapt.MessageV1) error {
	plain := status.New(code, message)
	detailed, err := plain.WithDetails(detail)
	if err != nil {
		return plain.Err()
	}
	return detailed.Err()
}

// sendAnswer sends an answer as one record batch with a row for each part that arrived.
func sendAnswer(stream flight.FlightService_DoGetServer, answer core.Answer) error {
	schema := answerSchema(answer)
	record := newAnswerRecord(answer, schema)
	defer record.Release()
	writer := flight.NewRecordWriter(stream, ipc.WithSchema(schema))
	if err := writer.Write(record); err != nil {
		return fmt.Errorf("flight answer: %w", err)
	}
	return writer.Close()
}

// answerSchema returns the schema of an answer. While shards move it includes the bucket columns and the epoch.
func answerSchema(answer core.Answer) *arrow.Schema {
	keys := []string{schemaKeyComplete}
	values := []string{strconv.FormatBool(answer.Complete)}
	fields := answerFields
	if answer.Epoch > 0 {
		keys = append(keys, schemaKeyEpoch)
		values = append(values, strconv.FormatUint(answer.Epoch, 10))
		fields = slices.Concat(answerFields, bucketFields)
	}
	metadata := arrow.NewMetadata(keys, values)
	return arrow.NewSchema(fields, &metadata)
}

// newAnswerRecord returns the rows of an answer as a record batch, which the caller must release.
func newAnswerRecord(answer core.Answer, schema *arrow.Schema) arrow.RecordBatch {
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for _, value := range answer.Values {
		builder.Field(0).(*array.Int32Builder).Append(int32(value.Shard))
		builder.Field(1).(*array.BinaryBuilder).Append(value.Doc)
		if answer.Epoch > 0 {
			builder.Field(2).(*array.Int32Builder).Append(int32(value.Buckets.Start))
			builder.Field(3).(*array.Int32Builder).Append(int32(value.Buckets.End))
		}
	}
	return builder.NewRecordBatch()
}
