package fetchplan

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

const (
	// evenShareFactor and deviationFactor give the rows of first requests: multiples of an even share of the page, and
	// of its square root, the standard deviation of a count with that mean.
	evenShareFactor = 1.5
	deviationFactor = 1.0

	// growthFactor is by what a request exceeds the one before.
	growthFactor = 2
)

// firstRequestRows is how many rows to request first of each of some shards. It suffices for most shards of most pages, and is
// far less than a page of each.
func (p *Plan) firstRequestRows(shards int) int {
	if shards == 0 || p.options.Limit <= 0 {
		return min(p.options.Limit, 1)
	}
	evenShare := float64(p.options.Limit) / float64(shards)
	return p.boundRows(int(math.Ceil(evenShareFactor*evenShare + deviationFactor*math.Sqrt(evenShare))))
}

// boundRows bounds additional rows of a request: at least 1, at most a page and MaxRowsPerRequest.
func (p *Plan) boundRows(rows int) int {
	rows = min(rows, p.options.Limit)
	if p.options.MaxRowsPerRequest > 0 {
		rows = min(rows, p.options.MaxRowsPerRequest)
	}
	return max(rows, 1)
}

// RequestMore returns requests for more rows of the shards that the merge needs more of. No other shard can add to the
// page.
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
