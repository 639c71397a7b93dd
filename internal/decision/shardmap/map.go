package shardmap

import (
	"maps"
	"slices"
)

// Map is the shard map in use, with the older versions that queries are still on. It changes only by Reset and Apply,
// which are atomic: a rejected snapshot or batch of changes leaves it as it was.
type Map struct {
	options Options
	current *Version
	// shards are those of current. Requests look them up here, as the version's own trie takes several cache misses.
	shards    map[ShardID]*Shard
	inMotion  map[ShardID]*Shard // those of shards that are not Serving
	highestID ShardID            // the highest id ever used; new ids are above it
	retained  []*Version         // oldest first; the last is current
	lineage   lineage
	groups    replicaGroups
	stats     Stats // what is counted as it happens; Map.Stats fills in the rest
}

// New makes a map without shards, at epoch 0.
func New(options Options) *Map {
	options = options.withDefaults()
	empty := newEmptyVersion()
	return &Map{
		options:   options,
		current:   empty,
		shards:    map[ShardID]*Shard{},
		inMotion:  map[ShardID]*Shard{},
		highestID: noShard,
		retained:  []*Version{empty},
		lineage:   newLineage(options.MaxRetired),
		groups:    newReplicaGroups(),
	}
}

// Current is the version in use; its epoch is 0 before the first snapshot.
func (m *Map) Current() *Version { return m.current }

// Shard is the shard with an id in the version in use; nil if there is none.
func (m *Map) Shard(id ShardID) *Shard { return m.shards[id] }

// ShardsInMotion are the shards with a move in progress, in the order of their ids.
func (m *Map) ShardsInMotion() []*Shard {
	shards := slices.Collect(maps.Values(m.inMotion))
	slices.SortFunc(shards, func(a, b *Shard) int { return a.ID - b.ID })
	return shards
}

// put adds or replaces a shard of the next version.
func (m *Map) put(shard *Shard) {
	m.shards[shard.ID] = shard
	if shard.State == Serving {
		delete(m.inMotion, shard.ID)
	} else {
		m.inMotion[shard.ID] = shard
	}
}

// remove deletes a shard that the next version does not have, and records its lineage.
func (m *Map) remove(shard *Shard) {
	delete(m.shards, shard.ID)
	delete(m.inMotion, shard.ID)
	m.lineage.remember(shard.ID, shard.Range)
}

// adopt puts a version into use.
func (m *Map) adopt(version *Version) {
	m.current = version
	m.retained = append(m.retained, version)
	m.releaseUnused()
}
