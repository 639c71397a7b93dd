package flight

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"ternstage/internal/contract"
)

// The metadata keys of a query. They mean the same as the header fields of the HTTP front with the same names.
const (
	keyRequestID   = "x-request-id"
	keyClass       = "x-class"
	keyTenant      = "x-tenant"
	keyClientRetry = "x-retry" // "1" for a client retry
	keyIdempotency = "idempotency-key"
)

// The keys of an answer's schema metadata.
const (
	schemaKeyComplete = "complete" // "true" or "false"
	schemaKeyEpoch    = "epoch"    // of the shard map; only while shards move
)

// The contents of the ErrorInfo for a query whose epoch is stale.
const (
	errorDomain      = "ternstage"
	reasonStaleEpoch = "STALE_SLICE"
	staleEpochKey    = "epoch" // metadata key of the epoch in use
)

const (
	// maxTicketBytes is the maximum size in bytes of a ticket. It equals that of a query's body over HTTP.
	maxTicketBytes = 64 << 10
	// maxMessageBytes is the maximum size in bytes of a message: a ticket and the data that Flight adds to it.
	maxMessageBytes = maxTicketBytes + 16<<10
	// streamWindowBytes is the size in bytes of the window for flow control of a call, the smallest that gRPC supports.
	streamWindowBytes = 64 << 10
	// maxMetadataBytes is the maximum size in bytes of a call's metadata.
	maxMetadataBytes = 16 << 10
)

// answerFields are the columns of an answer. It has one row for each part that has arrived.
var answerFields = []arrow.Field{
	{Name: "shard", Type: arrow.PrimitiveTypes.Int32},
	{Name: "doc", Type: arrow.BinaryTypes.Binary},
}

// bucketFields are the additional columns while shards move: the range of buckets of a row, from lo up to but not
// including hi.
var bucketFields = []arrow.Field{
	{Name: "lo", Type: arrow.PrimitiveTypes.Int32},
	{Name: "hi", Type: arrow.PrimitiveTypes.Int32},
}

// parseEnvelope reads the envelope of a query from the call's metadata. If the call has no deadline, it returns a
// status error with the code InvalidArgument.
func parseEnvelope(ctx context.Context) (contract.Envelope, error) {
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

// firstValue returns the first value of a metadata key, or "" if there is none.
func firstValue(incoming metadata.MD, key string) string {
	values := incoming.Get(key)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}
