package shardmap

// RingPlacement is the placement of a deployment whose shards never move. With c cells and reach r, shard s is held
// by the cells (s+j) mod c for 0 <= j < r. Shards whose first cell is the same form a group; its number is that cell.
type RingPlacement struct {
	shards       int
	cellsByGroup [][]int
}

// NewRingPlacement returns the placement of shards on a ring of cells, where reach adjacent cells hold each shard. If
// cells or reach is below 1, or reach exceeds cells, the placement has no shards.
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

// Group returns the number of a shard's group, or -1 if there is no such shard.
func (p *RingPlacement) Group(shard int) int {
	if shard < 0 || shard >= p.shards {
		return -1
	}
	return shard % len(p.cellsByGroup)
}

// Cells returns the cells that hold the shards of a group, which must exist. The caller must not modify the result.
func (p *RingPlacement) Cells(group int) []int { return p.cellsByGroup[group] }

// Replicas always returns nil: Cells lists the replicas of a RingPlacement by cell.
func (p *RingPlacement) Replicas(int) []uint32 { return nil }
