package fetchplan

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

const (
	// The first request to a shard asks for evenShareFactor times an even share of the page, plus deviationFactor times
	// the square root of that share. The root is the standard deviation of a count with that mean.
	evenShareFactor = 1.5
	deviationFactor = 1.0

	// growthFactor is the ratio of the rows of a request to those of the previous one, before limits.
	growthFactor = 2
)

// firstRequestRows returns how many rows to request first of each shard. That is enough for most shards of most
// pages, and far less than a page from each.
func (p *Plan) firstRequestRows(shards int) int {
	if shards == 0 || p.options.Limit <= 0 {
		return min(p.options.Limit, 1)
	}
	evenShare := float64(p.options.Limit) / float64(shards)
	return p.boundRows(int(math.Ceil(evenShareFactor*evenShare + deviationFactor*math.Sqrt(evenShare))))
}

// boundRows limits the additional rows of a request: to at least 1, at most a page, and at most MaxRowsPerRequest if
// that is set.
func (p *Plan) boundRows(rows int) int {
	rows = min(rows, p.options.Limit)
	if p.options.MaxRowsPerRequest > 0 {
		rows = min(rows, p.options.MaxRowsPerRequest)
	}
	return max(rows, 1)
}

// RequestMore returns requests for more rows of the given shards, those that the merge listed in NeedMore. Other
// shards cannot add rows to the page.
func (p *Plan) RequestMore(nowMs float64, shards []shardmap.Range) []Request {
	var requests []Request
	for _, buckets := range shards {
		part := p.findPart(buckets)
		if part == nil || part.state != answered || !part.hasMore {
			continue
		}
		additional := p.boundRows((growthFactor - 1) * max(part.requested, 1))
		part.requested = part.received + min(additional, p.options.Limit)
		part.state = inFlight
		part.requestedAtMs = nowMs
		requests = append(requests, Request{Buckets: buckets, Rows: part.requested, Received: part.received})
	}
	if len(requests) > 0 {
		p.extraRounds++
	}
	return requests
}
