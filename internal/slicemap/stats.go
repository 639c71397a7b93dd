package slicemap

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

// Stats counts.
func (m *Map) Stats() Stats {
	s := m.stats
	s.Epoch, s.Slices, s.Districts, s.Groups = m.cur.Epoch, m.cur.Len(), m.cur.Buckets, len(m.sets)
	s.Kept, s.History = len(m.kept), len(m.history)
	s.Moving = len(m.moving)
	return s
}
