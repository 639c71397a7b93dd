package slicemap

// Stats count what has happened to a map.
type Stats struct {
	Epoch               uint64 `json:"epoch"`
	Shards              int    `json:"slices"`
	Buckets             int    `json:"districts"`
	Groups              int    `json:"groups"`        // sets of holders
	ShardsInMotion      int    `json:"moving"`        // slices that are being moved
	RetainedVersions    int    `json:"versions_kept"` // the version in use and those that queries began on
	MaxRetainedVersions int    `json:"versions_kept_max"`
	DroppedVersions     uint64 `json:"versions_let_go"` // at the bound: their queries live on without
	Changes             uint64 `json:"changes"`
	Snapshots           uint64 `json:"whole_maps"`
	Rejected            uint64 `json:"refused"` // maps and changes with a fault
	RetiredShards       int    `json:"history"`
	ForgottenShards     uint64 `json:"forgotten"` // retired slices beyond the bound
	NotHolder           uint64 `json:"moved"`     // answers that a node does not hold the districts
	BackendBehind       uint64 `json:"moved_node_late"`
	MapBehind           uint64 `json:"moved_map_late"`
	SameEpoch           uint64 `json:"moved_same_epoch"`
}

// Stats counts.
func (m *Map) Stats() Stats {
	s := m.stats
	s.Epoch, s.Shards, s.Buckets, s.Groups = m.cur.Epoch, m.cur.Len(), m.cur.Buckets, len(m.sets)
	s.RetainedVersions, s.RetiredShards = len(m.kept), len(m.history)
	s.ShardsInMotion = len(m.moving)
	return s
}
