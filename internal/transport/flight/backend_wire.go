package flight

import (
	"fmt"
	"time"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
)

// A backend that does not hold the shard answers FAILED_PRECONDITION with an ErrorInfo. The ErrorInfo has this reason
// and, under this metadata key, the epoch of the backend's shard map. The part has not run.
const (
	reasonNotHolder   = "MOVED"
	notHolderEpochKey = "epoch"
)

// backendTicket is the ticket of one attempt, encoded as JSON.
type backendTicket struct {
	ID             string `json:"id"` // request.shard, or request.shard.bucket with the first bucket while shards move
	Shard          int    `json:"shard"`
	RemainingMs    int    `json:"d"` // how long the broker waits for the answer; at least 1
	Query          string `json:"q"`
	IdempotencyKey string `json:"k,omitempty"`

	// Only while shards move: the epoch of the shard map that routed the part, and the part's range of buckets as lo and
	// hi.
	Epoch uint64 `json:"e,omitempty"`
	*shardmap.Range
}

// newBackendTicket returns the ticket of an attempt. remaining is the time until its deadline.
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
