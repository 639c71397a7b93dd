package flight

import (
	"fmt"
	"time"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
)

// A backend that is not the holder answers FAILED_PRECONDITION with an ErrorInfo of this reason and its epoch under
// this metadata key. Nothing of the part ran.
const (
	reasonNotHolder = "MOVED"
	notHolderEpoch  = "epoch"
)

// backendTicket is the ticket of one part. Its JSON names are those of the backends' wire.
type backendTicket struct {
	ID             string `json:"id"` // request.shard, and .first bucket while shards move
	Shard          int    `json:"shard"`
	RemainingMs    int    `json:"d"` // for which the broker waits, 1 at least
	Query          string `json:"q"`
	IdempotencyKey string `json:"k,omitempty"`

	// While shards move: the epoch by which the part was routed, and its range of buckets as lo and hi.
	Epoch uint64 `json:"e,omitempty"`
	*shardmap.Range
}

// newBackendTicket returns the ticket of an attempt that has this time left.
func newBackendTicket(attempt *core.Attempt, remaining time.Duration) backendTicket {
	ticket := backendTicket{
		ID:             fmt.Sprintf("%s.%d", attempt.Request, attempt.Shard),
		Shard:          attempt.Shard,
		RemainingMs:    max(int(remaining.Milliseconds()), 1),
		Query:          string(attempt.Payload),
		IdempotencyKey: attempt.IdempotencyKey,
	}
	if attempt.Epoch > 0 {
		ticket.ID = fmt.Sprintf("%s.%d", ticket.ID, attempt.Buckets.Start)
		ticket.Epoch = attempt.Epoch
		ticket.Range = &attempt.Buckets
	}
	return ticket
}
