package core

import (
	"errors"
	"fmt"
	"math"

	"ternstage/internal/decision/scheduler"
)

// ErrInvalidRequest is wrapped by what Take says of a request that breaks its contract.
var ErrInvalidRequest = errors.New("the request breaks its contract")

// Submit takes a request. An error means that it was not taken: the front answers it.
func (c *Core) Submit(r *Request) error {
	sum, seen := 0.0, make(map[int]bool, len(r.Parts))
	for _, p := range r.Parts {
		// A shard asked twice would give one part id two meanings at the node.
		if p.Shard < 0 || c.shardMap == nil && p.Shard >= c.shards || seen[p.Shard] {
			return fmt.Errorf("%w: shard %d is unknown or asked twice", ErrInvalidRequest, p.Shard)
		}
		if !(p.Weight > 0) || p.Weight > 1.001 {
			return fmt.Errorf("%w: weight of shard %d", ErrInvalidRequest, p.Shard)
		}
		seen[p.Shard] = true
		sum += p.Weight
	}
	if len(r.Parts) == 0 || math.Abs(sum-1) > 0.01 {
		return fmt.Errorf("%w: %d parts, weights that sum to %.3f", ErrInvalidRequest, len(r.Parts), sum)
	}
	// The name is the parts' name at the nodes: guards against one client's answer going to another, and a part
	// that must not run twice against a client that comes again while it is out.
	if c.requestIDs[r.ID] {
		return fmt.Errorf("%w: request id %q is in use", ErrInvalidRequest, r.ID)
	}
	now, count := c.clock.Now(), len(r.Parts)
	if c.shardMap != nil {
		var err error
		if count, err = c.resolve(r); err != nil {
			return err
		}
	}
	r.Deadline = min(r.Deadline, c.finalAnswerBy)
	c.counts.Submitted++
	// The stated limit of queries and parts held: beyond it the module does not see the query. No more does it
	// before the first map.
	if c.maxOpen > 0 && c.openCount+1+count > c.maxOpen || count == 0 {
		after := c.maxRetryAfter
		if count == 0 {
			after = min(after, behindRetryAfterMs)
		}
		c.deliver(r, Answer{Kind: Rejected, RetryAfter: after})
		return nil
	}
	c.nextID++
	r.queryID, r.nonIdempotent = c.nextID, c.classes[r.Class].Idempotency == scheduler.NonIdempotent
	group := int(r.queryID)
	c.requests[r.queryID], c.requestIDs[r.ID] = r, true
	c.openCount += 1 + count
	c.scheduler.QueryArrived(now, scheduler.Query{ID: r.queryID, QueryGroup: group, Class: r.Class, Tenant: r.Tenant,
		Deadline: r.Deadline, ClientRetry: r.ClientRetry})
	if c.shardMap != nil {
		c.beginSegments(now, r)
		return nil
	}
	for _, p := range r.Parts {
		c.nextID++
		x := &partState{Part: p, id: c.nextID, request: r}
		r.parts, c.parts[x.id] = append(r.parts, x), x
		c.scheduler.PartArrived(now, scheduler.Part{ID: x.id, QueryGroup: group, Shard: p.Shard, Key: p.Key,
			Weight: p.Weight, CostHint: p.CostHint, HasCostHint: p.HasCostHint})
	}
	return nil
}
