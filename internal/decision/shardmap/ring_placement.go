package shardmap

// RingPlacement is the placement of a deployment whose shards never move: with reach r, shard s is held by the cells
// (s+j) mod cells for 0 <= j < r. Shards that begin at the same cell form a group, numbered as that cell.
type RingPlacement struct {
	shards       int
	cellsByGroup [][]int
}

// NewRingPlacement makes the placement of shards on a ring of cells, each shard held by reach cells in a row. If cells
// or reach is below 1, or reach exceeds cells, the placement has no shard.
func NewRingPlacement(shards, cells, reach int) *RingPlacement {
	if cells < 1 || reach < 1 || reach > cells {
		return &RingPlacement{}
	}
	placement := &RingPlacement{shards: shards}
	for group := range min(cells, max(shards, 0)) {
		groupCells := make([]int, reach)
		for j := range groupCells {
			groupCells[j] = (group + j) % cells
		}
		placement.cellsByGroup = append(placement.cellsByGroup, groupCells)
	}
	return placement
}

// Group is the number of a shard's group; -1 if there is no such shard.
func (p *RingPlacement) Group(shard int) int {
	if shard < 0 || shard >= p.shards {
		return -1
	}
	return shard % len(p.cellsByGroup)
}

// Cells are the cells that hold the shards of a group, which must exist. The result must not be modified.
func (p *RingPlacement) Cells(group int) []int { return p.cellsByGroup[group] }

// Replicas is always nil: the replicas of a RingPlacement are given by cell.
func (p *RingPlacement) Replicas(int) []uint32 { return nil }
