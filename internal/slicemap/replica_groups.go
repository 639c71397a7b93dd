package slicemap

import (
	"slices"
	"strings"
)

// set is a set of holders that slices share.
type set struct {
	key   string
	names []string
	used  int // slices
}

// join puts a slice into the group of its executors.
func (m *Map) join(s *Shard) {
	names := slices.Sorted(slices.Values(s.Executors()))
	key := strings.Join(names, "\x00")
	g, ok := m.groups[key]
	if !ok {
		if n := len(m.free); n > 0 {
			g, m.free = m.free[n-1], m.free[:n-1]
		} else {
			g = len(m.sets)
		}
		m.groups[key], m.sets[g] = g, &set{key: key, names: names}
	}
	m.sets[g].used++
	s.group = g
}

func (m *Map) leave(s *Shard) {
	x := m.sets[s.group]
	if x == nil {
		return
	}
	if x.used--; x.used == 0 {
		delete(m.groups, x.key)
		delete(m.sets, s.group)
		m.free = append(m.free, s.group)
	}
}

// Group numbers the set of nodes that may be sent a slice's parts; -1 if there is no such slice. It is part
// of what the decision module asks; so are the methods below.
func (m *Map) Group(id ShardID) int {
	if s := m.now[id]; s != nil {
		return s.group
	}
	return -1
}

// Cells is nil: the holders are told one by one.
func (m *Map) Cells(int) []int { return nil }

// Replicas are the numbers of a group's nodes that are listed.
func (m *Map) Replicas(group int) (out []uint32) {
	x := m.sets[group]
	if x == nil || m.o.ReplicaNumber == nil {
		return nil
	}
	for _, name := range x.names {
		if n, ok := m.o.ReplicaNumber(name); ok {
			out = append(out, n)
		}
	}
	return out
}
