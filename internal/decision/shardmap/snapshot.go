package shardmap

// Snapshot is a complete shard map at one epoch, as a Source delivers it.
type Snapshot struct {
	Epoch    uint64         // 1 and above
	Buckets  int            // number of buckets, which is the same in every snapshot
	Backends []string       // ids of all backends that may hold shards; empty allows any
	Shards   []*Shard       // in any order; every bucket is in exactly one of them
	Retired  []RetiredShard // retired shards, so that their ids can be resolved; the latest is last
}

// Reset replaces the map by a snapshot and takes ownership of its shards. It returns the ids of the shards that the
// new version does not have, in the order of their buckets. It rejects an invalid snapshot with a *ValidationError,
// and ignores a snapshot of the epoch in use.
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

// validateSnapshot returns the version of a snapshot, or the first error in it.
func (m *Map) validateSnapshot(snapshot Snapshot) (*Version, error) {
	if snapshot.Epoch < max(m.current.Epoch, 1) {
		return nil, invalid(noShard, ErrEpoch, "epoch %d, current epoch %d", snapshot.Epoch, m.current.Epoch)
	}
	if len(snapshot.Shards) > m.options.MaxShards {
		return nil, invalid(noShard, ErrTooMany, "%d shards, at most %d", len(snapshot.Shards), m.options.MaxShards)
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

// validateIDs checks that each id in use still names the same buckets, and that every other id is new.
func (m *Map) validateIDs(shards []*Shard) error {
	for _, shard := range shards {
		known := m.current.Shard(shard.ID)
		switch {
		case known != nil && known.Range != shard.Range:
			return invalid(shard.ID, ErrShard, "the id names buckets %v, not %v", known.Range, shard.Range)
		case known == nil && shard.ID <= m.highestID:
			return invalid(shard.ID, ErrShard, "not in use and not above %d, the highest id so far", m.highestID)
		}
	}
	return nil
}

// validateRetired checks that the retired shards are not in use and that their ids and buckets are within bounds.
func validateRetired(snapshot Snapshot, version *Version) error {
	for _, retired := range snapshot.Retired {
		inUse := version.Shard(retired.ID) != nil
		outOfBounds := retired.Start < 0 || retired.End <= retired.Start || retired.End > snapshot.Buckets
		if retired.ID < 0 || inUse || outOfBounds {
			return invalid(retired.ID, ErrRange, "retired shard with buckets %v, in use: %t", retired.Range, inUse)
		}
	}
	return nil
}

// install puts the version of a valid snapshot into use. It returns the ids of the shards that were removed.
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

// regroup moves the replica groups from the previous version to the next one. All shards of the next version join
// before those of the previous version leave, so that a group that both versions have keeps its number.
func (m *Map) regroup(previous, next *Version) {
	for shard := range next.All {
		m.groups.join(shard)
	}
	for shard := range previous.All {
		m.groups.leave(shard)
	}
}
