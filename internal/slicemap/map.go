package slicemap

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// The bounds where the operators state none.
const (
	DefaultMaxShards   = 1 << 20 // in one version
	DefaultMaxVersions = 256     // kept for the queries that began on them
	DefaultMaxRetired  = 1 << 16 // retired slices by which an old name is understood
)

// Options are the bounds of a map, and what it must be told.
type Options struct {
	MaxShards, MaxVersions, MaxRetired int
	// ReplicaNumber is a node's number for the decision module; false if the list does not have it.
	ReplicaNumber func(node string) (uint32, bool)
}

// Stats count what has happened to a map.
type Stats struct {
	Epoch     uint64 `json:"epoch"`
	Slices    int    `json:"slices"`
	Districts int    `json:"districts"`
	Groups    int    `json:"groups"`        // sets of holders
	Moving    int    `json:"moving"`        // slices that are being moved
	Kept      int    `json:"versions_kept"` // the version in use and those that queries began on
	KeptMost  int    `json:"versions_kept_max"`
	LetGo     uint64 `json:"versions_let_go"` // at the bound: their queries live on without
	Changes   uint64 `json:"changes"`
	Wholes    uint64 `json:"whole_maps"`
	Refused   uint64 `json:"refused"` // maps and changes with a fault
	History   int    `json:"history"`
	Forgotten uint64 `json:"forgotten"` // retired slices beyond the bound
	Moved     uint64 `json:"moved"`     // answers that a node does not hold the districts
	NodeLate  uint64 `json:"moved_node_late"`
	MapLate   uint64 `json:"moved_map_late"`
	Disagree  uint64 `json:"moved_same_epoch"`
}

// set is a set of holders that slices share.
type set struct {
	key   string
	names []string
	used  int // slices
}

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

// Snapshot is a whole map as a source tells it.
type Snapshot struct {
	Epoch    uint64
	Buckets  int
	Backends []string // all that may hold slices; empty: any
	Shards   []*Shard
	Retired  []RetiredShard // slices that are no more, by which old names are understood; the latest last
}

// RetiredShard is a slice that is no more.
type RetiredShard struct {
	ID ShardID
	Range
}

// Reset takes a whole map, or refuses it and stays as it was. It gives the slices that are in it no more. A
// map of the epoch in use changes nothing.
func (m *Map) Reset(w Snapshot) (retired []ShardID, err error) {
	defer func() {
		if err != nil {
			m.stats.Refused++
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
	m.stats.Wholes++
	m.adopt(v)
	return retired, nil
}

func knownOf(nodes []string) func(string) bool {
	if len(nodes) == 0 {
		return nil
	}
	set := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		set[n] = true
	}
	return func(n string) bool { return set[n] }
}

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
			m.stats.Refused++
			return nil, fmt.Errorf("change %d, %v: %w", i, c.Kind, err)
		}
		for _, id := range c.Into {
			highest = max(highest, id)
		}
		e.used = func(id ShardID) bool { return id <= highest }
		if did++; e.Len() > m.o.MaxShards {
			m.stats.Refused++
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
		m.stats.Forgotten++
	}
}

// adopt puts a version into use.
func (m *Map) adopt(v *Version) {
	m.cur = v
	m.kept = append(m.kept, v)
	m.sweep()
}

// sweep frees versions that no query is bound to. At the bound the oldest is let go though queries began on
// it: they carry their own districts and weights, and lose only their place in the count of versions.
func (m *Map) sweep() {
	m.kept = slices.DeleteFunc(m.kept, func(v *Version) bool { return v != m.cur && v.refs <= 0 })
	for len(m.kept) > m.o.MaxVersions {
		m.kept[0].refs = -1 << 30
		m.kept = m.kept[1:]
		m.stats.LetGo++
	}
	m.stats.KeptMost = max(m.stats.KeptMost, len(m.kept))
}

// Acquire binds a query to the version in use; End must follow.
func (m *Map) Acquire() *Version {
	m.cur.refs++
	return m.cur
}

// Release frees a query's hold on its version; the last one frees the version.
func (m *Map) Release(v *Version) {
	if v.refs--; v.refs == 0 && v != m.cur {
		m.sweep()
	}
}

// ErrStale is wrapped where a slice that a client named cannot be understood.
var ErrStale = fmt.Errorf("%w, or retired too long ago", ErrShard)

// Resolve gives the districts of a slice that a client named, at whatever epoch that was: ids are never used
// again, so what is retired is translated by what is kept of it.
func (m *Map) Resolve(id ShardID) (Range, error) {
	if s := m.now[id]; s != nil {
		return s.Range, nil
	}
	if r, ok := m.history[id]; ok {
		return r, nil
	}
	return Range{}, fmt.Errorf("slice %d at epoch %d: %w", id, m.cur.Epoch, ErrStale)
}

// Route is Version.Route for the version in use, and quicker.
func (m *Map) Route(legs []Segment, id ShardID, r Range) []Segment {
	if s := m.now[id]; s != nil && s.Contains(r) {
		return append(legs, Segment{id, r})
	}
	return m.cur.Route(legs, id, r)
}

// Shard is a slice of the version in use by its id; nil if there is none, or no more.
func (m *Map) Shard(id ShardID) *Shard { return m.now[id] }

// Retired are the slices that are no more and are still understood, the latest last, most at most.
func (m *Map) Retired(most int) []RetiredShard {
	from := max(0, len(m.order)-most)
	out := make([]RetiredShard, 0, len(m.order)-from)
	for _, id := range m.order[from:] {
		out = append(out, RetiredShard{id, m.history[id]})
	}
	return out
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

// DroppedVersions is how many versions were let go at the bound.
func (m *Map) DroppedVersions() uint64 { return m.stats.LetGo }

// Stats counts.
func (m *Map) Stats() Stats {
	s := m.stats
	s.Epoch, s.Slices, s.Districts, s.Groups = m.cur.Epoch, m.cur.Len(), m.cur.Buckets, len(m.sets)
	s.Kept, s.History = len(m.kept), len(m.history)
	s.Moving = len(m.moving)
	return s
}

// track notes whether a slice is being moved.
func (m *Map) track(s *Shard) {
	if delete(m.moving, s.ID); s.State != Serving {
		m.moving[s.ID] = s
	}
}

// Moving are the slices that are being moved, by id.
func (m *Map) Moving() []*Shard {
	out := slices.Collect(maps.Values(m.moving))
	slices.SortFunc(out, func(a, b *Shard) int { return a.ID - b.ID })
	return out
}
