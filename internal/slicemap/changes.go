package slicemap

import "fmt"

// Apply takes changes in their order, all or none. Those up to the epoch in use are passed over: news that
// comes twice is no fault. nodes are what may hold slices; empty: any. It gives the slices that are in the
// map no more.
func (m *Map) Apply(changes []Change, nodes []string) (retired []ShardID, err error) {
	e := edit{known: knownOf(nodes), used: func(id ShardID) bool { return id <= m.highest }}
	copied := *m.cur
	copied.refs = 0
	e.Version = &copied
	highest, did := m.highest, 0
	for i, c := range changes {
		if c.Epoch <= m.cur.Epoch {
			continue
		}
		if err := e.apply(c); err != nil {
			m.stats.Rejected++
			return nil, fmt.Errorf("change %d, %v: %w", i, c.Kind, err)
		}
		for _, id := range c.Into {
			highest = max(highest, id)
		}
		e.used = func(id ShardID) bool { return id <= highest }
		if did++; e.Len() > m.o.MaxShards {
			m.stats.Rejected++
			return nil, fault(-1, ErrTooMany, "%d of %d", e.Len(), m.o.MaxShards)
		}
	}
	if did == 0 {
		return nil, nil
	}
	was, left := m.cur, map[ShardID]bool{}
	for _, s := range e.changed {
		if e.Version.Shard(s.ID) == s { // a later change may have replaced it
			m.join(s)
			m.now[s.ID] = s
			m.track(s)
		}
	}
	leave := func(id ShardID) {
		if old := was.Shard(id); old != nil && !left[id] {
			left[id] = true
			m.leave(old)
		}
	}
	for _, s := range e.changed {
		leave(s.ID)
	}
	for _, s := range e.retired {
		leave(s.ID)
		delete(m.now, s.ID)
		delete(m.moving, s.ID)
		m.retire(s.ID, s.Range)
		retired = append(retired, s.ID)
	}
	m.highest = highest
	m.stats.Changes += uint64(did)
	m.adopt(e.Version)
	return retired, nil
}
