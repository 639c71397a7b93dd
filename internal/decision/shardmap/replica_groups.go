package shardmap

import (
	"slices"
	"strings"
)

// keySeparator cannot occur in a backend id.
const keySeparator = "\x00"

// replicaGroup is a set of executors that several shards share.
type replicaGroup struct {
	key        string
	backends   []string // sorted
	shardCount int
}

// replicaGroups numbers the sets of executors of the shards in use. The scheduler keeps state by group number, so
// numbers of groups that no longer have shards are reused.
type replicaGroups struct {
	numbers     map[string]int // by key
	groups      map[int]*replicaGroup
	freeNumbers []int // used before, and without a group now
}

func newReplicaGroups() replicaGroups {
	return replicaGroups{numbers: map[string]int{}, groups: map[int]*replicaGroup{}}
}

func (g *replicaGroups) len() int { return len(g.groups) }

// join adds a shard to the group of its executors, which it creates if necessary.
func (g *replicaGroups) join(shard *Shard) {
	backends := slices.Sorted(slices.Values(shard.Executors()))
	key := strings.Join(backends, keySeparator)
	number, exists := g.numbers[key]
	if !exists {
		number = g.takeNumber()
		g.numbers[key] = number
		g.groups[number] = &replicaGroup{key: key, backends: backends}
	}
	g.groups[number].shardCount++
	shard.group = number
}

// takeNumber returns the number for a new group: the one that was freed last, or else the lowest that was never used.
func (g *replicaGroups) takeNumber() int {
	last := len(g.freeNumbers) - 1
	if last < 0 {
		return len(g.groups)
	}
	number := g.freeNumbers[last]
	g.freeNumbers = g.freeNumbers[:last]
	return number
}

// leave removes a shard from its group. It deletes a group without shards.
func (g *replicaGroups) leave(shard *Shard) {
	group := g.groups[shard.group]
	if group == nil {
		return
	}
	group.shardCount--
	if group.shardCount > 0 {
		return
	}
	delete(g.numbers, group.key)
	delete(g.groups, shard.group)
	g.freeNumbers = append(g.freeNumbers, shard.group)
}

// Group returns the number of the set of backends that may execute a shard's parts, or -1 if there is no such shard.
// Group, Cells and Replicas implement the scheduler's placement interface.
func (m *Map) Group(id ShardID) int {
	if shard := m.shards[id]; shard != nil {
		return shard.group
	}
	return -1
}

// Cells always returns nil: Replicas lists the replicas of a Map one by one.
func (m *Map) Cells(int) []int { return nil }

// Replicas returns the scheduler's numbers of a group's backends, without those that are not in the endpoint list.
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
