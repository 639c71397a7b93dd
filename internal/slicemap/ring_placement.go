package slicemap

// RingPlacement is the layout of a deployment whose slices never move: shard s lies on cells (s+j) mod cells for j
// below reach. The arithmetic stands here alone. Of settings that cannot be it says that nobody holds a
// shard.
type RingPlacement struct {
	shards int
	cells  [][]int // by group
}

// NewRingPlacement makes the layout of so many shards on a ring of cells, each held by reach of them in a row.
func NewRingPlacement(shards, cells, reach int) *RingPlacement {
	f := &RingPlacement{shards: shards}
	if cells < 1 || reach < 1 || reach > cells {
		return &RingPlacement{}
	}
	for g := range min(cells, max(shards, 0)) {
		list := make([]int, reach)
		for j := range list {
			list[j] = (g + j) % cells
		}
		f.cells = append(f.cells, list)
	}
	return f
}

// Group is the cell at which a shard begins; -1 if there is no such shard.
func (f *RingPlacement) Group(shard int) int {
	if shard < 0 || shard >= f.shards {
		return -1
	}
	return shard % len(f.cells)
}

// Cells are the cells that hold the shards of a group.
func (f *RingPlacement) Cells(group int) []int { return f.cells[group] }

// Replicas is nil: the holders are told by cell.
func (f *RingPlacement) Replicas(int) []uint32 { return nil }
