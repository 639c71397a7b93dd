package slicemap

import (
	"fmt"
	"slices"
)

// Kind is what a change does.
type Kind uint8

// The kinds of change. A split, a merge and an assignment are whole at their epoch; a move takes three.
const (
	Split    Kind = iota // Slice into Into[0] and Into[1], at district At
	Merge                // Slice and Other, neighbours with the same holders, into Into[0]
	Move                 // Slice is to go from node From to node To: copying begins
	Handover             // To executes in From's place
	Done                 // From no longer holds Slice
	Abort                // the move ends and From executes as before
	Assign               // Holders hold Slice from now on: a repair by the operators
)

var kindNames = [...]string{"split", "merge", "move", "handover", "done", "abort", "assign"}

// String names the kind as the catalogue does.
func (k Kind) String() string { return kindNames[k] }

// ParseKind reads the catalogue's name of a kind.
func ParseKind(name string) (Kind, error) {
	if i := slices.Index(kindNames[:], name); i >= 0 {
		return Kind(i), nil
	}
	return 0, fmt.Errorf("kind of change %q is unknown", name)
}

// Change takes the map from one epoch to the next.
type Change struct {
	Base, Epoch uint64 // Epoch is above Base
	Kind        Kind
	Shard       ShardID
	Other       ShardID   // Merge
	At          int       // Split: the first district of Into[1]
	Into        []ShardID // Split, Merge: ids never used before
	From, To    string    // Move
	Replicas    []string  // Assign
}
