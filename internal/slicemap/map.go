package slicemap

import (
	"maps"
	"slices"
)

// Map is the map in use, and what is kept of older ones.
type Map struct {
	o       Options
	cur     *Version
	now     map[ShardID]*Shard // of cur, plain: a version's own trie costs four cache misses a look-up
	moving  map[ShardID]*Shard // of now: those that are being moved
	kept    []*Version         // oldest first; the last is cur
	highest ShardID            // of all ids that ever were: new ones are above
	history map[ShardID]Range
	order   []ShardID // of history, oldest first
	groups  map[string]int
	sets    map[int]*set
	free    []int // numbers of groups that are no more, to be used again: the module keeps a row of them
	stats   Stats
}

// New makes a map that holds nothing yet.
func New(o Options) *Map {
	for _, v := range []struct {
		to  *int
		def int
	}{{&o.MaxShards, DefaultMaxShards}, {&o.MaxVersions, DefaultMaxVersions}, {&o.MaxRetired, DefaultMaxRetired}} {
		if *v.to <= 0 {
			*v.to = v.def
		}
	}
	o.MaxVersions = max(o.MaxVersions, 2)
	m := &Map{o: o, highest: -1, now: map[ShardID]*Shard{}, moving: map[ShardID]*Shard{},
		history: map[ShardID]Range{}, groups: map[string]int{},
		sets: map[int]*set{}}
	m.cur = newVersion(0, 0)
	m.kept = []*Version{m.cur}
	return m
}

// Current is the version in use; its epoch is 0 before the first.
func (m *Map) Current() *Version { return m.cur }

// Shard is a slice of the version in use by its id; nil if there is none, or no more.
func (m *Map) Shard(id ShardID) *Shard { return m.now[id] }

// adopt puts a version into use.
func (m *Map) adopt(v *Version) {
	m.cur = v
	m.kept = append(m.kept, v)
	m.sweep()
}

// track notes whether a slice is being moved.
func (m *Map) track(s *Shard) {
	if delete(m.moving, s.ID); s.State != Serving {
		m.moving[s.ID] = s
	}
}

// ShardsInMotion are the slices that are being moved, by id.
func (m *Map) ShardsInMotion() []*Shard {
	out := slices.Collect(maps.Values(m.moving))
	slices.SortFunc(out, func(a, b *Shard) int { return a.ID - b.ID })
	return out
}
