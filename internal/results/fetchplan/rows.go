package fetchplan

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

const (
	evenShareFactor = 1.5 // x an even share of the page: what each slice is asked for first
	deviationFactor = 1.0 // x the root of that besides, as the shares of a page scatter like counts
	growthFactor    = 2   // x what was asked before: so many more rows of who has them next
	lateFactor      = 3.0 // x the median time of those that are in: a slice that takes longer is late
	minLateMs       = 5.0 // ms under which none is late, whatever the median
)

// firstRows is how many rows to request first of each of some shards. It suffices for most shards of most pages, and is
// far less than a page of each.
func (p *Plan) firstRows(n int) int {
	if n == 0 || p.options.Limit <= 0 {
		return min(p.options.Limit, 1)
	}
	even := float64(p.options.Limit) / float64(n)
	return p.boundRows(int(math.Ceil(evenShareFactor*even + deviationFactor*math.Sqrt(even))))
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
func (p *Plan) RequestMore(now float64, need []shardmap.Range) (asks []Request) {
	for _, d := range need {
		x := p.find(d)
		if x == nil || x.state != answered || !x.hasMore {
			continue
		}
		// So many more at least that one of them can come after those that were here.
		next := x.received + p.boundRows((growthFactor-1)*max(x.requested, 1))
		x.requested, x.state, x.requestedAt = min(next, x.received+p.options.Limit), inFlight, now
		asks = append(asks, Request{d, x.requested, x.received})
	}
	if len(asks) > 0 {
		p.extraRounds++
	}
	return asks
}
