package scheduler

import (
	"cmp"
	"slices"
)

// PlacementChanged reports that the settings' Placement has changed.
func (s *Scheduler) PlacementChanged() { clear(s.replicasByGroup) }

// replicasOf returns the replicas of a shard, sorted by number. The result is cached until the placement or the
// endpoint list changes.
func (s *Scheduler) replicasOf(shard int) []*replica {
	group := s.settings.Placement.Group(shard)
	if group < 0 {
		return nil
	}
	if group < len(s.replicasByGroup) && s.replicasByGroup[group] != nil {
		return s.replicasByGroup[group]
	}
	replicas := s.lookUpReplicas(group)
	if missing := group + 1 - len(s.replicasByGroup); missing > 0 {
		s.replicasByGroup = append(s.replicasByGroup, make([][]*replica, missing)...)
	}
	s.replicasByGroup[group] = replicas
	return replicas
}

// lookUpReplicas returns the replicas of a placement group, which the placement names by cell or by replica number.
func (s *Scheduler) lookUpReplicas(group int) []*replica {
	replicas := []*replica{}
	for _, cell := range s.settings.Placement.Cells(group) {
		replicas = append(replicas, s.replicas.byCell[cell]...)
	}
	for _, id := range s.settings.Placement.Replicas(group) {
		if r := s.replicas.byID[id]; r != nil && r.State != Removed {
			replicas = append(replicas, r)
		}
	}
	slices.SortFunc(replicas, func(x, y *replica) int { return cmp.Compare(x.Replica, y.Replica) })
	return replicas
}

// updateOldestQueued updates when the oldest waiting call of each placement group was queued. The shards of a group
// share their replicas, so a call that waits at one shard shows how long a part of another would wait.
func (s *Scheduler) updateOldestQueued(now float64) {
	clear(s.oldestQueuedAtByGroup)
	for _, queues := range s.queues.active {
		if queues.oldestQueuedAt >= now {
			continue
		}
		group := s.settings.Placement.Group(queues.shard)
		known := cmp.Or(s.oldestQueuedAtByGroup[group], queues.oldestQueuedAt)
		s.oldestQueuedAtByGroup[group] = min(queues.oldestQueuedAt, known)
	}
}

// oldestQueuedAtReplicasOf returns when the oldest call that waits at the replicas of a shard was queued, as of the
// beginning of the round. It returns now if no call waits.
func (s *Scheduler) oldestQueuedAtReplicasOf(shard int, now float64) float64 {
	return cmp.Or(s.oldestQueuedAtByGroup[s.settings.Placement.Group(shard)], now)
}

// queueWaitMs returns how long the oldest call has waited at the replicas of a part or of any part of its atomic
// group, in ms.
func (s *Scheduler) queueWaitMs(now float64, p *part) float64 {
	longest := 0.0
	for _, member := range p.groupParts() {
		longest = max(longest, now-s.oldestQueuedAtReplicasOf(member.Shard, now))
	}
	return longest
}
