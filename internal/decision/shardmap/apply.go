package shardmap

import "fmt"

// Apply applies all changes in order, or none if one of them is invalid. It skips changes up to the epoch in use, as
// a source may deliver a change twice. backends are the ids that may hold shards; an empty list allows any. Apply
// returns the ids of the retired shards, in the order of their retirement. The error for an invalid change wraps a
// *ValidationError.
func (m *Map) Apply(changes []Change, backends []string) ([]ShardID, error) {
	e := newEdit(m.current, m.highestID, newBackendSet(backends))
	applied := 0
	for i, change := range changes {
		if change.Epoch <= m.current.Epoch {
			continue
		}
		if err := e.apply(change); err != nil {
			m.stats.Rejected++
			return nil, fmt.Errorf("change %d, %v: %w", i, change.Kind, err)
		}
		applied++
		if e.version.Len() > m.options.MaxShards {
			m.stats.Rejected++
			return nil, invalid(noShard, ErrTooMany, "%d shards, at most %d", e.version.Len(), m.options.MaxShards)
		}
	}
	if applied == 0 {
		return nil, nil
	}
	retired := m.commit(e)
	m.stats.Changes += uint64(applied)
	return retired, nil
}

// commit puts the version that an edit has built into use. It returns the ids of the retired shards.
func (m *Map) commit(e *edit) []ShardID {
	previous := m.current
	for _, shard := range e.changed {
		if e.version.Shard(shard.ID) == shard { // skip a shard that a later change of the batch replaced
			m.groups.join(shard)
			m.put(shard)
		}
	}
	departed := make(map[ShardID]bool, len(e.changed)+len(e.retired))
	for _, shard := range e.changed {
		m.leaveGroup(previous.Shard(shard.ID), departed)
	}
	var retired []ShardID
	for _, shard := range e.retired {
		m.leaveGroup(previous.Shard(shard.ID), departed)
		m.remove(shard)
		retired = append(retired, shard.ID)
	}
	m.highestID = e.highestID
	m.adopt(e.version)
	return retired
}

// leaveGroup removes a shard of the previous version from its group, at most once. It does nothing if shard is nil:
// then the batch itself created the shard, and the previous version does not have it.
func (m *Map) leaveGroup(shard *Shard, departed map[ShardID]bool) {
	if shard == nil || departed[shard.ID] {
		return
	}
	departed[shard.ID] = true
	m.groups.leave(shard)
}
