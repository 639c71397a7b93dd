package shardmap

import (
	"maps"
	"slices"
)

// Map holds the shard map in use and the older versions that running queries were started on. Only Reset and Apply
// change the shard map. They are atomic: a rejected snapshot or batch of changes leaves the map as it was.
type Map struct {
	options Options
	current *Version
	// shards are the shards of current by id. Requests look them up here, as a lookup in the trie of the version
	// costs several cache misses.
	shards    map[ShardID]*Shard
	inMotion  map[ShardID]*Shard // the entries of shards that are not Serving
	highestID ShardID            // the highest id ever used; new ids are above it
	retained  []*Version         // oldest first; the last one is current
	lineage   lineage
	groups    replicaGroups
	stats     Stats // counters only; Map.Stats computes the other fields
}

// New returns a map without shards, at epoch 0.
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

// Current returns the version in use. Its epoch is 0 before the first snapshot.
func (m *Map) Current() *Version { return m.current }

// Shard returns the shard with an id in the version in use, or nil if there is none.
func (m *Map) Shard(id ShardID) *Shard { return m.shards[id] }

// ShardsInMotion returns the shards with a move in progress, in the order of their ids.
func (m *Map) ShardsInMotion() []*Shard {
	shards := slices.Collect(maps.Values(m.inMotion))
	slices.SortFunc(shards, func(a, b *Shard) int { return a.ID - b.ID })
	return shards
}

// put adds a shard of the next version to the lookup tables, or replaces it there.
func (m *Map) put(shard *Shard) {
	m.shards[shard.ID] = shard
	if shard.State == Serving {
		delete(m.inMotion, shard.ID)
	} else {
		m.inMotion[shard.ID] = shard
	}
}

// remove deletes a shard that the next version does not have from the lookup tables and records it as retired.
func (m *Map) remove(shard *Shard) {
	delete(m.shards, shard.ID)
	delete(m.inMotion, shard.ID)
	m.lineage.remember(shard.ID, shard.Range)
}

// adopt puts a version into use and frees the versions that are no longer needed.
func (m *Map) adopt(version *Version) {
	m.current = version
	m.retained = append(m.retained, version)
	m.releaseUnused()
}
