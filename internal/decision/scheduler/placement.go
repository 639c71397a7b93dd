package scheduler

import (
	"cmp"
	"slices"
)

// PlacementChanged reports that the settings' Placement has changed.
func (s *Scheduler) PlacementChanged() { clear(s.replicasByGroup) }

// replicasOf returns the replicas that hold a shard, by number. The result is cached until the placement or the
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

// lookUpReplicas finds the replicas of a placement group by cell and by number.
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

// updateOldestQueued notes since when calls wait at each placement group: what waits at one of its shards says how long a
// part of another one would.
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

// oldestQueuedAtReplicasOf is since when the oldest call waits at the replicas of a shard, as of the beginning of the round; now
// if none does.
func (s *Scheduler) oldestQueuedAtReplicasOf(shard int, now float64) float64 {
	return cmp.Or(s.oldestQueuedAtByGroup[s.settings.Placement.Group(shard)], now)
}

// queueWaitMs is for how long the oldest call waits at the replicas of a part's shard, or of a part that counts with
// it, in ms.
func (s *Scheduler) queueWaitMs(now float64, p *part) float64 {
	longest := 0.0
	for _, companion := range p.groupParts() {
		longest = max(longest, now-s.oldestQueuedAtReplicasOf(companion.Shard, now))
	}
	return longest
}
