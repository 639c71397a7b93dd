package core

import (
	"cmp"
	"fmt"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// behindRetryAfterMs is the delay for a client retry if the client's shard map is newer than this broker's, or if
// this broker has no map yet. Reading the map takes less time.
const behindRetryAfterMs = 100.0

// routeBufferSize is the number of segments of a part up to which routing needs no allocation.
const routeBufferSize = 8

// StaleEpochError is returned by Core.Submit if the client named an unknown shard because the client's map is too
// old.
type StaleEpochError struct {
	Epoch uint64 // epoch of the map in use
	Err   error  // returned by shardmap.Map.Resolve
}

// Error returns the text that clients receive in response bodies.
func (e *StaleEpochError) Error() string { return fmt.Sprintf("%v: %v", ErrInvalidRequest, e.Err) }

// Unwrap returns ErrInvalidRequest and the error of the shard map.
func (e *StaleEpochError) Unwrap() []error { return []error{ErrInvalidRequest, e.Err} }

// resolveParts finds the buckets of a request's parts, and returns the number of segments into which the map in use
// divides them. It returns 0 if there is no map yet, or if the client names shards of a newer map. This broker is
// then behind, and a client retry is harmless.
func (c *Core) resolveParts(request *Request) (segmentCount int, err error) {
	epoch := c.Epoch()
	behind := request.Epoch > epoch
	if behind {
		c.onNewerMap(request.Epoch)
	}
	if epoch == 0 {
		return 0, nil
	}
	request.clientParts = make([]*clientPart, 0, len(request.Parts))
	var buffer [routeBufferSize]shardmap.Segment
	for i, p := range request.Parts {
		buckets, err := c.shardMap.Resolve(p.Shard)
		if err != nil && behind {
			c.reshardingStats.Behind++
			return 0, nil
		}
		if err != nil {
			c.reshardingStats.Stale++
			return 0, &StaleEpochError{Epoch: epoch, Err: err}
		}
		segments := c.shardMap.Route(buffer[:0], p.Shard, buckets)
		segmentCount += len(segments)
		request.clientParts = append(request.clientParts,
			&clientPart{Part: p, coverage: shardmap.NewCoverage(buckets, segments), number: i + 1})
	}
	return segmentCount, checkDisjoint(request.clientParts)
}

// checkDisjoint returns an error if parts share buckets, which would count twice. Parts may share buckets if the
// client names shards of different epochs.
func checkDisjoint(parts []*clientPart) error {
	ranges := make([]shardmap.Range, 0, len(parts))
	for _, p := range parts {
		ranges = append(ranges, p.coverage.Range)
	}
	slices.SortFunc(ranges, func(x, y shardmap.Range) int { return cmp.Compare(x.Start, y.Start) })
	for i := 1; i < len(ranges); i++ {
		if ranges[i].Start < ranges[i-1].End {
			return fmt.Errorf("%w: districts %v and %v are asked twice", ErrInvalidRequest, ranges[i-1], ranges[i])
		}
	}
	return nil
}
