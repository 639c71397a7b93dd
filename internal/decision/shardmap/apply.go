package shardmap

import "fmt"

// Apply applies changes in order, all or none. Changes up to the epoch in use are skipped, as a source may deliver
// them twice. backends are the ids that may hold shards; none allows any. It returns the ids of the shards that were
// retired, in the order of their retirement. The error of a change that cannot be applied wraps a *ValidationError.
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
			return nil, invalid(noShard, ErrTooMany, "%d of %d", e.version.Len(), m.options.MaxShards)
		}
	}
	if applied == 0 {
		return nil, nil
	}
	retired := m.commit(e)
	m.stats.Changes += uint64(applied)
	return retired, nil
}

// commit puts the version of an edit into use.
func (m *Map) commit(e *edit) []ShardID {
	previous := m.current
	for _, shard := range e.changed {
		if e.version.Shard(shard.ID) == shard { // else a later change of the batch has replaced it
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

// leaveGroup takes a shard of the previous version out of its group, once. It does nothing for nil: the shard was
// made by the batch itself.
func (m *Map) leaveGroup(shard *Shard, departed map[ShardID]bool) {
	if shard == nil || departed[shard.ID] {
		return
	}
	departed[shard.ID] = true
	m.groups.leave(shard)
}
