package slicemap

import (
	"fmt"
	"slices"
)

// ShardID is a slice's id, 0 and above. It is the shard number of queries and of the decision module.
type ShardID = int

// State is where a slice is in its life.
type State uint8

// The states of a slice.
const (
	Serving     State = iota
	Preparing         // it is being copied to To; From still executes
	HandingOver       // To executes in From's place; From is kept until the move is done, for an abort
	Retired           // split or merged: its districts belong to others
)

var stateNames = [...]string{"serving", "preparing", "handing-over", "retired"}

// String names the state as the catalogue does.
func (s State) String() string { return stateNames[s] }

// ParseState reads the catalogue's name of a state.
func ParseState(name string) (State, error) {
	if i := slices.Index(stateNames[:], name); i >= 0 {
		return State(i), nil
	}
	return 0, fmt.Errorf("state %q is unknown", name)
}

// Shard is one slice at one epoch. It is never changed once it is part of a version.
type Shard struct {
	ID ShardID
	Range
	Replicas []string // node ids, in order; while a move goes on From is among them and To is not
	State    State
	From, To string    // of a move that goes on
	Since    uint64    // epoch of its last change
	Parents  []ShardID // what it was split from or merged of

	group int
}

// Executors are the nodes that may be sent its parts at its epoch: its holders, with To in From's place once
// the handover has begun. Exactly one of the two is among them.
func (s *Shard) Executors() []string {
	if s.State != HandingOver {
		return s.Replicas
	}
	out := slices.Clone(s.Replicas)
	out[slices.Index(out, s.From)] = s.To
	return out
}

// Executes tells whether a node may execute parts of the slice at this epoch.
func (s *Shard) Executes(node string) bool {
	if s.State == HandingOver && (node == s.From || node == s.To) {
		return node == s.To
	}
	return slices.Contains(s.Replicas, node)
}
