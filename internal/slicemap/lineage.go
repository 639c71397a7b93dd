package slicemap

// RetiredShard is a slice that is no more.
type RetiredShard struct {
	ID ShardID
	Range
}

// retire remembers the districts of a slice, so that who still names it is understood.
func (m *Map) retire(id ShardID, r Range) {
	if _, ok := m.history[id]; ok {
		return
	}
	m.history[id] = r
	m.order = append(m.order, id)
	for len(m.order) > m.o.MaxRetired {
		delete(m.history, m.order[0])
		m.order = m.order[1:]
		m.stats.ForgottenShards++
	}
}

// Retired are the slices that are no more and are still understood, the latest last, most at most.
func (m *Map) Retired(most int) []RetiredShard {
	from := max(0, len(m.order)-most)
	out := make([]RetiredShard, 0, len(m.order)-from)
	for _, id := range m.order[from:] {
		out = append(out, RetiredShard{id, m.history[id]})
	}
	return out
}
