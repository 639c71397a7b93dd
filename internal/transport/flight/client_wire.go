package flight

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"ternstage/internal/contract"
)

// The metadata keys of a query; they mean what the HTTP front's header fields of the same names mean.
const (
	keyRequestID   = "x-request-id"
	keyClass       = "x-class"
	keyTenant      = "x-tenant"
	keyClientRetry = "x-retry" // "1" for a client retry
	keyIdempotency = "idempotency-key"
)

// The keys of an answer's schema metadata.
const (
	answerComplete = "complete" // "true" or "false"
	answerEpoch    = "epoch"    // of the shard map; only while shards move
)

// The ErrorInfo of a query that names shards by too old an epoch.
const (
	errorDomain     = "ternstage"
	errorStaleEpoch = "STALE_SLICE"
	errorEpochInUse = "epoch" // metadata key
)

const (
	// maxTicketBytes is the maximum size of a ticket, which is that of a query's body.
	maxTicketBytes = 64 << 10
	// maxMessageBytes is the maximum size of a message: a ticket and what Flight adds to it.
	maxMessageBytes = maxTicketBytes + 16<<10
	// maxMetadataBytes is the maximum size of a call's metadata.
	maxMetadataBytes = 16 << 10
)

// answerFields are the columns of an answer, which has one row for each part that arrived.
var answerFields = []arrow.Field{
	{Name: "shard", Type: arrow.PrimitiveTypes.Int32},
	{Name: "doc", Type: arrow.BinaryTypes.Binary},
}

// bucketFields follow while shards move: the range of buckets of a row, hi not included.
var bucketFields = []arrow.Field{
	{Name: "lo", Type: arrow.PrimitiveTypes.Int32},
	{Name: "hi", Type: arrow.PrimitiveTypes.Int32},
}

// envelope reads the metadata of a query. A call without a deadline is an error with the code InvalidArgument.
func envelope(ctx context.Context) (contract.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		return contract.Envelope{}, status.Error(codes.InvalidArgument, "the call has no deadline")
	}
	incoming, _ := metadata.FromIncomingContext(ctx)
	return contract.Envelope{
		ID:             firstValue(incoming, keyRequestID),
		Class:          firstValue(incoming, keyClass),
		Tenant:         firstValue(incoming, keyTenant),
		ClientRetry:    firstValue(incoming, keyClientRetry) == "1",
		IdempotencyKey: firstValue(incoming, keyIdempotency),
	}, nil
}

// firstValue returns the first value of a metadata key, "" without one.
func firstValue(incoming metadata.MD, key string) string {
	values := incoming.Get(key)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}
