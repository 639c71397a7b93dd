package shardmap

import "slices"

// ShardID identifies a shard; valid ids are 0 and above. Queries and the scheduler use it as the shard number.
type ShardID = int

// State is the phase of a shard's life at one epoch.
type State uint8

// The states of a shard.
const (
	Serving     State = iota // its replicas execute
	Preparing                // its data is being copied from From to To; From still executes
	HandingOver              // To executes in From's place; From keeps the data until the move is done or aborted
	Retired                  // split or merged: its buckets belong to other shards
)

var stateNames = [...]string{"serving", "preparing", "handing-over", "retired"}

// String is the state's name, for messages.
func (s State) String() string { return stateNames[s] }

// Shard is one shard at one epoch. It is immutable once it belongs to a Version.
type Shard struct {
	ID ShardID
	Range
	// Replicas are the ids of the backends that hold the shard, in order. During a move From is among them and To
	// is not.
	Replicas []string
	State    State
	From, To string    // source and destination of the move in progress; empty while Serving
	Since    uint64    // epoch of the shard's last change
	Parents  []ShardID // the shards that it was split from or merged of

	group int // its replica group in the Map that holds it
}

// Executors are the ids of the backends that may execute the shard's parts at its epoch: its replicas, with To in
// From's place once the handover has begun. Exactly one of From and To is among them. The result must not be
// modified.
func (s *Shard) Executors() []string {
	if s.State != HandingOver {
		return s.Replicas
	}
	executors := slices.Clone(s.Replicas)
	executors[slices.Index(executors, s.From)] = s.To
	return executors
}

// Executes reports whether a backend is among Executors.
func (s *Shard) Executes(backend string) bool {
	if s.State == HandingOver && (backend == s.From || backend == s.To) {
		return backend == s.To
	}
	return slices.Contains(s.Replicas, backend)
}
