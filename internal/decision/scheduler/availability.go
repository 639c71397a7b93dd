package scheduler

import "math"

// availableAt is when the rules of drains and slow start let a part of a cost go to a replica, by what is known
// now; +Inf if they never do. A replica that is removed or has drained for too long is never available, a warm one
// now, and one that is warming up when it fits into this broker's quota.
func (s *Scheduler) availableAt(now float64, r *replica, cost float64) float64 {
	if r.State == Removed || !r.drain.mayStillBeSent(now, s.settings.DrainGrace) {
		return math.Inf(1)
	}
	if s.slowStart.isWarm(now, r) {
		return now
	}
	if s.slowStart.handedOver {
		return math.Inf(1)
	}
	firstWindowEnd := s.slowStart.startedAt + s.slowStart.settings.Window
	if now < firstWindowEnd {
		return firstWindowEnd
	}
	return s.warmingReplicaAvailableAt(now, r, cost)
}

// isAvailableBy reports whether some replica of a part's shard may be sent the part by a time.
func (s *Scheduler) isAvailableBy(now float64, p *part, by float64) bool {
	for _, r := range s.replicasOf(p.Shard) {
		if s.availableAt(now, r, p.cost) <= by {
			return true
		}
	}
	return false
}
