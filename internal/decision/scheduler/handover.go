package scheduler

import "math"

// WarmupSend is work that one process of an aggregator sent to a cold replica within the window of its allowance.
type WarmupSend struct {
	Replica uint32  `json:"replica"`
	AgeMs   float64 `json:"ago_ms"`  // before the hand-over, in ms
	WorkMs  float64 `json:"work_ms"` // in ms of work
}

// HandOver ends what this process sends to cold replicas and gives what it sent to them in the window of
// their allowance, for the process that takes over the same aggregator. What is out stays out; warm
// replicas are used as before.
func (b *Scheduler) HandOver(now float64) []WarmupSend {
	b.handed = true
	var out []WarmupSend
	for id, r := range b.replicas {
		for _, w := range r.cold {
			if w.at >= now-b.s.SlowStartWindow {
				out = append(out, WarmupSend{Replica: id, AgeMs: now - w.at, WorkMs: w.v})
			}
		}
	}
	return out
}

// OtherProcessActive tells that another process of the same aggregator serves beside this one, which has not handed over:
// what it sends to cold replicas is not known here and counts all the same, so that none is used until it has
// handed over, or a window after it was last told of.
func (b *Scheduler) OtherProcessActive(now float64) { b.born = now }

// TakeOver counts what the process that hands over sent to cold replicas, ago ms before now, as sent by
// this one, and ends the wait of the first window after a start: that process sends them nothing more.
// Replicas that this process does not know are not waited for either; what was sent to them is dropped.
func (b *Scheduler) TakeOver(now float64, sent []WarmupSend) {
	for _, s := range sent {
		if r := b.replicas[s.Replica]; r != nil && s.AgeMs >= 0 && s.AgeMs <= b.s.SlowStartWindow && s.WorkMs >= 0 {
			r.cold = append(r.cold, stamp{now - s.AgeMs, s.WorkMs})
		}
	}
	b.born = math.Inf(-1)
}
