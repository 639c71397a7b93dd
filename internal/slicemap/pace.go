package slicemap

// Pace decides when slices may be handed over to a node, so that what it is given does not push it past what
// it can do while it is cold. It has no clock; times are ms.
type Pace struct {
	AtOnce   int     // handovers to one node at a time
	ColdFrom float64 // share of its capacity with which a node starts
	Warm     float64 // until it has all of it
}

// Target is a node that is to be given a slice.
type Target struct {
	Started float64 // 0: long ago
	Holds   int     // districts that it executes
	Taking  int     // handovers to it that go on
}

// May tells whether a slice of so many districts may be handed over to a node now. usual is how many
// districts a warm node executes: a cold one is given no more of them than its share of capacity.
func (p Pace) May(now float64, t Target, districts, usual int) bool {
	if t.Taking >= max(p.AtOnce, 1) {
		return false
	}
	if t.Started <= 0 || p.Warm <= 0 || now >= t.Started+p.Warm {
		return true
	}
	share := p.ColdFrom + (1-p.ColdFrom)*max(0, now-t.Started)/p.Warm
	return float64(t.Holds+districts) <= share*float64(usual)
}
