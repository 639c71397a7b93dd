package balance

import "math"

// Sent is work that one process of an aggregator sent to a cold replica within the window of its allowance.
type Sent struct {
	Replica uint32  `json:"replica"`
	Ago     float64 `json:"ago_ms"`  // before the hand-over, in ms
	Work    float64 `json:"work_ms"` // in ms of work
}

// HandOver ends what this process sends to cold replicas and gives what it sent to them in the window of
// their allowance, for the process that takes over the same aggregator. What is out stays out; warm
// replicas are used as before.
func (b *Balancer) HandOver(now float64) []Sent {
	b.handed = true
	var out []Sent
	for id, r := range b.replicas {
		for _, w := range r.cold {
			if w.at >= now-b.s.FallFor {
				out = append(out, Sent{Replica: id, Ago: now - w.at, Work: w.v})
			}
		}
	}
	return out
}

// Shares tells that another process of the same aggregator serves beside this one, which has not handed over:
// what it sends to cold replicas is not known here and counts all the same, so that none is used until it has
// handed over, or a window after it was last told of.
func (b *Balancer) Shares(now float64) { b.born = now }

// TakeOver counts what the process that hands over sent to cold replicas, ago ms before now, as sent by
// this one, and ends the wait of the first window after a start: that process sends them nothing more.
// Replicas that this process does not know are not waited for either; what was sent to them is dropped.
func (b *Balancer) TakeOver(now float64, sent []Sent) {
	for _, s := range sent {
		if r := b.replicas[s.Replica]; r != nil && s.Ago >= 0 && s.Ago <= b.s.FallFor && s.Work >= 0 {
			r.cold = append(r.cold, stamp{now - s.Ago, s.Work})
		}
	}
	b.born = math.Inf(-1)
}
