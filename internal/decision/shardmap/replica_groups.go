package shardmap

import (
	"slices"
	"strings"
)

// keySeparator cannot occur in a backend id.
const keySeparator = "\x00"

// replicaGroup is a set of executors that several shards share.
type replicaGroup struct {
	key      string
	backends []string // sorted
	shards   int      // how many shards are in the group
}

// replicaGroups numbers the sets of executors of the shards in use. The scheduler keeps state by group number, so the
// numbers of groups that have no shards any more are reused.
type replicaGroups struct {
	numbers     map[string]int // by key
	groups      map[int]*replicaGroup
	freeNumbers []int // used before and in no group now
}

func newReplicaGroups() replicaGroups {
	return replicaGroups{numbers: map[string]int{}, groups: map[int]*replicaGroup{}}
}

func (g *replicaGroups) len() int { return len(g.groups) }

// join puts a shard into the group of its executors.
func (g *replicaGroups) join(shard *Shard) {
	backends := slices.Sorted(slices.Values(shard.Executors()))
	key := strings.Join(backends, keySeparator)
	number, exists := g.numbers[key]
	if !exists {
		number = g.takeNumber()
		g.numbers[key] = number
		g.groups[number] = &replicaGroup{key: key, backends: backends}
	}
	g.groups[number].shards++
	shard.group = number
}

// takeNumber is the number that was freed last, else the first that was never used.
func (g *replicaGroups) takeNumber() int {
	last := len(g.freeNumbers) - 1
	if last < 0 {
		return len(g.groups)
	}
	number := g.freeNumbers[last]
	g.freeNumbers = g.freeNumbers[:last]
	return number
}

// leave takes a shard out of its group, which ends with its last shard.
func (g *replicaGroups) leave(shard *Shard) {
	group := g.groups[shard.group]
	if group == nil {
		return
	}
	group.shards--
	if group.shards > 0 {
		return
	}
	delete(g.numbers, group.key)
	delete(g.groups, shard.group)
	g.freeNumbers = append(g.freeNumbers, shard.group)
}

// Group is the number of the set of backends that may execute a shard's parts; -1 if there is no such shard. With
// Cells and Replicas it makes a Map a placement of the scheduler.
func (m *Map) Group(id ShardID) int {
	if shard := m.shards[id]; shard != nil {
		return shard.group
	}
	return -1
}

// Cells is always nil: the replicas of a Map are given one by one.
func (m *Map) Cells(int) []int { return nil }

// Replicas are the scheduler's numbers of a group's backends, without those that the endpoint list does not have.
func (m *Map) Replicas(group int) []uint32 {
	members := m.groups.groups[group]
	if members == nil || m.options.ReplicaNumber == nil {
		return nil
	}
	var numbers []uint32
	for _, backend := range members.backends {
		if number, listed := m.options.ReplicaNumber(backend); listed {
			numbers = append(numbers, number)
		}
	}
	return numbers
}
