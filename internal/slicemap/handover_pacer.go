package slicemap

// HandoverPacer decides when slices may be handed over to a node, so that what it is given does not push it past what
// it can do while it is cold. It has no clock; times are ms.
type HandoverPacer struct {
	MaxConcurrent   int     // handovers to one node at a time
	InitialCapacity float64 // share of its capacity with which a node starts
	WarmupMs        float64 // until it has all of it
}

// HandoverTarget is a node that is to be given a slice.
type HandoverTarget struct {
	StartedAtMs         float64 // 0: long ago
	Buckets             int     // districts that it executes
	HandoversInProgress int     // handovers to it that go on
}

// MayHandOver tells whether a slice of so many districts may be handed over to a node now. usual is how many
// districts a warm node executes: a cold one is given no more of them than its share of capacity.
func (p HandoverPacer) MayHandOver(now float64, t HandoverTarget, districts, usual int) bool {
	if t.HandoversInProgress >= max(p.MaxConcurrent, 1) {
		return false
	}
	if t.StartedAtMs <= 0 || p.WarmupMs <= 0 || now >= t.StartedAtMs+p.WarmupMs {
		return true
	}
	share := p.InitialCapacity + (1-p.InitialCapacity)*max(0, now-t.StartedAtMs)/p.WarmupMs
	return float64(t.Buckets+districts) <= share*float64(usual)
}
