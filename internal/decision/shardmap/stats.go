package shardmap

// Stats holds the state of a Map and counters since it was created. The JSON names are those of the status page.
type Stats struct {
	Epoch               uint64 `json:"epoch"`             // of the version in use
	Shards              int    `json:"slices"`            // in the version in use
	Buckets             int    `json:"districts"`         // in the version in use
	Groups              int    `json:"groups"`            // number of distinct sets of executors
	ShardsInMotion      int    `json:"moving"`            // number of shards with a move in progress
	RetainedVersions    int    `json:"versions_kept"`     // versions in memory: the one in use and those with queries
	MaxRetainedVersions int    `json:"versions_kept_max"` // largest RetainedVersions so far
	DroppedVersions     uint64 `json:"versions_let_go"`   // versions dropped at the bound while queries were on them
	Changes             uint64 `json:"changes"`           // changes applied
	Snapshots           uint64 `json:"whole_maps"`        // snapshots applied
	Rejected            uint64 `json:"refused"`           // snapshots and batches of changes that were invalid
	RetiredShards       int    `json:"history"`           // number of retired shards that can be resolved
	ForgottenShards     uint64 `json:"forgotten"`         // retired shards dropped at the bound
	NotHolder           uint64 `json:"moved"`             // not-holder replies
	BackendBehind       uint64 `json:"moved_node_late"`   // of these, with a backend map older than the segment
	MapBehind           uint64 `json:"moved_map_late"`    // of these, with a backend map newer than the broker's
	SameEpoch           uint64 `json:"moved_same_epoch"`  // of these, all others
}

// Stats returns the current state and the counters so far.
func (m *Map) Stats() Stats {
	stats := m.stats
	stats.Epoch = m.current.Epoch
	stats.Shards = m.current.Len()
	stats.Buckets = m.current.Buckets
	stats.Groups = m.groups.len()
	stats.ShardsInMotion = len(m.inMotion)
	stats.RetainedVersions = len(m.retained)
	stats.RetiredShards = m.lineage.len()
	stats.ForgottenShards = m.lineage.forgotten
	return stats
}
