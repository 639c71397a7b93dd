package core

import (
	"errors"
	"fmt"
	"math"

	"ternstage/internal/decision/scheduler"
)

// ErrInvalidRequest is wrapped by the errors of Submit for a request that violates the contract with clients. The
// error texts go to clients in response bodies.
var ErrInvalidRequest = errors.New("the request breaks its contract")

const (
	// maxPartWeight and weightSumTolerance allow for rounding of weights by clients.
	maxPartWeight      = 1.001
	weightSumTolerance = 0.01
)

// Submit accepts a request. It delivers a Rejected answer at once if the request would exceed Options.MaxOpen, if
// there is no shard map yet, or if the client names a shard of a newer map. An error, which wraps ErrInvalidRequest
// and may be a StaleEpochError, means that the request was not accepted: the front answers the client itself.
func (c *Core) Submit(request *Request) error {
	if err := c.checkParts(request.Parts); err != nil {
		return err
	}
	// Backends identify parts by the request's id. Two open requests with the same id could mix up the answers of two
	// clients, and could run a non-idempotent part twice for a client that retries.
	if c.openRequestIDs[request.ID] {
		return fmt.Errorf("%w: request id %q is in use", ErrInvalidRequest, request.ID)
	}
	now := c.clock.Now()
	partCount := len(request.Parts)
	if c.shardMap != nil {
		segmentCount, err := c.resolveParts(request)
		if err != nil {
			return err
		}
		partCount = segmentCount
	}
	request.Deadline = min(request.Deadline, c.finalAnswerBy)
	c.counts.Submitted++
	switch {
	case partCount == 0:
		c.deliverAnswer(request, Answer{Kind: Rejected, RetryAfter: min(c.maxRetryAfterMs, behindRetryAfterMs)})
	case c.maxOpen > 0 && c.openCount+1+partCount > c.maxOpen:
		c.deliverAnswer(request, Answer{Kind: Rejected, RetryAfter: c.maxRetryAfterMs})
	default:
		c.admit(now, request, partCount)
	}
	return nil
}

// checkParts checks what the scheduler and the backends rely on: each part names a known shard of its own, and the
// weights are above 0 and add up to 1.
func (c *Core) checkParts(parts []Part) error {
	sum := 0.0
	seen := make(map[int]bool, len(parts))
	for _, p := range parts {
		// A shard that is named twice would give two parts the same id at its backend. Under resharding, resolveParts
		// checks whether the shards are known.
		unknown := p.Shard < 0 || c.shardMap == nil && p.Shard >= c.shardCount
		if unknown || seen[p.Shard] {
			return fmt.Errorf("%w: shard %d is unknown or asked twice", ErrInvalidRequest, p.Shard)
		}
		if !(p.Weight > 0) || p.Weight > maxPartWeight { // also true for a NaN
			return fmt.Errorf("%w: weight of shard %d", ErrInvalidRequest, p.Shard)
		}
		seen[p.Shard] = true
		sum += p.Weight
	}
	if len(parts) == 0 || math.Abs(sum-1) > weightSumTolerance {
		return fmt.Errorf("%w: %d parts, weights that sum to %.3f", ErrInvalidRequest, len(parts), sum)
	}
	return nil
}

// admit passes a request and its parts to the scheduler. partCount is the number of parts to dispatch.
func (c *Core) admit(now float64, request *Request, partCount int) {
	c.lastID++
	request.queryID = c.lastID
	request.nonIdempotent = c.classes[request.Class].Idempotency == scheduler.NonIdempotent
	c.openRequests[request.queryID] = request
	c.openRequestIDs[request.ID] = true
	c.openCount += 1 + partCount
	c.scheduler.QueryArrived(now, scheduler.Query{
		ID:          request.queryID,
		QueryGroup:  int(request.queryID),
		Class:       request.Class,
		Tenant:      request.Tenant,
		Deadline:    request.Deadline,
		ClientRetry: request.ClientRetry,
	})
	if c.shardMap != nil {
		c.admitSegments(now, request)
		return
	}
	for _, p := range request.Parts {
		c.lastID++
		part := &partState{Part: p, id: c.lastID, request: request}
		request.parts = append(request.parts, part)
		c.parts[part.id] = part
		c.scheduler.PartArrived(now, part.schedulerPart())
	}
}
