package scheduler

import "math"

// availableAt returns the earliest time at which the drain and slow-start rules allow a part of the given cost to go
// to a replica, as far as is known now. It returns +Inf for a replica that is removed or whose drain grace has
// passed, and now for a warm one. A replica that is warming up is available once the part fits into this broker's
// quota of its slow-start allowance.
func (s *Scheduler) availableAt(now float64, r *replica, cost float64) float64 {
	if r.State == Removed || !r.drain.allowsAttempts(now, s.settings.DrainGrace) {
		return math.Inf(1)
	}
	if s.slowStart.isWarm(now, r) {
		return now
	}
	if s.slowStart.handedOver {
		return math.Inf(1)
	}
	firstWindowEnd := s.slowStart.sentWorkKnownSince + s.slowStart.settings.Window
	if now < firstWindowEnd {
		return firstWindowEnd
	}
	return s.warmingReplicaAvailableAt(now, r, cost)
}

// isAvailableBy reports whether any replica of a part's shard may receive the part by the given time.
func (s *Scheduler) isAvailableBy(now float64, p *part, by float64) bool {
	for _, r := range s.replicasOf(p.Shard) {
		if s.availableAt(now, r, p.cost) <= by {
			return true
		}
	}
	return false
}
