package flight

import (
	"context"
	"ternstage/internal/contract"

	"github.com/apache/arrow-go/v18/arrow"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// The metadata keys of a query; they mean what the HTTP front's headers of the same names mean.
const (
	keyID          = "x-request-id"
	keyClass       = "x-class"
	keyTenant      = "x-tenant"
	keyRetry       = "x-retry"
	keyIdempotency = "idempotency-key"
)

const (
	maxTicketBytes   = 64 << 10
	maxRequestBytes  = maxTicketBytes + 16<<10
	metadataComplete = "complete" // schema metadata of an answer: "true" or "false"
)

var answerSchema = []arrow.Field{
	{Name: "shard", Type: arrow.PrimitiveTypes.Int32},
	{Name: "doc", Type: arrow.BinaryTypes.Binary},
}

// bucketFields follow where slices move: the districts of a row, hi not included.
var bucketFields = []arrow.Field{
	{Name: "lo", Type: arrow.PrimitiveTypes.Int32},
	{Name: "hi", Type: arrow.PrimitiveTypes.Int32},
}

// envelope reads the metadata of a query.
func envelope(ctx context.Context) (contract.Envelope, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	one := func(key string) string {
		if v := md.Get(key); len(v) > 0 {
			return v[0]
		}
		return ""
	}
	if _, ok := ctx.Deadline(); !ok {
		return contract.Envelope{}, status.Error(codes.InvalidArgument, "the call has no deadline")
	}
	return contract.Envelope{ID: one(keyID), Class: one(keyClass), Tenant: one(keyTenant),
		ClientRetry: one(keyRetry) == "1", IdempotencyKey: one(keyIdempotency)}, nil
}
