package shardmap

// Stats describe a Map and count what has happened to it since it was made. The JSON names are those of the status
// page.
type Stats struct {
	Epoch               uint64 `json:"epoch"`             // of the version in use
	Shards              int    `json:"slices"`            // in the version in use
	Buckets             int    `json:"districts"`         // in the version in use
	Groups              int    `json:"groups"`            // distinct sets of executors
	ShardsInMotion      int    `json:"moving"`            // shards with a move in progress
	RetainedVersions    int    `json:"versions_kept"`     // the version in use and those that queries were started on
	MaxRetainedVersions int    `json:"versions_kept_max"` // the most versions that were retained at once
	DroppedVersions     uint64 `json:"versions_let_go"`   // versions dropped at the bound while queries were on them
	Changes             uint64 `json:"changes"`           // changes applied
	Snapshots           uint64 `json:"whole_maps"`        // snapshots applied
	Rejected            uint64 `json:"refused"`           // snapshots and batches of changes that were invalid
	RetiredShards       int    `json:"history"`           // retired shards that are remembered
	ForgottenShards     uint64 `json:"forgotten"`         // retired shards forgotten at the bound
	NotHolder           uint64 `json:"moved"`             // not-holder replies
	BackendBehind       uint64 `json:"moved_node_late"`   // of these, from a backend with a map older than the segment
	MapBehind           uint64 `json:"moved_map_late"`    // of these, from a backend with a newer map
	SameEpoch           uint64 `json:"moved_same_epoch"`  // of these, the others
}

// Stats is the current state with the counts so far.
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
