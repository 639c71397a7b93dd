package shardmap

// Snapshot is a complete shard map at one epoch, as a Source delivers it.
type Snapshot struct {
	Epoch    uint64         // 1 and above
	Buckets  int            // number of buckets; the same in every snapshot
	Backends []string       // ids of all backends that may hold shards; none allows any
	Shards   []*Shard       // every bucket in exactly one of them, in any order
	Retired  []RetiredShard // shards that are no more, by which older ids are resolved; the latest last
}

// Reset replaces the map by a snapshot and takes ownership of its shards. It returns the ids of the shards that the
// new version does not have, in the order of their buckets. An invalid snapshot is rejected with a *ValidationError;
// one of the epoch in use changes nothing.
func (m *Map) Reset(snapshot Snapshot) ([]ShardID, error) {
	if m.current.Epoch > 0 && snapshot.Epoch == m.current.Epoch {
		return nil, nil
	}
	version, err := m.validateSnapshot(snapshot)
	if err != nil {
		m.stats.Rejected++
		return nil, err
	}
	return m.install(version, snapshot), nil
}

// validateSnapshot makes the version of a snapshot, or finds the first error.
func (m *Map) validateSnapshot(snapshot Snapshot) (*Version, error) {
	if snapshot.Epoch < max(m.current.Epoch, 1) {
		return nil, invalid(noShard, ErrEpoch, "%d, at %d", snapshot.Epoch, m.current.Epoch)
	}
	if len(snapshot.Shards) > m.options.MaxShards {
		return nil, invalid(noShard, ErrTooMany, "%d of %d", len(snapshot.Shards), m.options.MaxShards)
	}
	if m.current.Epoch > 0 && snapshot.Buckets != m.current.Buckets {
		return nil, invalid(noShard, ErrRange, "%d buckets instead of %d: they are never divided",
			snapshot.Buckets, m.current.Buckets)
	}
	version, err := buildVersion(snapshot.Epoch, snapshot.Buckets, snapshot.Shards, newBackendSet(snapshot.Backends))
	if err != nil {
		return nil, err
	}
	if err := m.validateIDs(snapshot.Shards); err != nil {
		return nil, err
	}
	if err := validateRetired(snapshot, version); err != nil {
		return nil, err
	}
	return version, nil
}

// validateIDs checks that an id in use still names the same buckets, and that every other id is a new one.
func (m *Map) validateIDs(shards []*Shard) error {
	for _, shard := range shards {
		known := m.current.Shard(shard.ID)
		switch {
		case known != nil && known.Range != shard.Range:
			return invalid(shard.ID, ErrShard, "it was %v and is %v", known.Range, shard.Range)
		case known == nil && shard.ID <= m.highestID:
			return invalid(shard.ID, ErrShard, "not in use and not above %d, the highest id so far", m.highestID)
		}
	}
	return nil
}

func validateRetired(snapshot Snapshot, version *Version) error {
	for _, retired := range snapshot.Retired {
		inUse := version.Shard(retired.ID) != nil
		outOfBounds := retired.Start < 0 || retired.End <= retired.Start || retired.End > snapshot.Buckets
		if retired.ID < 0 || inUse || outOfBounds {
			return invalid(retired.ID, ErrRange, "retired, with %v", retired.Range)
		}
	}
	return nil
}

// install puts the version of a valid snapshot into use.
func (m *Map) install(version *Version, snapshot Snapshot) []ShardID {
	previous := m.current
	var removed []*Shard
	var removedIDs []ShardID
	for shard := range previous.All {
		if version.Shard(shard.ID) == nil {
			removed = append(removed, shard)
			removedIDs = append(removedIDs, shard.ID)
		}
	}
	m.regroup(previous, version)
	for _, shard := range removed {
		m.lineage.remember(shard.ID, shard.Range)
	}
	for _, retired := range snapshot.Retired {
		m.lineage.remember(retired.ID, retired.Range)
	}
	m.shards = make(map[ShardID]*Shard, len(snapshot.Shards))
	clear(m.inMotion)
	for _, shard := range snapshot.Shards {
		if shard.Since == 0 || shard.Since > snapshot.Epoch {
			shard.Since = snapshot.Epoch
		}
		m.put(shard)
		m.highestID = max(m.highestID, shard.ID)
	}
	m.stats.Snapshots++
	m.adopt(version)
	return removedIDs
}

// regroup replaces the members of the groups. All shards of the next version join before those of the previous one
// leave, so that a group that both have keeps its number.
func (m *Map) regroup(previous, next *Version) {
	for shard := range next.All {
		m.groups.join(shard)
	}
	for shard := range previous.All {
		m.groups.leave(shard)
	}
}
