package slicemap

// Snapshot is a whole map as a source tells it.
type Snapshot struct {
	Epoch    uint64
	Buckets  int
	Backends []string // all that may hold slices; empty: any
	Shards   []*Shard
	Retired  []RetiredShard // slices that are no more, by which old names are understood; the latest last
}

// Reset takes a whole map, or refuses it and stays as it was. It gives the slices that are in it no more. A
// map of the epoch in use changes nothing.
func (m *Map) Reset(w Snapshot) (retired []ShardID, err error) {
	defer func() {
		if err != nil {
			m.stats.Rejected++
		}
	}()
	if w.Epoch < max(m.cur.Epoch, 1) {
		return nil, fault(-1, ErrEpoch, "%d, at %d", w.Epoch, m.cur.Epoch)
	}
	if w.Epoch == m.cur.Epoch {
		return nil, nil
	}
	if len(w.Shards) > m.o.MaxShards {
		return nil, fault(-1, ErrTooMany, "%d of %d", len(w.Shards), m.o.MaxShards)
	}
	if m.cur.Epoch > 0 && w.Buckets != m.cur.Buckets {
		return nil, fault(-1, ErrRange, "%d districts, %d before: they are never divided", w.Buckets,
			m.cur.Buckets)
	}
	v, err := build(w.Epoch, w.Buckets, w.Shards, knownOf(w.Backends))
	if err != nil {
		return nil, err
	}
	for _, s := range w.Shards {
		if old := m.cur.Shard(s.ID); old != nil && old.Range != s.Range {
			return nil, fault(s.ID, ErrShard, "it was %v and is %v", old.Range, s.Range)
		} else if old == nil && s.ID <= m.highest {
			return nil, fault(s.ID, ErrShard, "the id is not above %d, and is no slice's in use", m.highest)
		}
	}
	for _, r := range w.Retired {
		if r.ID < 0 || v.Shard(r.ID) != nil || r.Start < 0 || r.End <= r.Start || r.End > w.Buckets {
			return nil, fault(r.ID, ErrRange, "retired, with %v", r.Range)
		}
	}
	var gone []*Shard
	m.cur.All(func(s *Shard) bool {
		if v.Shard(s.ID) == nil {
			gone = append(gone, s)
			retired = append(retired, s.ID)
		}
		return true
	})
	was := m.cur
	v.All(func(s *Shard) bool { m.join(s); return true })
	was.All(func(s *Shard) bool { m.leave(s); return true })
	for _, s := range gone {
		m.retire(s.ID, s.Range)
	}
	for _, r := range w.Retired {
		m.retire(r.ID, r.Range)
	}
	m.now = make(map[ShardID]*Shard, len(w.Shards))
	clear(m.moving)
	for _, s := range w.Shards {
		if m.now[s.ID] = s; s.Since == 0 || s.Since > w.Epoch {
			s.Since = w.Epoch
		}
		m.track(s)
		m.highest = max(m.highest, s.ID) // new ids are above all older ones, so the highest is always in use
	}
	m.stats.Snapshots++
	m.adopt(v)
	return retired, nil
}
